#pragma once

#include <LibCore/Core.h>
#include <LibMessages/Messages.h>
#include <LibModel/Model.h>
#include <LibPlacement/Counters.h>
#include <LibPlacement/Decision.h>
#include <LibPlacement/MemberView.h>
#include <LibPlacement/Options.h>
#include <LibPlacement/Outbox.h>

#include <memory>
#include <optional>
#include <vector>

namespace Chicorytally::Placement {

class Coordinator;
class FlowPlacer;
class SnapshotHolder;

/// Explains the decision for a flow from this balancer's point of view.
struct Explanation {
    /// Decision for a data packet of the flow that arrives from the fabric.
    Decision decision;
    std::size_t bucket { 0 };
    std::uint64_t epoch { 0 };
    bool isKnown { false };
    bool isTracked { false };
    /// Invalid if there is none.
    Core::UpstreamId baseline;
    Core::UpstreamId target;
    Core::VmId owner;
    Core::VmId backup;
    /// This balancer decides the opens of the bucket.
    bool isOwner { false };
    /// Upstream of the flow's record or copy on this balancer.
    std::optional<Core::UpstreamId> record;
};

/// Decides what happens to each packet that this balancer receives. Thread-safe.
class Engine {
public:
    /// The clock must outlive the engine.
    Engine(Core::Clock const&, EngineOptions, EngineHooks);
    Engine(Engine const&) = delete;
    Engine& operator=(Engine const&) = delete;
    ~Engine();

    Decision decide(PacketInfo const&);
    /// Ignores a revision older than the one in force.
    void applyConfiguration(std::shared_ptr<Model::Configuration const>);
    /// Call before the first configuration is applied: without members, the engine assumes that it is alone and becomes
    /// the owner of all buckets.
    void applyMembers(MemberView const&);
    void receive(Core::VmId sender, Messages::PlacementMessage const&);
    /// Returns the control messages that are due. Call every 100 ms, and sooner when hasUrgentMessages().
    std::vector<OutgoingMessage> tick();
    /// A flow is waiting for a message that tick() would return, such as a copy of a record or an acknowledgement.
    bool hasUrgentMessages() const;
    /// Starts handing over all buckets.
    void prepareShutdown();
    /// After prepareShutdown(): all buckets have been handed over and the handovers acknowledged.
    bool isDrained() const;
    /// Has a configuration and the states of all buckets.
    bool isSynchronised() const;
    /// Returns nothing for an unknown service.
    std::optional<Explanation> explain(Core::ServiceId, Core::FlowKey const&);
    /// Takes the lock of each bucket group in turn; not for the packet path.
    EngineCounters counters() const;

private:
    Decision decideUncounted(PacketInfo const&);

    Core::Clock const& m_clock;
    EngineOptions const m_options;
    EngineHooks const m_hooks;
    SharedState m_shared;
    DecisionCounters m_counters;
    std::unique_ptr<SnapshotHolder> m_snapshots;
    std::unique_ptr<FlowPlacer> m_placer;
    std::unique_ptr<Coordinator> m_coordinator;
};

}
