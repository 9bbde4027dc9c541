#include <LibPlacement/TokenFlowTable.h>

#include <algorithm>
#include <utility>

namespace Chicorytally::Placement {

// Sequence numbers wrap around (RFC 9293, section 3.4).
static bool isAfter(std::uint32_t left, std::uint32_t right) { return static_cast<std::int32_t>(left - right) > 0; }

TokenFlowTable::TokenFlowTable(Core::Clock const& clock, std::size_t maximumFlows, TokenFlowHooks hooks)
    : m_clock(clock)
    , m_maximumFlows(maximumFlows)
    , m_hooks(std::move(hooks))
{
}

TokenFlow const* TokenFlowTable::find(Core::FlowKey const& key) const
{
    auto flow = m_flows.find(key);
    return flow == m_flows.end() ? nullptr : &flow->second;
}

TokenFlow* TokenFlowTable::add(Core::FlowKey const& key, Core::UpstreamId upstream)
{
    if (m_flows.size() >= m_maximumFlows)
        return nullptr;
    auto& flow = m_flows[key];
    flow.upstream = upstream;
    flow.openedAt = m_clock.now();
    m_hooks.opened(upstream);
    return &flow;
}

void TokenFlowTable::moveTo(TokenFlow& flow, Core::UpstreamId upstream)
{
    reportEnd(flow);
    flow.requestStartedAt.reset();
    flow.isClosed = false;
    flow.upstream = upstream;
    m_hooks.opened(upstream);
}

void TokenFlowTable::reportEnd(TokenFlow const& flow)
{
    if (flow.isClosed)
        return;
    if (flow.requestStartedAt)
        m_hooks.requestDropped(flow.upstream);
    m_hooks.closed(flow.upstream);
}

void TokenFlowTable::recordOpen(Core::FlowKey const& key, Core::UpstreamId upstream)
{
    auto position = m_flows.find(key);
    auto* flow = position == m_flows.end() ? add(key, upstream) : &position->second;
    if (!flow)
        return;
    if (flow->upstream != upstream)
        moveTo(*flow, upstream);
    auto now = m_clock.now();
    flow->openedAt = now;
    flow->isOpenSeen = true;
    flow->lastPacketAt = now;
    m_openChecks.push_back({ key, now });
    m_lastOpens.insert_or_assign(key.source.address, key);
}

Core::UpstreamId TokenFlowTable::unconfirmedOpenOf(Core::IpAddress const& caller) const
{
    auto last = m_lastOpens.find(caller);
    if (last == m_lastOpens.end())
        return {};
    auto const* flow = find(last->second);
    return flow && !flow->isEstablished ? flow->upstream : Core::UpstreamId {};
}

std::vector<TokenFlowTable::UnansweredFlow> TokenFlowTable::takeUnconfirmedOpens(std::chrono::milliseconds limit)
{
    std::vector<UnansweredFlow> unconfirmed;
    while (!m_openChecks.empty() && m_clock.now() - m_openChecks.front().since >= limit) {
        auto check = m_openChecks.front();
        m_openChecks.pop_front();
        auto const* flow = find(check.flow);
        if (flow && !flow->isEstablished && flow->openedAt == check.since)
            unconfirmed.push_back({ check.flow, flow->upstream, check.since });
    }
    return unconfirmed;
}

bool TokenFlowTable::recordPacket(TokenPacket const& packet, Core::UpstreamId upstream)
{
    auto const& key = packet.flow;
    auto acknowledgement = packet.acknowledgement;
    auto position = m_flows.find(key);
    bool isNew = position == m_flows.end();
    auto* flow = isNew ? add(key, upstream) : &position->second;
    if (!flow)
        return false;
    if (flow->upstream != upstream) {
        moveTo(*flow, upstream);
        flow->openedAt = m_clock.now();
        isNew = true;
    }
    flow->lastPacketAt = m_clock.now();
    if (flow->isClosed)
        return false;
    bool isFirst = !std::exchange(flow->isEstablished, true);
    // The first packet seen of a flow that another balancer opened may be a retransmission to an upstream that is gone.
    bool isProgress = !isNew && (isFirst || isAfter(acknowledgement, flow->acknowledgement));
    if (isNew)
        flow->acknowledgement = acknowledgement;
    if (isProgress) {
        auto bytes = acknowledgement - std::exchange(flow->acknowledgement, acknowledgement);
        if (flow->requestStartedAt)
            m_hooks.responseStarted(key, *flow, { m_clock.now() - *flow->requestStartedAt, bytes, packet.length != 0 });
        flow->requestStartedAt.reset();
    }
    auto end = packet.sequence + packet.length;
    if (packet.length != 0 && (isFirst || isAfter(end, flow->nextSequenceNumber))) {
        flow->nextSequenceNumber = end;
        if (!flow->requestStartedAt)
            startRequest(packet, *flow);
    }
    // A caller may acknowledge a response long after it arrived, with its next request.
    return isProgress && (isFirst || packet.length == 0);
}

void TokenFlowTable::startRequest(TokenPacket const& packet, TokenFlow& flow)
{
    auto now = m_clock.now();
    flow.requestStartedAt = now;
    flow.requestId = packet.requestId;
    m_requestChecks.push_back({ packet.flow, now });
    m_hooks.requestStarted(packet.flow, flow);
}

void TokenFlowTable::close(Core::FlowKey const& key)
{
    auto position = m_flows.find(key);
    if (position == m_flows.end())
        return;
    reportEnd(position->second);
    position->second.requestStartedAt.reset();
    position->second.isClosed = true;
}

void TokenFlowTable::remove(Core::FlowKey const& key)
{
    auto flow = m_flows.find(key);
    if (flow == m_flows.end())
        return;
    reportEnd(flow->second);
    m_flows.erase(flow);
}

std::vector<TokenFlowTable::EndedFlow> TokenFlowTable::removeAll(
    Core::UpstreamId upstream, Core::TimePoint openedBefore)
{
    std::vector<EndedFlow> established;
    absl::erase_if(m_flows, [&](auto const& entry) {
        auto const& [key, flow] = entry;
        if (flow.upstream != upstream || flow.openedAt >= openedBefore)
            return false;
        if (flow.isEstablished && !flow.isClosed)
            established.push_back({ key, flow.acknowledgement, flow.requestStartedAt ? flow.requestId : 0 });
        reportEnd(flow);
        return true;
    });
    return established;
}

std::vector<TokenFlowTable::UnansweredFlow> TokenFlowTable::takeUnansweredRequests(std::chrono::milliseconds limit)
{
    std::vector<UnansweredFlow> unanswered;
    while (!m_requestChecks.empty() && m_clock.now() - m_requestChecks.front().since >= limit) {
        auto check = m_requestChecks.front();
        m_requestChecks.pop_front();
        auto position = m_flows.find(check.flow);
        if (position == m_flows.end() || position->second.requestStartedAt != check.since)
            continue;
        unanswered.push_back({ check.flow, position->second.upstream, check.since });
    }
    return unanswered;
}

void TokenFlowTable::restartRequestTimers()
{
    m_requestChecks.clear();
    m_openChecks.clear();
    auto now = m_clock.now();
    for (auto& [key, flow] : m_flows) {
        if (!flow.requestStartedAt)
            continue;
        flow.requestStartedAt = now;
        m_requestChecks.push_back({ key, now });
    }
}

void TokenFlowTable::expire(std::chrono::milliseconds idleTimeout)
{
    absl::erase_if(m_flows, [&](auto const& entry) {
        if (m_clock.now() - entry.second.lastPacketAt < idleTimeout)
            return false;
        reportEnd(entry.second);
        return true;
    });
    absl::erase_if(m_lastOpens, [this](auto const& entry) { return !m_flows.contains(entry.second); });
}

}
