#include "SiteModel.h"

namespace Chicorytally::Tests {

using namespace std::chrono_literals;
using Placement::PacketKind;
using Placement::Verdict;

static constexpr std::size_t Zones = 2;
static constexpr std::size_t Upstreams = 8;
static constexpr std::size_t Callers = 40;
static constexpr auto LinkDelay = 1ms;
static constexpr auto StoreLag = 20ms;
static constexpr auto TickInterval = 50ms;
static constexpr auto ProbeTimeout = 150ms;
static constexpr auto PauseBetweenRequests = 120ms;
static constexpr auto RequestTimeout = 2500ms;
static constexpr auto OpenTimeout = 1400ms;
static constexpr auto ChangeBound = 1s;
static constexpr auto ContactTime = 4s;
static constexpr std::array Repeats { 0ms, 200ms, 600ms, 1400ms };
static constexpr std::uint16_t RequestLength = 100;
static constexpr std::uint32_t AnswerLength = 500;
static constexpr unsigned RequestsPerFlow = 30;

static Core::ServiceId const Service = Directory::serviceId("register");
static auto const ServiceAddress = *Core::Endpoint::parse("198.18.0.1:443");

static Core::ZoneId zoneId(std::size_t zone) { return Core::ZoneId { zone + 1 }; }
static Core::UpstreamId upstreamId(std::size_t index) { return Core::UpstreamId { 0x100 + index }; }

struct SiteModel::Node {
    std::size_t zone { 0 };
    bool isUp { true };
    std::uint64_t life { 0 };
    std::unique_ptr<Telemetry::Metrics> metrics;
    std::unique_ptr<Balancer::TokenBalancer> balancer;
};

struct SiteModel::Upstream {
    std::size_t zone { 0 };
    bool isAlive { true };
    bool isDark { false };
    bool isListed { true };
    std::optional<Core::TimePoint> drainingSince;
    std::chrono::milliseconds workTime { 40 };
    /// Ports of the callers' open flows, with the end of the last request that was taken.
    std::map<std::pair<std::size_t, std::uint16_t>, std::uint32_t> flows;
};

struct SiteModel::Caller {
    std::size_t zone { 0 };
    std::uint16_t port { 1024 };
    /// Counts tries and requests, so that timers of earlier ones do nothing.
    std::uint64_t call { 0 };
    bool isOpen { false };
    bool isWaiting { false };
    unsigned requestsLeft { 0 };
    Directory::RoutingToken token { 0 };
    std::uint32_t sequence { 1 };
    std::uint32_t acknowledgement { 0 };
    Core::TimePoint requestedAt;
};

SiteModel::SiteModel(Kind kind, std::uint64_t seed)
    : m_kind(kind)
    , m_random(seed)
{
    for (std::size_t i = 0; i < Upstreams; ++i)
        m_upstreams.emplace_back(std::make_unique<Upstream>())->zone = i % Zones;
    for (std::size_t i = 0; i < Zones; ++i) {
        m_nodes.emplace_back(std::make_unique<Node>())->zone = i;
        startBalancer(i);
    }
    for (std::size_t i = 0; i < Callers; ++i) {
        m_callers.emplace_back(std::make_unique<Caller>())->zone = i % Zones;
        schedule(std::chrono::milliseconds { m_random() % 200 }, [this, i] { startCall(i); });
    }
}

SiteModel::~SiteModel() = default;

void SiteModel::schedule(std::chrono::nanoseconds delay, Event event)
{
    m_events.push({ m_clock.now() + delay, m_eventNumber++, std::move(event) });
}

void SiteModel::run(std::chrono::milliseconds duration)
{
    auto end = m_clock.now() + duration;
    while (!m_events.empty() && m_events.top().time <= end) {
        auto next = m_events.top();
        m_events.pop();
        m_clock.set(next.time);
        next.event();
    }
    m_clock.set(end);
}

static Directory::UpstreamEntry entryOf(std::size_t index, std::size_t zone, std::uint64_t revision, bool isDraining)
{
    Directory::UpstreamEntry entry;
    entry.upstream.id = upstreamId(index);
    entry.upstream.name = std::to_string(index);
    entry.upstream.address = *Core::Endpoint::parse("10.0.0." + std::to_string(index + 1) + ":80");
    entry.upstream.zone = zoneId(zone);
    entry.upstream.state = isDraining ? Model::UpstreamState::Draining : Model::UpstreamState::Active;
    entry.service = Service;
    entry.incarnation = Core::Incarnation { 1 };
    entry.revision = Core::Revision { revision };
    return entry;
}

void SiteModel::spreadReport(Node const& sender, Load::PeerReport const& report)
{
    for (auto& node : m_nodes) {
        if (node.get() == &sender || !node->isUp || !isConnected(sender.zone, node->zone))
            continue;
        schedule(LinkDelay, [&node, report, life = node->life] {
            if (node->isUp && node->life == life)
                node->balancer->noteReport(report);
        });
    }
}

void SiteModel::startBalancer(std::size_t index)
{
    auto& node = *m_nodes[index];
    node.isUp = true;
    ++node.life;
    node.metrics = std::make_unique<Telemetry::Metrics>();
    Balancer::TokenBalancerOptions options {
        .self = Core::VmId { index + 1 }, .zone = zoneId(node.zone), .randomSeed = m_random()
    };
    Balancer::TokenBalancerHooks hooks {
        .startProbe =
            [this, &node, life = node.life](Core::UpstreamId id, auto const&) {
                auto found = probe(node.zone, *indexOf(id));
                auto delay = found == Load::LivenessProbeResult::NoAnswer ? ProbeTimeout : 2 * LinkDelay;
                schedule(delay, [this, &node, life, id] {
                    if (node.isUp && node.life == life)
                        node.balancer->probeEnded(id, probe(node.zone, *indexOf(id)));
                });
            },
        .report =
            [this, &node, self = options.self](Core::UpstreamId id, Load::ReportKind kind) {
                spreadReport(node, { id, kind, self });
            },
        .sendReset =
            [this, &node](Core::FlowKey const& flow, auto) {
                auto caller = flow.source.address.v4Bytes()[3];
                schedule(LinkDelay,
                    [this, caller, port = flow.source.port, zone = node.zone] { receiveReset(caller, port, zone); });
            },
        .viewAge = [] { return std::optional<std::chrono::milliseconds> { 0ms }; },
    };
    node.balancer = std::make_unique<Balancer::TokenBalancer>(m_clock, options, std::move(hooks), *node.metrics);
    Directory::RouteTable table;
    table.version = 1;
    table.services.emplace(Service, Directory::ServiceLimits {});
    table.routes.emplace(ServiceAddress, Directory::Route { "r", ServiceAddress, { { Service, 1 } } });
    node.balancer->applyRoutes(table);
    for (std::size_t i = 0; i < m_upstreams.size(); ++i) {
        if (m_upstreams[i]->isListed)
            node.balancer->applyUpstream(
                entryOf(i, m_upstreams[i]->zone, m_revision, m_upstreams[i]->drainingSince.has_value()));
    }
    for (auto zone : m_zonesOut)
        node.balancer->setZoneOut(zoneId(zone), true);
    node.balancer->setComplete(true);
    tickBalancer(index, node.life);
}

void SiteModel::tickBalancer(std::size_t index, std::uint64_t life)
{
    auto& node = *m_nodes[index];
    if (!node.isUp || node.life != life)
        return;
    if (m_kind == Kind::Tokens)
        node.balancer->tick();
    schedule(TickInterval, [this, index, life] { tickBalancer(index, life); });
}

void SiteModel::write(std::function<void(Node&)> const& change)
{
    ++m_revision;
    for (auto& node : m_nodes) {
        // The store is in zone 0; a zone that is cut off learns nothing.
        schedule(StoreLag, [this, change, &node = *node] {
            if (node.isUp && isConnected(node.zone, 0))
                change(node);
        });
    }
}

void SiteModel::writeUpstream(std::size_t index)
{
    auto const& upstream = *m_upstreams[index];
    auto revision = m_revision + 1;
    if (!upstream.isListed) {
        write([index, revision](
                  Node& node) { node.balancer->removeUpstream(upstreamId(index), Core::Revision { revision }); });
        return;
    }
    auto entry = entryOf(index, upstream.zone, revision, upstream.drainingSince.has_value());
    write([entry](Node& node) { node.balancer->applyUpstream(entry); });
}

void SiteModel::drain(std::size_t upstream)
{
    m_upstreams[upstream]->drainingSince = m_clock.now();
    writeUpstream(upstream);
}

void SiteModel::leave(std::size_t upstream)
{
    m_upstreams[upstream]->isAlive = false;
    setListed(upstream, false);
}

void SiteModel::crash(std::size_t upstream) { m_upstreams[upstream]->isAlive = false; }

void SiteModel::goDark(std::size_t upstream) { m_upstreams[upstream]->isDark = true; }

void SiteModel::setWorkTime(std::size_t upstream, std::chrono::milliseconds time)
{
    m_upstreams[upstream]->workTime = time;
}

void SiteModel::setListed(std::size_t upstream, bool isListed)
{
    m_upstreams[upstream]->isListed = isListed;
    writeUpstream(upstream);
}

void SiteModel::setZoneOut(std::size_t zone, bool isOut)
{
    if (isOut) {
        m_zonesOut.insert(zone);
        m_zonesOutSince[zone] = m_clock.now();
    } else {
        m_zonesOut.erase(zone);
        m_zonesOutSince.erase(zone);
    }
    write([zone, isOut](Node& node) { node.balancer->setZoneOut(zoneId(zone), isOut); });
}

void SiteModel::setCut(bool isCut)
{
    m_isCut = isCut;
    m_healedAt = m_clock.now();
}

void SiteModel::restart(std::size_t balancer, std::chrono::milliseconds downTime)
{
    m_nodes[balancer]->isUp = false;
    schedule(downTime, [this, balancer] { startBalancer(balancer); });
}

bool SiteModel::isConnected(std::size_t zone, std::size_t otherZone) const { return !m_isCut || zone == otherZone; }

SiteModel::Node* SiteModel::route(std::size_t zone)
{
    Node* other = nullptr;
    for (auto& node : m_nodes) {
        if (!node->isUp || (m_kind == Kind::Tokens && !node->balancer->canServe()))
            continue;
        if (node->zone == zone)
            return node.get();
        other = node.get();
    }
    return other;
}

Load::LivenessProbeResult SiteModel::probe(std::size_t zone, std::size_t index) const
{
    auto const& upstream = *m_upstreams[index];
    if (upstream.isDark || !isConnected(zone, upstream.zone))
        return Load::LivenessProbeResult::NoAnswer;
    return upstream.isAlive ? Load::LivenessProbeResult::Answered : Load::LivenessProbeResult::Refused;
}

std::optional<std::size_t> SiteModel::indexOf(Core::UpstreamId id) const { return id.value() - upstreamId(0).value(); }

Placement::TokenPacket SiteModel::packetOf(std::size_t index, PacketKind kind, std::uint16_t length) const
{
    auto const& caller = *m_callers[index];
    Placement::TokenPacket packet;
    auto host = "100.64.0." + std::to_string(index);
    packet.flow = { { *Core::IpAddress::parse(host), caller.port }, ServiceAddress };
    packet.kind = kind;
    packet.token = caller.token;
    packet.sequence = caller.sequence;
    packet.acknowledgement = caller.acknowledgement;
    packet.length = length;
    return packet;
}

void SiteModel::startCall(std::size_t index)
{
    auto& caller = *m_callers[index];
    ++caller.port;
    ++caller.call;
    caller.isOpen = false;
    caller.isWaiting = false;
    caller.token = 0;
    caller.acknowledgement = 0;
    caller.requestsLeft = 1 + static_cast<unsigned>(m_random() % RequestsPerFlow);
    sendOpen(index, caller.call, 0);
    schedule(OpenTimeout, [this, index, call = caller.call] {
        if (m_callers[index]->call != call || m_callers[index]->isOpen)
            return;
        ++m_outcome.failedOpens;
        startCall(index);
    });
}

void SiteModel::sendOpen(std::size_t index, std::uint64_t call, unsigned copy)
{
    auto& caller = *m_callers[index];
    if (caller.call != call || caller.isOpen)
        return;
    sendToBalancer(index, packetOf(index, PacketKind::Open, 0));
    if (copy + 1 < Repeats.size() - 1)
        schedule(Repeats[copy + 1] - Repeats[copy], [this, index, call, copy] { sendOpen(index, call, copy + 1); });
}

void SiteModel::sendRequest(std::size_t index, std::uint64_t call, unsigned copy)
{
    auto& caller = *m_callers[index];
    if (caller.call != call || !caller.isOpen)
        return;
    if (copy == 0) {
        caller.isWaiting = true;
        caller.requestedAt = m_clock.now();
        schedule(RequestTimeout, [this, index, call] {
            if (m_callers[index]->call == call)
                endRequest(index, false);
        });
    }
    sendToBalancer(index, packetOf(index, PacketKind::Data, RequestLength));
    if (copy + 1 < Repeats.size())
        schedule(Repeats[copy + 1] - Repeats[copy], [this, index, call, copy] { sendRequest(index, call, copy + 1); });
}

void SiteModel::sendToBalancer(std::size_t caller, Placement::TokenPacket const& packet)
{
    schedule(LinkDelay, [this, caller, packet] {
        if (auto* node = route(m_callers[caller]->zone))
            handle(*node, caller, packet);
    });
}

Directory::UpstreamRecord const* SiteModel::chooseNaively(Node const& node, Core::FlowKey const& flow) const
{
    std::vector<Directory::UpstreamRecord const*> local;
    for (auto const* record : node.balancer->directory().upstreamsOf(Service)) {
        if (record->entry.upstream.zone == zoneId(node.zone) && node.balancer->directory().isOpenable(*record))
            local.push_back(record);
    }
    return local.empty() ? nullptr : local[flow.hash(0).low % local.size()];
}

void SiteModel::handle(Node& node, std::size_t caller, Placement::TokenPacket const& packet)
{
    Placement::TokenDecision decision;
    if (m_kind == Kind::Tokens) {
        decision = node.balancer->decide(packet);
        node.balancer->suspectSilent();
    } else {
        decision.upstream = packet.kind == PacketKind::Open ? chooseNaively(node, packet.flow)
                                                            : node.balancer->directory().findByToken(packet.token);
        decision.verdict = decision.upstream ? Verdict::Forward : Verdict::Drop;
        decision.token = decision.upstream ? decision.upstream->token : 0;
    }
    if (decision.verdict == Verdict::Reset || decision.verdict == Verdict::Refuse) {
        schedule(LinkDelay,
            [this, caller, port = packet.flow.source.port, zone = node.zone] { receiveReset(caller, port, zone); });
        return;
    }
    if (decision.verdict != Verdict::Forward)
        return;
    auto index = *indexOf(decision.upstream->entry.upstream.id);
    if (!isConnected(node.zone, m_upstreams[index]->zone))
        return;
    auto forwarded = packet;
    forwarded.token = decision.token;
    schedule(LinkDelay, [this, index, caller, forwarded] { receiveAtUpstream(index, caller, forwarded); });
}

void SiteModel::receiveAtUpstream(std::size_t index, std::size_t caller, Placement::TokenPacket const& packet)
{
    auto& upstream = *m_upstreams[index];
    auto port = packet.flow.source.port;
    if (upstream.isDark)
        return;
    auto flow = upstream.flows.find({ caller, port });
    bool isOpen = packet.kind == PacketKind::Open;
    if (!upstream.isAlive || (!isOpen && flow == upstream.flows.end())) {
        schedule(LinkDelay, [this, caller, port] { receiveReset(caller, port, std::nullopt); });
        return;
    }
    auto out = m_zonesOutSince.find(upstream.zone);
    if (isOpen) {
        bool isLate = (upstream.drainingSince && m_clock.now() - *upstream.drainingSince > ChangeBound)
            || (out != m_zonesOutSince.end() && m_clock.now() - out->second > ChangeBound);
        m_outcome.lateOpens += isLate ? 1 : 0;
        upstream.flows.try_emplace({ caller, port }, 0);
        schedule(LinkDelay, [this, caller, port, token = packet.token] { receiveAnswer(caller, port, 1, token); });
        return;
    }
    auto end = packet.sequence + packet.length;
    if (packet.length == 0 || end <= flow->second)
        return;
    flow->second = end;
    schedule(upstream.workTime, [this, index, caller, port, token = packet.token, start = packet.acknowledgement] {
        if (m_upstreams[index]->isAlive && !m_upstreams[index]->isDark)
            receiveAnswer(caller, port, start + AnswerLength, token);
    });
}

void SiteModel::receiveAnswer(
    std::size_t index, std::uint16_t port, std::uint32_t sequence, Directory::RoutingToken token)
{
    auto& caller = *m_callers[index];
    if (caller.port != port || sequence <= caller.acknowledgement)
        return;
    caller.acknowledgement = sequence;
    caller.token = token;
    if (!caller.isOpen) {
        caller.isOpen = true;
        sendToBalancer(index, packetOf(index, PacketKind::Data, 0));
        sendRequest(index, caller.call, 0);
        return;
    }
    caller.sequence += RequestLength;
    sendToBalancer(index, packetOf(index, PacketKind::Data, 0));
    endRequest(index, true);
}

void SiteModel::endRequest(std::size_t index, bool isServed)
{
    auto& caller = *m_callers[index];
    ++(isServed ? m_outcome.served : m_outcome.lost);
    caller.isWaiting = false;
    ++caller.call;
    if (!isServed || --caller.requestsLeft == 0) {
        sendToBalancer(index, packetOf(index, PacketKind::Close, 0));
        startCall(index);
        return;
    }
    schedule(PauseBetweenRequests, [this, index, call = caller.call] { sendRequest(index, call, 0); });
}

void SiteModel::receiveReset(std::size_t index, std::uint16_t port, std::optional<std::size_t> balancerZone)
{
    auto& caller = *m_callers[index];
    if (caller.port != port)
        return;
    for (auto const& upstream : m_upstreams) {
        bool isLiving = upstream->isAlive && !upstream->isDark;
        bool isInReach = balancerZone
            && (*balancerZone == upstream->zone || (!m_isCut && m_clock.now() - m_healedAt > ContactTime));
        if (caller.isOpen && isLiving && isInReach && upstream->flows.contains({ index, port }))
            ++m_outcome.brokenFlows;
    }
    if (!caller.isOpen)
        ++m_outcome.failedOpens;
    else if (caller.isWaiting)
        ++m_outcome.lost;
    ++caller.call;
    caller.port++;
    schedule(10ms, [this, index] { startCall(index); });
}

}
