#include <LibMembership/Controller.h>
#include <LibMembership/Detector.h>

namespace Chicorytally::Membership {

Controller::Controller(Core::Clock const& clock, Options options, Hooks hooks)
    : m_hooks(std::move(hooks))
    , m_detector(std::make_unique<Detector>(clock, std::move(options)))
{
}

Controller::~Controller() = default;

void Controller::receive(Core::VmId sender, Core::Incarnation incarnation, Messages::MembershipMessage const& message,
    Core::Endpoint const& from)
{
    absl::MutexLock lock { &m_lock };
    m_detector->receive(sender, incarnation, message, from);
}

std::vector<OutgoingMessage> Controller::tick()
{
    std::vector<OutgoingMessage> messages;
    std::optional<Core::Incarnation> newIncarnation;
    bool hasChanged = false;
    {
        absl::MutexLock lock { &m_lock };
        messages = m_detector->tick();
        newIncarnation = m_detector->takeNewIncarnation();
        hasChanged = m_detector->takeMembersChanged();
    }
    // The new incarnation is reported first, because the returned messages announce it.
    if (newIncarnation && m_hooks.incarnationChanged)
        m_hooks.incarnationChanged(*newIncarnation);
    if (hasChanged && m_hooks.membersChanged)
        m_hooks.membersChanged();
    return messages;
}

std::vector<Member> Controller::members() const
{
    absl::MutexLock lock { &m_lock };
    return m_detector->members();
}

std::optional<Core::Endpoint> Controller::endpointOf(Core::VmId vm) const
{
    absl::MutexLock lock { &m_lock };
    return m_detector->endpointOf(vm);
}

std::optional<Core::Endpoint> Controller::dataEndpointOf(Core::VmId vm) const
{
    absl::MutexLock lock { &m_lock };
    return m_detector->dataEndpointOf(vm);
}

void Controller::setRevision(Core::Revision revision)
{
    absl::MutexLock lock { &m_lock };
    m_detector->setRevision(revision);
}

void Controller::applyVmList(std::vector<PlatformVm> const& vms)
{
    absl::MutexLock lock { &m_lock };
    m_detector->applyVmList(vms);
}

void Controller::announceLeave()
{
    absl::MutexLock lock { &m_lock };
    m_detector->announceLeave();
}

Core::Incarnation Controller::incarnation() const
{
    absl::MutexLock lock { &m_lock };
    return m_detector->incarnation();
}

bool Controller::isConfirmed() const
{
    absl::MutexLock lock { &m_lock };
    return m_detector->isConfirmed();
}

}
