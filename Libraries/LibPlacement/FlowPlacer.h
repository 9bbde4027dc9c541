#pragma once

#include <LibPlacement/Options.h>
#include <LibPlacement/ServiceState.h>

namespace Chicorytally::Placement {

/// A packet and the state by which it is decided.
struct PacketLookup {
    PacketInfo const& packet;
    Snapshot const& snapshot;
    ServiceView const& view;
    std::size_t bucket;
    FlowHash flow;
    Core::TimePoint now;
};

/// Decides packets on the owner of their bucket. All functions require the lock of the bucket's group.
class FlowPlacer {
public:
    FlowPlacer(EngineOptions const& options, EngineHooks const& hooks, SharedState& shared)
        : m_options(options)
        , m_hooks(hooks)
        , m_shared(shared)
    {
    }

    Decision decide(PacketLookup const&, BucketGroup&);
    /// Forwards to the upstream; if the upstream or its zone is out, resets the flow, or drops the packet if it is an
    /// open.
    static Decision forward(PacketLookup const&, UpstreamIndex, Reason);

private:
    Decision decideByRecord(PacketLookup const&, BucketGroup&, FlowRecord&);
    Decision decideWithoutRecord(PacketLookup const&, BucketGroup&, BucketState&);
    Decision decideOpen(PacketLookup const&, BucketGroup&, BucketState&);
    Decision placeFlow(PacketLookup const&, BucketGroup&, BucketState&, UpstreamIndex);
    FlowRecord* addRecord(PacketLookup const&, BucketGroup&, UpstreamIndex);
    void removeRecord(PacketLookup const&, BucketGroup&, FlowRecord const&);

    EngineOptions const& m_options;
    EngineHooks const& m_hooks;
    SharedState& m_shared;
};

}
