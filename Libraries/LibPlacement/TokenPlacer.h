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

namespace Chicorytally::Placement {

struct TokenDecision {
    Verdict verdict { Verdict::Drop };
    Reason reason { Reason::UnknownService };
    /// Valid until the directory changes; set for Forward, and for Reset where the upstream is known.
    Directory::UpstreamRecord const* upstream { nullptr };
    /// To be written into the packet; set for Forward.
    Directory::RoutingToken token { 0 };
    /// The first packet here of a flow that another balancer opened.
    bool isFirstPacketSeen { false };
};

struct TokenPlacerOptions {
    /// Flows that are remembered at most; further ones are forwarded all the same.
    std::size_t maximumFlows { 100'000 };
    /// A copy of an opening packet that comes sooner goes to the same upstream, whose answer may be under way. Callers
    /// repeat after 200 ms at the earliest.
    std::chrono::milliseconds minimumRetransmissionInterval { 150 };
    /// How long a token must have been unknown, and the directory complete, before its flows are reset: entries that
    /// lapsed while the store was away return within 2 s.
    std::chrono::milliseconds unknownTokenTimeout { 3000 };
};

struct TokenPlacerHooks {
    /// The upstream of a new flow, with one that did not answer an earlier copy of the opening packet.
    std::function<Directory::UpstreamRecord const*(Core::ServiceId, Core::UpstreamId excluded)> choose;
    /// The flows of the upstream are lost: neither traffic nor probes get an answer.
    std::function<bool(Core::UpstreamId)> isLost;
    /// The caller acknowledged new data of the upstream.
    std::function<void(Core::UpstreamId)> progressed;
    /// The caller repeated its opening packet, which the upstream got at the time.
    std::function<void(Core::UpstreamId, Core::TimePoint)> openUnanswered;
};

/// Decides each packet by the routing token that it carries; opening packets are decided where they arrive. No record
/// of a flow is needed on any balancer, so none is copied and none is lost. Not thread-safe.
class TokenPlacer {
public:
    TokenPlacer(
        Core::Clock const&, TokenPlacerOptions, Directory::UpstreamDirectory const&, TokenFlowTable&, TokenPlacerHooks);

    TokenDecision decide(TokenPacket const&);
    /// Whether the directory holds every upstream that the discovery service lists, as far as can be known now.
    void setDirectoryComplete(bool);
    /// Forgets when tokens were first seen unknown, once they can no longer matter.
    void sweep();

private:
    TokenDecision decideOpen(TokenPacket const&, Directory::Route const&);
    TokenDecision decideByToken(TokenPacket const&);
    TokenDecision decideUnknownToken(TokenPacket const&);

    Core::Clock const& m_clock;
    TokenPlacerOptions m_options;
    Directory::UpstreamDirectory const& m_directory;
    TokenFlowTable& m_flows;
    TokenPlacerHooks m_hooks;
    /// Nothing while the directory may lack upstreams.
    std::optional<Core::TimePoint> m_directoryCompleteSince;
    absl::flat_hash_map<Directory::RoutingToken, Core::TimePoint> m_unknownSince;
};

}
