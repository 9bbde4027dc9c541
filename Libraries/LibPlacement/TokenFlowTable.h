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

/// What a balancer remembers of a flow whose packets pass it. It routes nothing by this but copies of opening packets:
/// losing it costs no flow.
struct TokenFlow {
    Core::UpstreamId upstream;
    Core::TimePoint openedAt;
    Core::TimePoint lastPacketAt;
    /// When the request in flight was first forwarded; nothing while none is.
    std::optional<Core::TimePoint> requestStartedAt;
    /// Id of the request in flight; 0 where the caller's bytes don't show it.
    std::uint64_t requestId { 0 };
    /// Last acknowledgement number of the caller: a reset must lie near it.
    std::uint32_t acknowledgement { 0 };
    /// Sequence number after the last byte that the caller sent.
    std::uint32_t nextSequenceNumber { 0 };
    /// The caller has sent a packet other than an opening one.
    bool isEstablished { false };
    /// The caller has closed or reset the flow; it no longer counts as open, but its last packets may still come.
    bool isClosed { false };
};

/// The beginning of an answer.
struct TokenResponse {
    /// Since the request was forwarded.
    std::chrono::nanoseconds duration { 0 };
    /// Bytes that were acknowledged at once; all of an answer of one packet.
    std::uint32_t bytes { 0 };
};

struct TokenFlowHooks {
    std::function<void(Core::UpstreamId)> opened;
    std::function<void(Core::UpstreamId)> closed;
    std::function<void(Core::UpstreamId)> requestStarted;
    /// The caller acknowledged the first bytes of the answer.
    std::function<void(Core::FlowKey const&, TokenFlow const&, TokenResponse const&)> responseStarted;
    /// The flow ended while the request was in flight.
    std::function<void(Core::UpstreamId)> requestDropped;
};

/// The flows that passed this balancer recently. Not thread-safe.
class TokenFlowTable {
public:
    /// What a reset of a flow and a line about it need.
    struct EndedFlow {
        Core::FlowKey flow;
        std::uint32_t acknowledgement { 0 };
        /// Id of the request that was in flight; 0: none, or unknown.
        std::uint64_t requestId { 0 };
    };

    struct UnansweredFlow {
        Core::FlowKey flow;
        Core::UpstreamId upstream;
        Core::TimePoint since;
    };

    TokenFlowTable(Core::Clock const&, std::size_t maximumFlows, TokenFlowHooks);

    TokenFlow const* find(Core::FlowKey const&) const;
    /// The upstream of the last open from this address, if the caller has not gone on with it. A caller whose open was
    /// answered with a reset, which balancers don't see, tries again from another port.
    Core::UpstreamId unconfirmedOpenOf(Core::IpAddress const& caller) const;
    /// Records an opening packet that goes to the upstream. Does nothing when the table is full.
    void recordOpen(Core::FlowKey const&, Core::UpstreamId);
    /// Records another packet of the caller that goes to the upstream. True when it shows that the upstream answers at
    /// present: an acknowledgement of new data without a request, or the first packet after an opening one that was
    /// recorded here.
    bool recordPacket(TokenPacket const&, Core::UpstreamId);
    /// The caller has sent its last data; the record goes away when it expires.
    void close(Core::FlowKey const&);
    void remove(Core::FlowKey const&);
    /// Removes the flows of an upstream and returns the established ones that are open.
    std::vector<EndedFlow> removeAll(Core::UpstreamId);
    /// Opens that the caller has not gone on with for the limit, each reported once.
    std::vector<UnansweredFlow> takeUnconfirmedOpens(std::chrono::milliseconds limit);
    /// Flows whose request has been in flight for the limit since it was last reported.
    std::vector<UnansweredFlow> takeUnansweredRequests(std::chrono::milliseconds limit);
    /// The process was paused: the time of the pause does not count as silence.
    void restartRequestTimers();
    /// Removes flows without packets for the timeout.
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
