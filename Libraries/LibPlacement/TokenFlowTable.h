#pragma once

#include <LibCore/Core.h>
#include <LibPlacement/TokenPacket.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace Chicorytally::Placement {

/// State of a flow whose packets pass through this balancer. Only copies of opening packets are routed by it, so losing
/// it breaks no flow.
struct TokenFlow {
    Core::UpstreamId upstream;
    Core::TimePoint openedAt;
    Core::TimePoint lastPacketAt;
    /// When the request in flight was first forwarded; unset if there is none.
    std::optional<Core::TimePoint> requestStartedAt;
    /// Id of the request in flight; 0 if its payload doesn't show one.
    std::uint64_t requestId { 0 };
    /// Last acknowledgement number of the caller; the sequence number of a reset must be near it.
    std::uint32_t acknowledgement { 0 };
    /// Sequence number after the last byte that the caller sent.
    std::uint32_t nextSequenceNumber { 0 };
    /// The opening packet was forwarded by this balancer, at openedAt.
    bool isOpenSeen { false };
    /// The caller has sent a packet other than an opening one.
    bool isEstablished { false };
    /// The caller has closed or reset the flow. It no longer counts as open, but its last packets may still arrive.
    bool isClosed { false };
};

/// The start of a response.
struct TokenResponse {
    /// Time since the request was forwarded.
    std::chrono::nanoseconds duration { 0 };
    /// Bytes covered by the first acknowledgement; the whole response if it fits into one packet.
    std::uint32_t bytes { 0 };
    /// The acknowledgement came with the caller's next request, possibly long after the response.
    bool isAcknowledgedLate { false };
};

struct TokenFlowHooks {
    std::function<void(Core::UpstreamId)> opened;
    std::function<void(Core::UpstreamId)> closed;
    std::function<void(Core::FlowKey const&, TokenFlow const&)> requestStarted;
    /// The caller acknowledged the first bytes of the response.
    std::function<void(Core::FlowKey const&, TokenFlow const&, TokenResponse const&)> responseStarted;
    /// The flow ended while the request was in flight.
    std::function<void(Core::UpstreamId)> requestDropped;
};

/// Flows whose packets recently passed through this balancer. Not thread-safe.
class TokenFlowTable {
public:
    /// What is needed to reset a flow and to log the reset.
    struct EndedFlow {
        Core::FlowKey flow;
        std::uint32_t acknowledgement { 0 };
        /// Id of the request that was in flight; 0 if none or unknown.
        std::uint64_t requestId { 0 };
    };

    struct UnansweredFlow {
        Core::FlowKey flow;
        Core::UpstreamId upstream;
        Core::TimePoint since;
    };

    TokenFlowTable(Core::Clock const&, std::size_t maximumFlows, TokenFlowHooks);

    TokenFlow const* find(Core::FlowKey const&) const;
    /// The upstream of the last open from this address, if the caller has not continued that flow. A caller whose open
    /// was answered with a reset, which balancers don't see, retries from another port.
    Core::UpstreamId unconfirmedOpenOf(Core::IpAddress const& caller) const;
    /// Records an opening packet that is forwarded to the upstream. Does nothing when the table is full.
    void recordOpen(Core::FlowKey const&, Core::UpstreamId);
    /// Records a later packet of the caller that is forwarded to the upstream. Returns true if it shows that the
    /// upstream is currently responding: an acknowledgement of new data without a request, or the first packet after an
    /// opening one that was recorded here.
    bool recordPacket(TokenPacket const&, Core::UpstreamId);
    /// Marks the flow as closed by the caller; it is removed when it expires.
    void close(Core::FlowKey const&);
    void remove(Core::FlowKey const&);
    /// Removes the flows of an upstream that are known since before the given time and returns those that were
    /// established and open.
    std::vector<EndedFlow> removeAll(Core::UpstreamId, Core::TimePoint openedBefore = Core::TimePoint::max());
    /// Opens whose flow the caller has not continued within the limit; each is returned once.
    std::vector<UnansweredFlow> takeUnconfirmedOpens(std::chrono::milliseconds limit);
    /// Flows whose request has been in flight for the limit; each request is returned once.
    std::vector<UnansweredFlow> takeUnansweredRequests(std::chrono::milliseconds limit);
    /// Call after a pause of the process, so that the time of the pause doesn't count towards the limits.
    void restartRequestTimers();
    /// Removes flows that had no packet for the timeout.
    void expire(std::chrono::milliseconds idleTimeout);
    std::size_t size() const { return m_flows.size(); }

private:
    using Flows = absl::flat_hash_map<Core::FlowKey, TokenFlow>;

    struct TimeoutCheck {
        Core::FlowKey flow;
        Core::TimePoint since;
    };

    TokenFlow* add(Core::FlowKey const&, Core::UpstreamId);
    void moveTo(TokenFlow&, Core::UpstreamId);
    void startRequest(TokenPacket const&, TokenFlow&);
    void reportEnd(TokenFlow const&);

    Core::Clock const& m_clock;
    std::size_t m_maximumFlows;
    TokenFlowHooks m_hooks;
    Flows m_flows;
    /// Requests in the order of their start; entries whose request has ended are skipped.
    std::deque<TimeoutCheck> m_requestChecks;
    /// The same for opens.
    std::deque<TimeoutCheck> m_openChecks;
    absl::flat_hash_map<Core::IpAddress, Core::FlowKey> m_lastOpens;
};

}
