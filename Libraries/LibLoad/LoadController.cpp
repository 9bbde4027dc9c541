#include <LibLoad/LoadController.h>

namespace Chicorytally::Load {

class LoadController::State { };

LoadController::LoadController(Core::Clock const&, LoadOptions)
    : m_state(std::make_unique<State>())
{
}

LoadController::~LoadController() = default;

void LoadController::applyConfiguration(std::shared_ptr<Model::Configuration const>) { }

void LoadController::applyMembers(std::vector<LoadMember> const&) { }

Placement::Selection LoadController::select(Placement::SelectionRequest const& request)
{
    if (request.candidates.empty())
        return { .index = std::nullopt, .refusal = Placement::Reason::NoUpstream };
    return { .index = 0 };
}

void LoadController::flowOpened(Core::ServiceId, Core::UpstreamId) { }
void LoadController::flowClosed(Core::ServiceId, Core::UpstreamId) { }
void LoadController::adoptedFlowClosed(Core::ServiceId, Core::UpstreamId) { }
void LoadController::flowConfirmed(Core::ServiceId, Core::UpstreamId) { }
bool LoadController::admitRepeatedOpen(Core::ServiceId, Core::UpstreamId) { return true; }
void LoadController::recordReport(Core::UpstreamId, UpstreamReport const&) { }
std::vector<ProbeTarget> LoadController::probesDue() { return {}; }
void LoadController::receive(Core::VmId, Messages::LoadMessage const&) { }
std::vector<OutgoingMessage> LoadController::tick() { return {}; }
void LoadController::setOverloaded(bool) { }
bool LoadController::isReady() const { return true; }
std::vector<UpstreamStatus> LoadController::status() const { return {}; }
ControllerStatus LoadController::controllerStatus() const { return {}; }

}
