#pragma once

#include <LibLoad/LoadTypes.h>
#include <LibModel/Model.h>
#include <LibPlacement/Placement.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <vector>

namespace Chicorytally::Load {

/// Decides how much each upstream may get from this VM. Thread-safe. Every time comes from the clock that is passed in.
class LoadController {
public:
    LoadController(Core::Clock const&, LoadOptions);
    ~LoadController();

    void applyConfiguration(std::shared_ptr<Model::Configuration const> const&);
    /// The members as this VM knows them. To be called before the first flow with every VM that may serve, also with
    /// those that aren't reached yet: a member that is not listed has no share in the limits. A member that is missing
    /// from a later list counts as unreachable; only Left and Gone end its claim.
    void applyMembers(std::vector<LoadMember> const&);

    /// The answer to Placement::EngineHooks::select. The first candidate is taken unless there is a reason against it.
    Placement::Selection select(Placement::SelectionRequest const&);
    void flowOpened(Core::ServiceId, Core::UpstreamId);
    void flowClosed(Core::ServiceId, Core::UpstreamId);
    /// A flow that another owner opened, and that this VM answers for now, has ended.
    void adoptedFlowClosed(Core::ServiceId, Core::UpstreamId);
    /// A later packet has shown that an open reached its upstream and was answered.
    void flowConfirmed(Core::ServiceId, Core::UpstreamId);
    /// The opening packet of a flow was seen again. False: the retry budget is used up, drop the packet.
    bool admitRepeatedOpen(Core::ServiceId, Core::UpstreamId);

    void recordReport(Core::UpstreamId, UpstreamReport const&);
    /// Upstreams that this VM has to probe now; each is named once per probe interval.
    std::vector<ProbeTarget> probesDue();

    void receive(Core::VmId sender, Messages::LoadMessage const&);
    /// Control messages that are due; to be called every 100 ms.
    std::vector<OutgoingMessage> tick();

    /// The balancer itself is short of processor time or memory: established flows go on, new ones are refused.
    void setOverloaded(bool);
    /// This process took a greater incarnation; its messages and its claim on the limits carry it from now on.
    void setIncarnation(Core::Incarnation);
    /// False: every open would be refused, because members haven't confirmed this VM yet. A VM that isn't ready should
    /// own no buckets.
    bool isReady() const;

    std::vector<UpstreamStatus> status() const;
    ControllerStatus controllerStatus() const;

private:
    class State;
    mutable absl::Mutex m_lock;
    std::unique_ptr<State> m_state ABSL_PT_GUARDED_BY(m_lock);
};

}
