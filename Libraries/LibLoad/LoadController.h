#pragma once

#include <LibLoad/LoadTypes.h>
#include <LibModel/Model.h>
#include <LibPlacement/Placement.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <memory>
#include <vector>

namespace Chicorytally::Load {

/// Decides how many flows each upstream gets from this VM. Thread-safe. Takes the time only from the given clock.
class LoadController {
public:
    LoadController(Core::Clock const&, LoadOptions);
    ~LoadController();

    void applyConfiguration(std::shared_ptr<Model::Configuration const> const&);
    /// Sets the members as known by this VM. Must be called before the first flow with every VM that may serve,
    /// including those that haven't been reached yet: a member that isn't listed has no share of the limits. A member
    /// that is missing from a later list counts as unreachable; it keeps its share until it is listed as Left or Gone.
    void applyMembers(std::vector<LoadMember> const&);

    /// Implements Placement::EngineHooks::select. Prefers the first candidate.
    Placement::Selection select(Placement::SelectionRequest const&);
    void flowOpened(Core::ServiceId, Core::UpstreamId);
    void flowClosed(Core::ServiceId, Core::UpstreamId);
    /// Called when a flow has ended that another VM opened and this VM has taken over.
    void adoptedFlowClosed(Core::ServiceId, Core::UpstreamId);
    /// Called when a later packet shows that an open reached its upstream and was answered.
    void flowConfirmed(Core::ServiceId, Core::UpstreamId);
    /// Called when the opening packet of a flow is seen again. Returns false if the retry budget is exhausted and the
    /// packet must be dropped.
    bool admitRepeatedOpen(Core::ServiceId, Core::UpstreamId);

    void recordReport(Core::UpstreamId, UpstreamReport const&);
    /// Upstreams that this VM must probe now; each is returned once per probe interval.
    std::vector<ProbeTarget> probesDue();

    void receive(Core::VmId sender, Messages::LoadMessage const&);
    /// Returns the control messages that are due. Must be called every 100 ms.
    std::vector<OutgoingMessage> tick();

    /// Sets whether the balancer itself is short of processor time or memory. While it is, new flows are refused and
    /// established ones continue.
    void setOverloaded(bool);
    /// Sets a greater incarnation of this process, which its messages and its shares of the limits use from now on.
    void setIncarnation(Core::Incarnation);
    /// Returns false while every open is refused because members haven't confirmed this VM yet. A VM that isn't ready
    /// should own no buckets.
    bool isReady() const;

    std::vector<UpstreamStatus> status() const;
    ControllerStatus controllerStatus() const;

private:
    class State;
    mutable absl::Mutex m_lock;
    std::unique_ptr<State> m_state ABSL_PT_GUARDED_BY(m_lock);
};

}
