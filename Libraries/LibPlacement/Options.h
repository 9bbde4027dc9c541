#pragma once

#include <LibModel/Model.h>
#include <LibPlacement/Decision.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <optional>
#include <span>

namespace Chicorytally::Placement {

/// Asks for the upstream of a new flow.
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

/// Hooks are called with a lock of the engine held and must not call the engine.
struct EngineHooks {
    /// If unset, the first candidate is chosen.
    std::function<Selection(SelectionRequest const&)> select;
    std::function<void(Core::ServiceId, Core::UpstreamId)> flowOpened;
    std::function<void(Core::ServiceId, Core::UpstreamId)> flowClosed;
    /// A flow is waiting for a message that tick() would return. Called on any thread, at most once before the next
    /// tick().
    std::function<void()> tickRequested;
};

struct EngineOptions {
    Core::VmId self;
    /// Start of the sequence numbers of messages. Must be greater than any sequence number of an earlier process on the
    /// VM. If unset, the clock is used, which starts again when the VM is booted.
    Core::Incarnation incarnation;
    /// Key of the flow hash; the same on all balancers of a fleet.
    std::uint64_t hashKey { 0 };
    /// Maximum number of flow records held.
    std::size_t maximumRecords { 1'000'000 };
};

/// A member that has not acknowledged a notice within this time is handled according to the partition policy (drain
/// bound of the design).
inline constexpr std::chrono::seconds AcknowledgementTimeout { 3 };
/// After a longer pause, the process may have an outdated view that the other members no longer wait for. Shorter than
/// AcknowledgementTimeout, so that owners still wait for a process that resumes within the limit.
inline constexpr std::chrono::seconds PauseLimit { 2 };
/// For this time after a takeover, an open without a record may be a retransmission of one that the previous owner
/// placed on the baseline without copying its record. Covers the first three retransmissions of a SYN, after 1, 3 and
/// 7 s (RFC 6298).
inline constexpr std::chrono::seconds RetransmissionWindow { 10 };
/// An accepted configuration is in force everywhere within 12 s, and an open forwarded before that may be
/// retransmitted within RetransmissionWindow. A refusal because of a partition is only correct after both.
inline constexpr std::chrono::seconds RefusalDelay { 22 };
/// Time after a change in which active UDP flows get records at the owner.
inline constexpr std::chrono::seconds UdpSettlingTime { 2 };
/// Packets of a closed flow are still forwarded to its upstream for this time.
inline constexpr std::chrono::seconds ClosedFlowTimeout { 60 };
/// Packets do not refresh the records of a steady bucket. Unless the flow is closed, such a record is dropped after
/// this time.
inline constexpr std::chrono::hours SteadyRecordTimeout { 24 };

/// State shared by the packet path and the control path in addition to the groups.
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
