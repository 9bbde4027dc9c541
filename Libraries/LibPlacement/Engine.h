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

/// Why a flow goes where it goes, as this balancer sees it.
struct Explanation {
    /// What a data packet of the flow from the fabric would get.
    Decision decision;
    std::size_t bucket { 0 };
    std::uint64_t epoch { 0 };
    bool isKnown { false };
    bool isTracked { false };
    /// Invalid: none.
    Core::UpstreamId baseline;
    Core::UpstreamId target;
    Core::VmId owner;
    Core::VmId backup;
    /// This balancer decides the opens of the bucket.
    bool isOwner { false };
    /// Upstream of the flow's record or copy on this balancer.
    std::optional<Core::UpstreamId> record;
};

/// Decides every packet of this balancer. Thread-safe.
class Engine {
public:
    /// The clock must outlive the engine.
    Engine(Core::Clock const&, EngineOptions, EngineHooks);
    Engine(Engine const&) = delete;
    Engine& operator=(Engine const&) = delete;
    ~Engine();

    Decision decide(PacketInfo const&);
    /// An older revision than the one in force is ignored.
    void applyConfiguration(std::shared_ptr<Model::Configuration const>);
    /// To be called before the first configuration: without members, the engine takes itself to be alone and becomes
    /// the owner of all buckets.
    void applyMembers(MemberView const&);
    void receive(Core::VmId sender, Messages::PlacementMessage const&);
    /// Control messages that are due; to be called every 100 ms, and sooner when hasUrgentMessages().
    std::vector<OutgoingMessage> tick();
    /// A flow waits for a message that tick() would return, as a record's copy or an acknowledgement.
    bool hasUrgentMessages() const;
    /// Starts to hand all buckets over.
    void prepareShutdown();
    /// After prepareShutdown(): all buckets are handed over and acknowledged.
    bool isDrained() const;
    /// Has a configuration and the states of all buckets.
    bool isSynchronised() const;
    /// Nothing for an unknown service.
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
