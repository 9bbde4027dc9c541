#include <LibPlacement/TokenPlacer.h>

namespace Chicorytally::Placement {

// Bounds the memory taken by tokens that were never issued.
static constexpr std::size_t MaximumUnknownTokens = 4096;

TokenPlacer::TokenPlacer(Core::Clock const& clock, TokenPlacerOptions options,
    Directory::UpstreamDirectory const& directory, TokenFlowTable& flows, TokenPlacerHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_directory(directory)
    , m_flows(flows)
    , m_hooks(std::move(hooks))
{
}

void TokenPlacer::setDirectoryComplete(bool isComplete)
{
    m_wasDirectoryComplete |= isComplete;
    if (!isComplete)
        m_directoryCompleteSince.reset();
    else if (!m_directoryCompleteSince)
        m_directoryCompleteSince = m_clock.now();
}

TokenDecision TokenPlacer::decide(TokenPacket const& packet)
{
    if (m_directory.version() == 0)
        return { Verdict::Drop, Reason::NotSynchronised };
    auto const* route = m_directory.findRoute(packet.flow.destination);
    if (!route) {
        m_flows.remove(packet.flow);
        bool isOpen = packet.kind == PacketKind::Open;
        return { isOpen ? Verdict::Refuse : Verdict::Reset, Reason::UnknownService };
    }
    return packet.kind == PacketKind::Open ? decideOpen(packet, *route) : decideByToken(packet);
}

TokenDecision TokenPlacer::decideOpen(TokenPacket const& packet, Directory::Route const& route)
{
    auto const* flow = m_flows.find(packet.flow);
    auto const* previous = flow ? m_directory.find(flow->upstream) : nullptr;
    auto excluded = m_flows.unconfirmedOpenOf(packet.flow.source.address);
    if (previous) {
        bool isRecent = m_clock.now() - flow->openedAt < m_options.minimumRetransmissionInterval;
        if (flow->isEstablished || isRecent)
            return { Verdict::Forward, Reason::RepeatedOpen, previous, previous->token };
        m_hooks.openUnanswered(flow->upstream, flow->openedAt);
        excluded = flow->upstream;
    }
    auto service = route.serviceFor(packet.flow.hash(0).low);
    if (!previous && m_hooks.refusalOf) {
        if (auto refusal = m_hooks.refusalOf(service, packet); !refusal.empty())
            return { .verdict = Verdict::Refuse, .reason = Reason::Overloaded, .detail = refusal };
    }
    auto const* chosen = m_hooks.choose(service, excluded);
    if (!chosen)
        return decideWithoutUpstream(service);
    m_flows.recordOpen(packet.flow, chosen->entry.upstream.id);
    return { Verdict::Forward, previous ? Reason::RepeatedOpen : Reason::NewFlow, chosen, chosen->token };
}

TokenDecision TokenPlacer::decideWithoutUpstream(Core::ServiceId service) const
{
    // After a start, the upstreams may arrive later than the routes. A refusal would use up one of the few attempts of
    // a caller whose copy 200 ms later can be forwarded.
    if (!m_wasDirectoryComplete)
        return { Verdict::Drop, Reason::NotSynchronised };
    bool isCopyUseful = m_hooks.acceptsSoon(service, m_options.lastRetransmission);
    return { isCopyUseful ? Verdict::Drop : Verdict::Refuse, Reason::NoUpstream };
}

TokenDecision TokenPlacer::decideByToken(TokenPacket const& packet)
{
    auto const* record = m_directory.findByToken(packet.token);
    if (!record)
        return decideUnknownToken(packet);
    auto id = record->entry.upstream.id;
    bool isFirstPacketSeen = !m_flows.find(packet.flow);
    if (m_flows.recordPacket(packet, id))
        m_hooks.progressed(id, m_flows.find(packet.flow)->openedAt);
    if (record->isSuperseded || m_hooks.isLost(id)) {
        m_flows.remove(packet.flow);
        return { Verdict::Reset, Reason::UpstreamGone, record };
    }
    if (packet.kind == PacketKind::Close)
        m_flows.close(packet.flow);
    return { Verdict::Forward, Reason::Token, record, record->token, isFirstPacketSeen };
}

TokenDecision TokenPlacer::decideUnknownToken(TokenPacket const& packet)
{
    if (m_unknownSince.size() >= MaximumUnknownTokens)
        return { Verdict::Drop, Reason::UnknownToken };
    auto since = m_unknownSince.try_emplace(packet.token, m_clock.now()).first->second;
    bool hasTimedOut = m_directoryCompleteSince
        && m_clock.now() - *m_directoryCompleteSince >= m_options.unknownTokenTimeout
        && m_clock.now() - since >= m_options.minimumRetransmissionInterval;
    return { hasTimedOut ? Verdict::Reset : Verdict::Drop, Reason::UnknownToken };
}

void TokenPlacer::sweep()
{
    absl::erase_if(m_unknownSince,
        [&](auto const& entry) { return m_clock.now() - entry.second > 4 * m_options.unknownTokenTimeout; });
}

}
