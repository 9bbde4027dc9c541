#include <LibLoad/LoadController.h>
#include <LibLoad/LoadState.h>

namespace Chicorytally::Load {

LoadController::LoadController(Core::Clock const& clock, LoadOptions options)
    : m_state(std::make_unique<State>(clock, options))
{
}

LoadController::~LoadController() = default;

void LoadController::applyConfiguration(std::shared_ptr<Model::Configuration const> const& configuration)
{
    if (!configuration)
        return;
    absl::MutexLock lock { &m_lock };
    m_state->applyConfiguration(*configuration);
}

void LoadController::applyMembers(std::vector<LoadMember> const& members)
{
    absl::MutexLock lock { &m_lock };
    m_state->applyMembers(members);
}

Placement::Selection LoadController::select(Placement::SelectionRequest const& request)
{
    absl::MutexLock lock { &m_lock };
    return m_state->select(request);
}

void LoadController::flowOpened(Core::ServiceId service, Core::UpstreamId upstream)
{
    absl::MutexLock lock { &m_lock };
    m_state->flowOpened(service, upstream);
}

void LoadController::flowClosed(Core::ServiceId, Core::UpstreamId upstream)
{
    absl::MutexLock lock { &m_lock };
    m_state->flowClosed(upstream);
}

void LoadController::adoptedFlowClosed(Core::ServiceId, Core::UpstreamId upstream)
{
    absl::MutexLock lock { &m_lock };
    m_state->adoptedFlowClosed(upstream);
}

void LoadController::flowConfirmed(Core::ServiceId, Core::UpstreamId upstream)
{
    absl::MutexLock lock { &m_lock };
    m_state->flowConfirmed(upstream);
}

bool LoadController::admitRepeatedOpen(Core::ServiceId service, Core::UpstreamId upstream)
{
    absl::MutexLock lock { &m_lock };
    return m_state->admitRepeatedOpen(service, upstream);
}

void LoadController::recordReport(Core::UpstreamId upstream, UpstreamReport const& report)
{
    absl::MutexLock lock { &m_lock };
    m_state->recordReport(upstream, report);
}

std::vector<ProbeTarget> LoadController::probesDue()
{
    absl::MutexLock lock { &m_lock };
    return m_state->probesDue();
}

void LoadController::receive(Core::VmId sender, Messages::LoadMessage const& message)
{
    absl::MutexLock lock { &m_lock };
    m_state->receive(sender, message);
}

std::vector<OutgoingMessage> LoadController::tick()
{
    absl::MutexLock lock { &m_lock };
    return m_state->tick();
}

void LoadController::setOverloaded(bool isOverloaded)
{
    absl::MutexLock lock { &m_lock };
    m_state->setOverloaded(isOverloaded);
}

void LoadController::setIncarnation(Core::Incarnation incarnation)
{
    absl::MutexLock lock { &m_lock };
    m_state->setIncarnation(incarnation);
}

bool LoadController::isReady() const
{
    absl::MutexLock lock { &m_lock };
    return m_state->isReady();
}

std::vector<UpstreamStatus> LoadController::status() const
{
    absl::MutexLock lock { &m_lock };
    return m_state->status();
}

ControllerStatus LoadController::controllerStatus() const
{
    absl::MutexLock lock { &m_lock };
    return m_state->controllerStatus();
}

}
