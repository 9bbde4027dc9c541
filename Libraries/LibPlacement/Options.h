#pragma once

#include <LibModel/Model.h>
#include <LibPlacement/Decision.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <span>

namespace Chicorytally::Placement {

/// Asks which upstream a new flow gets.
struct SelectionRequest {
    Model::Service const& service;
    /// Upstreams that may take the flow, the bucket's target first, then in the bucket's order of preference.
    std::span<Model::Upstream const* const> candidates;
};

/// Answer to a SelectionRequest: an index into the candidates, or a refusal.
struct Selection {
    std::optional<std::size_t> index;
    Reason refusal { Reason::NoUpstream };
};

/// Called with a lock of the engine held; a hook must not call the engine.
struct EngineHooks {
    /// Without a hook the first candidate is chosen.
    std::function<Selection(SelectionRequest const&)> select;
    std::function<void(Core::ServiceId, Core::UpstreamId)> flowOpened;
    std::function<void(Core::ServiceId, Core::UpstreamId)> flowClosed;
    /// A flow waits for a message that tick() would return; called on any thread, once until the next tick().
    std::function<void()> tickRequested;
};

struct EngineOptions {
    Core::VmId self;
    /// Start of the sequence numbers of messages. Must be greater than any of an earlier process on the VM; without it
    /// the clock is taken, which starts again when a VM is booted.
    Core::Incarnation incarnation;
    /// Key of the flow hash; the same on all balancers of a fleet.
    std::uint64_t hashKey { 0 };
    /// Greatest number of flow records held.
    std::size_t maximumRecords { 1'000'000 };
};

/// A member that has not acknowledged a notice by then is treated by the partition policy (drain bound of the design).
inline constexpr std::chrono::seconds AcknowledgementTimeout { 3 };
/// A process that was paused longer may have a view that others no longer wait for. It is shorter than
/// AcknowledgementTimeout, so that a process that wakes earlier has blocked the owners all the time.
inline constexpr std::chrono::seconds PauseLimit { 2 };
/// For this long after taking over, an unknown open may repeat one that the former owner placed on the baseline
/// without a copy. Covers the first three retransmissions of a SYN (after 1, 3 and 7 s, RFC 6298).
inline constexpr std::chrono::seconds RetransmissionWindow { 10 };
/// An accepted configuration is in force everywhere within 12 s; an open forwarded before is repeated within
/// RetransmissionWindow. Only then a refusal because of a partition is true.
inline constexpr std::chrono::seconds RefusalDelay { 22 };
/// In this time after a change, active UDP flows get records at the owner.
inline constexpr std::chrono::seconds UdpSettlingTime { 2 };
/// A closed flow's last packets still go to its upstream for this long.
inline constexpr std::chrono::seconds ClosedFlowTimeout { 60 };
/// A record in a steady bucket isn't refreshed by packets. Without a close it is dropped after this time.
inline constexpr std::chrono::hours SteadyRecordTimeout { 24 };

/// State that the packet path and the control path share beside the groups.
struct SharedState {
    std::atomic<std::size_t> recordCount { 0 };
    std::atomic<bool> hasUrgentMessages { false };
    std::function<void()> tickRequested;

    void requestTick()
    {
        if (!hasUrgentMessages.exchange(true, std::memory_order_relaxed) && tickRequested)
            tickRequested();
    }
};

}
