#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibPlacement/Decision.h>
#include <LibPlacement/TokenFlowTable.h>
#include <LibPlacement/TokenPacket.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

namespace Chicorytally::Placement {

struct TokenDecision {
    Verdict verdict { Verdict::Drop };
    Reason reason { Reason::UnknownService };
    /// Valid until the directory changes; set for Forward, and for Reset where the upstream is known.
    Directory::UpstreamRecord const* upstream { nullptr };
    /// Token to write into the packet; set for Forward.
    Directory::RoutingToken token { 0 };
    /// The first packet that this balancer sees of a flow opened through another balancer.
    bool isFirstPacketSeen { false };
    /// What in particular made the open be refused; empty if the reason says it all.
    std::string_view detail;
};

struct TokenPlacerOptions {
    /// Maximum number of flows with local state; packets of further flows are still forwarded.
    std::size_t maximumFlows { 100'000 };
    /// A copy of an opening packet that arrives sooner goes to the same upstream, whose response may be in flight.
    /// Callers retransmit after 200 ms at the earliest.
    std::chrono::milliseconds minimumRetransmissionInterval { 150 };
    /// Time from an opening packet to its last copy. If an upstream is expected within it, an opening packet that has
    /// none is dropped, so that a copy can be forwarded; otherwise it is refused.
    std::chrono::milliseconds lastRetransmission { 600 };
    /// How long the directory must have been complete before flows with an unknown token are reset: entries that
    /// expired while the store was unavailable return within 2 s. The token must also have been unknown for
    /// minimumRetransmissionInterval.
    std::chrono::milliseconds unknownTokenTimeout { 3000 };
};

struct TokenPlacerHooks {
    /// Decides whether a service in contention takes the open. Returns why not; empty if it does. Optional.
    std::function<std::string_view(Core::ServiceId, TokenPacket const&)> refusalOf;
    /// Chooses the upstream of a new flow. The excluded one has not responded to an earlier open of the caller.
    std::function<Directory::UpstreamRecord const*(Core::ServiceId, Core::UpstreamId excluded)> choose;
    /// Whether an upstream of the service is expected to accept new flows within the time.
    std::function<bool(Core::ServiceId, std::chrono::milliseconds)> acceptsSoon;
    /// The flows of the upstream are lost: their packets get no response, or its process has ended.
    std::function<bool(Core::UpstreamId)> isLost;
    /// The caller acknowledged new data of the upstream on a flow that this balancer knows since the given time.
    std::function<void(Core::UpstreamId, Core::TimePoint flowOpenedAt)> progressed;
    /// The caller retransmitted an opening packet that was forwarded to the upstream at the given time.
    std::function<void(Core::UpstreamId, Core::TimePoint)> openUnanswered;
};

/// Decides each packet by the routing token that it carries; opening packets are decided by the balancer that receives
/// them. No balancer needs flow records, so none are replicated and none can be lost. Not thread-safe.
class TokenPlacer {
public:
    TokenPlacer(
        Core::Clock const&, TokenPlacerOptions, Directory::UpstreamDirectory const&, TokenFlowTable&, TokenPlacerHooks);

    TokenDecision decide(TokenPacket const&);
    /// Sets whether the directory holds, as far as is known, every upstream that the discovery service lists.
    void setDirectoryComplete(bool);
    /// Removes unknown tokens that were first seen too long ago to matter.
    void sweep();

private:
    TokenDecision decideOpen(TokenPacket const&, Directory::Route const&);
    TokenDecision decideWithoutUpstream(Core::ServiceId) const;
    TokenDecision decideByToken(TokenPacket const&);
    TokenDecision decideUnknownToken(TokenPacket const&);

    Core::Clock const& m_clock;
    TokenPlacerOptions m_options;
    Directory::UpstreamDirectory const& m_directory;
    TokenFlowTable& m_flows;
    TokenPlacerHooks m_hooks;
    /// Unset while the directory may lack upstreams.
    std::optional<Core::TimePoint> m_directoryCompleteSince;
    bool m_wasDirectoryComplete { false };
    absl::flat_hash_map<Directory::RoutingToken, Core::TimePoint> m_unknownSince;
};

}
