#include <LibDistribution/Controller.h>

#include <absl/synchronization/mutex.h>

namespace Chicorytally::Distribution {

// FIXME: A stand-in that talks to no peer, so that the daemon can be built against the interface.
class Controller::State {
public:
    explicit State(Hooks hooks)
        : m_hooks(std::move(hooks))
    {
    }

    Hooks m_hooks;
    mutable absl::Mutex m_lock;
    Core::Revision m_revision ABSL_GUARDED_BY(m_lock);
    FileSet m_files ABSL_GUARDED_BY(m_lock);
    Counters m_counters ABSL_GUARDED_BY(m_lock);
    std::string m_lastRefusal ABSL_GUARDED_BY(m_lock);
};

Controller::Controller(Core::Clock const&, Options, Hooks hooks)
    : m_state(std::make_unique<State>(std::move(hooks)))
{
}

Controller::~Controller() = default;

void Controller::offerPlatformCopy(Core::Revision revision, FileSet files)
{
    std::string reason;
    if (revision <= this->revision())
        return;
    bool isAccepted = !m_state->m_hooks.accept || m_state->m_hooks.accept(revision, files, reason);
    absl::MutexLock lock { &m_state->m_lock };
    if (!isAccepted) {
        ++m_state->m_counters.refused;
        m_state->m_lastRefusal = reason;
        return;
    }
    ++m_state->m_counters.accepted;
    m_state->m_revision = revision;
    m_state->m_files = std::move(files);
}

void Controller::platformUnchanged() { }
void Controller::platformFailed() { }
bool Controller::shouldReadPlatform() { return true; }
void Controller::receive(Core::VmId, Messages::DistributionMessage const&) { }
std::vector<OutgoingMessage> Controller::tick() { return {}; }
void Controller::applyMembers(std::vector<Peer> const&) { }

Core::Revision Controller::revision() const
{
    absl::MutexLock lock { &m_state->m_lock };
    return m_state->m_revision;
}

std::uint64_t Controller::digest() const { return digestOf(files()); }

FileSet Controller::files() const
{
    absl::MutexLock lock { &m_state->m_lock };
    return m_state->m_files;
}

Counters Controller::counters() const
{
    absl::MutexLock lock { &m_state->m_lock };
    return m_state->m_counters;
}

std::string Controller::lastRefusal() const
{
    absl::MutexLock lock { &m_state->m_lock };
    return m_state->m_lastRefusal;
}

}
