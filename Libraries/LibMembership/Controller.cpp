#include <LibMembership/Controller.h>

#include <absl/synchronization/mutex.h>

namespace Chicorytally::Membership {

// FIXME: A stand-in that knows only this process, so that the daemon can be built against the interface.
class Controller::State {
public:
    State(Options options, Hooks hooks)
        : m_options(std::move(options))
        , m_hooks(std::move(hooks))
    {
    }

    Options m_options;
    Hooks m_hooks;
    mutable absl::Mutex m_lock;
    Core::Revision m_revision ABSL_GUARDED_BY(m_lock);
    bool m_isLeaving ABSL_GUARDED_BY(m_lock) { false };
};

Controller::Controller(Core::Clock const&, Options options, Hooks hooks)
    : m_state(std::make_unique<State>(std::move(options), std::move(hooks)))
{
}

Controller::~Controller() = default;

void Controller::receive(Core::VmId, Core::Incarnation, Messages::MembershipMessage const&, Core::Endpoint const&) { }

std::vector<OutgoingMessage> Controller::tick() { return {}; }

std::vector<Member> Controller::members() const
{
    absl::MutexLock lock { &m_state->m_lock };
    auto const& options = m_state->m_options;
    return { Member { .vm = options.self,
        .endpoint = options.endpoint,
        .dataEndpoint = { options.endpoint.address, options.dataPort },
        .zone = options.zone,
        .incarnation = options.incarnation,
        .state = m_state->m_isLeaving ? MemberState::Leaving : MemberState::Alive,
        .revision = m_state->m_revision } };
}

std::optional<Core::Endpoint> Controller::endpointOf(Core::VmId) const { return std::nullopt; }
std::optional<Core::Endpoint> Controller::dataEndpointOf(Core::VmId) const { return std::nullopt; }

void Controller::setRevision(Core::Revision revision)
{
    absl::MutexLock lock { &m_state->m_lock };
    m_state->m_revision = revision;
}

void Controller::applyVmList(std::vector<PlatformVm> const&) { }

void Controller::announceLeave()
{
    absl::MutexLock lock { &m_state->m_lock };
    m_state->m_isLeaving = true;
}

Core::Incarnation Controller::incarnation() const { return m_state->m_options.incarnation; }
bool Controller::isConfirmed() const { return true; }

}
