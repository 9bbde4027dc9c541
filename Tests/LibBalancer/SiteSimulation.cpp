#include "SiteSimulation.h"

namespace Chicorytally::Tests {

using namespace std::chrono_literals;
using Placement::PacketKind;
using Placement::Verdict;

static constexpr std::size_t Zones = 2;
static constexpr std::size_t Upstreams = 8;
static constexpr std::size_t Callers = 40;
static constexpr auto LinkDelay = 1ms;
static constexpr auto StorePropagationDelay = 20ms;
static constexpr auto TickInterval = 50ms;
static constexpr auto ProbeTimeout = 150ms;
static constexpr auto PauseBetweenRequests = 120ms;
static constexpr auto RequestTimeout = 2500ms;
static constexpr auto OpenTimeout = 1400ms;
static constexpr auto ChangeDeadline = 1s;
static constexpr auto ReachabilityDelay = 4s;
static constexpr std::array TransmissionTimes { 0ms, 200ms, 600ms, 1400ms };
static constexpr std::uint16_t RequestLength = 100;
static constexpr std::uint32_t AnswerLength = 500;
static constexpr unsigned RequestsPerFlow = 30;

static Core::ServiceId const Service = Directory::serviceId("register");
static auto const ServiceAddress = *Core::Endpoint::parse("198.18.0.1:443");

static Core::ZoneId zoneId(std::size_t zone) { return Core::ZoneId { zone + 1 }; }
static Core::UpstreamId upstreamId(std::size_t index) { return Core::UpstreamId { 0x100 + index }; }

struct SiteSimulation::Node {
    std::size_t zone { 0 };
    bool isUp { true };
    std::uint64_t generation { 0 };
    std::unique_ptr<Telemetry::Metrics> metrics;
    std::unique_ptr<Balancer::TokenBalancer> balancer;
};

struct SiteSimulation::Upstream {
    std::size_t zone { 0 };
    bool isAlive { true };
    bool isUnresponsive { false };
    bool isRefusingProbes { false };
    bool isListed { true };
    std::optional<Core::TimePoint> drainingSince;
    std::chrono::milliseconds serviceTime { 40 };
    /// Open flows by caller and port, with the end sequence number of the last accepted request.
    std::map<std::pair<std::size_t, std::uint16_t>, std::uint32_t> flows;
};

struct SiteSimulation::Caller {
    std::size_t zone { 0 };
    std::uint16_t port { 1024 };
    /// Incremented for each open attempt and request, so that timers of earlier ones are ignored.
    std::uint64_t operation { 0 };
    bool isOpen { false };
    bool isWaiting { false };
    unsigned requestsLeft { 0 };
    Directory::RoutingToken token { 0 };
    std::uint32_t sequence { 1 };
    std::uint32_t acknowledgement { 0 };
    Core::TimePoint requestedAt;
};

SiteSimulation::SiteSimulation(Kind kind, std::uint64_t seed)
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
        schedule(std::chrono::milliseconds { m_random() % 200 }, [this, i] { startConnection(i); });
    }
}

SiteSimulation::~SiteSimulation() = default;

void SiteSimulation::schedule(std::chrono::nanoseconds delay, Event event)
{
    m_events.push({ m_clock.now() + delay, m_nextSequenceNumber++, std::move(event) });
}

void SiteSimulation::run(std::chrono::milliseconds duration)
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

static Directory::UpstreamEntry makeUpstreamEntry(
    std::size_t index, std::size_t zone, std::uint64_t revision, bool isDraining)
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

void SiteSimulation::broadcastReport(Node const& sender, Load::PeerReport const& report)
{
    for (auto& node : m_nodes) {
        if (node.get() == &sender || !node->isUp || !isConnected(sender.zone, node->zone))
            continue;
        schedule(LinkDelay, [&node, report, generation = node->generation] {
            if (node->isUp && node->generation == generation)
                node->balancer->handlePeerReport(report);
        });
    }
}

void SiteSimulation::startBalancer(std::size_t index)
{
    auto& node = *m_nodes[index];
    node.isUp = true;
    ++node.generation;
    node.metrics = std::make_unique<Telemetry::Metrics>();
    Balancer::TokenBalancerOptions options {
        .self = Core::VmId { index + 1 }, .zone = zoneId(node.zone), .randomSeed = m_random()
    };
    Balancer::TokenBalancerHooks hooks {
        .startProbe =
            [this, &node, generation = node.generation](Core::UpstreamId id, auto const&) {
                auto found = probe(node.zone, *indexOf(id));
                auto delay = found == Load::LivenessProbeResult::NoAnswer ? ProbeTimeout : 2 * LinkDelay;
                schedule(delay, [this, &node, generation, id] {
                    if (node.isUp && node.generation == generation)
                        node.balancer->handleProbeResult(id, probe(node.zone, *indexOf(id)));
                });
            },
        .report =
            [this, &node, self = options.self](Core::UpstreamId id, Load::ReportKind kind) {
                broadcastReport(node, { id, kind, self });
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
                makeUpstreamEntry(i, m_upstreams[i]->zone, m_revision, m_upstreams[i]->drainingSince.has_value()));
    }
    for (auto zone : m_zonesOutOfService)
        node.balancer->setZoneOutOfService(zoneId(zone), true);
    node.balancer->setComplete(true);
    tickBalancer(index, node.generation);
}

void SiteSimulation::tickBalancer(std::size_t index, std::uint64_t generation)
{
    auto& node = *m_nodes[index];
    if (!node.isUp || node.generation != generation)
        return;
    if (m_kind == Kind::Tokens)
        node.balancer->tick();
    schedule(TickInterval, [this, index, generation] { tickBalancer(index, generation); });
}

void SiteSimulation::writeToStore(std::function<void(Node&)> const& change)
{
    ++m_revision;
    for (auto& node : m_nodes) {
        // The store is in zone 0; a partitioned zone gets no updates.
        schedule(StorePropagationDelay, [this, change, &node = *node] {
            if (node.isUp && isConnected(node.zone, 0))
                change(node);
        });
    }
}

void SiteSimulation::writeUpstream(std::size_t index)
{
    auto const& upstream = *m_upstreams[index];
    auto revision = m_revision + 1;
    if (!upstream.isListed) {
        writeToStore([index, revision](Node& node) {
            node.balancer->removeUpstream(upstreamId(index), Core::Revision { revision });
        });
        return;
    }
    auto entry = makeUpstreamEntry(index, upstream.zone, revision, upstream.drainingSince.has_value());
    writeToStore([entry](Node& node) { node.balancer->applyUpstream(entry); });
}

void SiteSimulation::drain(std::size_t upstream)
{
    m_upstreams[upstream]->drainingSince = m_clock.now();
    writeUpstream(upstream);
}

void SiteSimulation::terminate(std::size_t upstream)
{
    m_upstreams[upstream]->isAlive = false;
    setListed(upstream, false);
}

void SiteSimulation::crash(std::size_t upstream) { m_upstreams[upstream]->isAlive = false; }

void SiteSimulation::becomeUnresponsive(std::size_t upstream) { m_upstreams[upstream]->isUnresponsive = true; }

void SiteSimulation::setServiceTime(std::size_t upstream, std::chrono::milliseconds time)
{
    m_upstreams[upstream]->serviceTime = time;
}

void SiteSimulation::setRefusingProbes(std::size_t upstream, bool isRefusing)
{
    m_upstreams[upstream]->isRefusingProbes = isRefusing;
}

void SiteSimulation::setListed(std::size_t upstream, bool isListed)
{
    m_upstreams[upstream]->isListed = isListed;
    writeUpstream(upstream);
}

void SiteSimulation::setZoneOutOfService(std::size_t zone, bool isOutOfService)
{
    if (isOutOfService) {
        m_zonesOutOfService.insert(zone);
        m_zonesOutSince[zone] = m_clock.now();
    } else {
        m_zonesOutOfService.erase(zone);
        m_zonesOutSince.erase(zone);
    }
    writeToStore(
        [zone, isOutOfService](Node& node) { node.balancer->setZoneOutOfService(zoneId(zone), isOutOfService); });
}

void SiteSimulation::setPartitioned(bool isPartitioned)
{
    m_isPartitioned = isPartitioned;
    m_healedAt = m_clock.now();
}

void SiteSimulation::restart(std::size_t balancer, std::chrono::milliseconds downtime)
{
    m_nodes[balancer]->isUp = false;
    schedule(downtime, [this, balancer] { startBalancer(balancer); });
}

bool SiteSimulation::isConnected(std::size_t zone, std::size_t otherZone) const
{
    return !m_isPartitioned || zone == otherZone;
}

SiteSimulation::Node* SiteSimulation::selectBalancer(std::size_t zone)
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

Load::LivenessProbeResult SiteSimulation::probe(std::size_t zone, std::size_t index) const
{
    auto const& upstream = *m_upstreams[index];
    if (upstream.isUnresponsive || !isConnected(zone, upstream.zone))
        return Load::LivenessProbeResult::NoAnswer;
    return upstream.isAlive && !upstream.isRefusingProbes ? Load::LivenessProbeResult::Answered
                                                          : Load::LivenessProbeResult::Refused;
}

std::optional<std::size_t> SiteSimulation::indexOf(Core::UpstreamId id) const
{
    return id.value() - upstreamId(0).value();
}

Placement::TokenPacket SiteSimulation::makePacket(std::size_t index, PacketKind kind, std::uint16_t length) const
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

void SiteSimulation::startConnection(std::size_t index)
{
    auto& caller = *m_callers[index];
    ++caller.port;
    ++caller.operation;
    caller.isOpen = false;
    caller.isWaiting = false;
    caller.token = 0;
    caller.acknowledgement = 0;
    caller.requestsLeft = 1 + static_cast<unsigned>(m_random() % RequestsPerFlow);
    sendOpen(index, caller.operation, 0);
    schedule(OpenTimeout, [this, index, operation = caller.operation] {
        if (m_callers[index]->operation != operation || m_callers[index]->isOpen)
            return;
        ++m_outcome.failedOpens;
        startConnection(index);
    });
}

void SiteSimulation::sendOpen(std::size_t index, std::uint64_t operation, unsigned transmission)
{
    auto& caller = *m_callers[index];
    if (caller.operation != operation || caller.isOpen)
        return;
    sendToBalancer(index, makePacket(index, PacketKind::Open, 0));
    if (transmission + 1 < TransmissionTimes.size() - 1)
        schedule(TransmissionTimes[transmission + 1] - TransmissionTimes[transmission],
            [this, index, operation, transmission] { sendOpen(index, operation, transmission + 1); });
}

void SiteSimulation::sendRequest(std::size_t index, std::uint64_t operation, unsigned transmission)
{
    auto& caller = *m_callers[index];
    if (caller.operation != operation || !caller.isOpen)
        return;
    if (transmission == 0) {
        caller.isWaiting = true;
        caller.requestedAt = m_clock.now();
        schedule(RequestTimeout, [this, index, operation] {
            if (m_callers[index]->operation == operation)
                endRequest(index, false);
        });
    }
    sendToBalancer(index, makePacket(index, PacketKind::Data, RequestLength));
    if (transmission + 1 < TransmissionTimes.size())
        schedule(TransmissionTimes[transmission + 1] - TransmissionTimes[transmission],
            [this, index, operation, transmission] { sendRequest(index, operation, transmission + 1); });
}

void SiteSimulation::sendToBalancer(std::size_t caller, Placement::TokenPacket const& packet)
{
    schedule(LinkDelay, [this, caller, packet] {
        if (auto* node = selectBalancer(m_callers[caller]->zone))
            handlePacket(*node, caller, packet);
    });
}

Directory::UpstreamRecord const* SiteSimulation::chooseByHash(Node const& node, Core::FlowKey const& flow) const
{
    std::vector<Directory::UpstreamRecord const*> local;
    for (auto const* record : node.balancer->directory().upstreamsOf(Service)) {
        if (record->entry.upstream.zone == zoneId(node.zone) && node.balancer->directory().acceptsNewFlows(*record))
            local.push_back(record);
    }
    return local.empty() ? nullptr : local[flow.hash(0).low % local.size()];
}

void SiteSimulation::handlePacket(Node& node, std::size_t caller, Placement::TokenPacket const& packet)
{
    Placement::TokenDecision decision;
    if (m_kind == Kind::Tokens) {
        decision = node.balancer->decide(packet);
        node.balancer->suspectSilentUpstreams();
    } else {
        decision.upstream = packet.kind == PacketKind::Open ? chooseByHash(node, packet.flow)
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

void SiteSimulation::receiveAtUpstream(std::size_t index, std::size_t caller, Placement::TokenPacket const& packet)
{
    auto& upstream = *m_upstreams[index];
    auto port = packet.flow.source.port;
    if (upstream.isUnresponsive)
        return;
    auto flow = upstream.flows.find({ caller, port });
    bool isOpen = packet.kind == PacketKind::Open;
    if (!upstream.isAlive || (!isOpen && flow == upstream.flows.end())) {
        schedule(LinkDelay, [this, caller, port] { receiveReset(caller, port, std::nullopt); });
        return;
    }
    auto out = m_zonesOutSince.find(upstream.zone);
    if (isOpen) {
        bool isLate = (upstream.drainingSince && m_clock.now() - *upstream.drainingSince > ChangeDeadline)
            || (out != m_zonesOutSince.end() && m_clock.now() - out->second > ChangeDeadline);
        m_outcome.lateOpens += isLate ? 1 : 0;
        upstream.flows.try_emplace({ caller, port }, 0);
        schedule(LinkDelay, [this, caller, port, token = packet.token] { receiveAnswer(caller, port, 1, token); });
        return;
    }
    auto end = packet.sequence + packet.length;
    if (packet.length == 0 || end <= flow->second)
        return;
    flow->second = end;
    schedule(upstream.serviceTime, [this, index, caller, port, token = packet.token, start = packet.acknowledgement] {
        if (m_upstreams[index]->isAlive && !m_upstreams[index]->isUnresponsive)
            receiveAnswer(caller, port, start + AnswerLength, token);
    });
}

void SiteSimulation::receiveAnswer(
    std::size_t index, std::uint16_t port, std::uint32_t sequence, Directory::RoutingToken token)
{
    auto& caller = *m_callers[index];
    if (caller.port != port || sequence <= caller.acknowledgement)
        return;
    caller.acknowledgement = sequence;
    caller.token = token;
    if (!caller.isOpen) {
        caller.isOpen = true;
        sendToBalancer(index, makePacket(index, PacketKind::Data, 0));
        sendRequest(index, caller.operation, 0);
        return;
    }
    caller.sequence += RequestLength;
    sendToBalancer(index, makePacket(index, PacketKind::Data, 0));
    endRequest(index, true);
}

void SiteSimulation::endRequest(std::size_t index, bool isServed)
{
    auto& caller = *m_callers[index];
    ++(isServed ? m_outcome.servedRequests : m_outcome.lostRequests);
    caller.isWaiting = false;
    ++caller.operation;
    if (!isServed || --caller.requestsLeft == 0) {
        sendToBalancer(index, makePacket(index, PacketKind::Close, 0));
        startConnection(index);
        return;
    }
    schedule(PauseBetweenRequests, [this, index, operation = caller.operation] { sendRequest(index, operation, 0); });
}

void SiteSimulation::receiveReset(std::size_t index, std::uint16_t port, std::optional<std::size_t> balancerZone)
{
    auto& caller = *m_callers[index];
    if (caller.port != port)
        return;
    for (auto const& upstream : m_upstreams) {
        bool isResponding = upstream->isAlive && !upstream->isUnresponsive;
        bool isReachable = balancerZone
            && (*balancerZone == upstream->zone
                || (!m_isPartitioned && m_clock.now() - m_healedAt > ReachabilityDelay));
        if (caller.isOpen && isResponding && isReachable && upstream->flows.contains({ index, port }))
            ++m_outcome.brokenFlows;
    }
    if (!caller.isOpen)
        ++m_outcome.failedOpens;
    else if (caller.isWaiting)
        ++m_outcome.lostRequests;
    ++caller.operation;
    caller.port++;
    schedule(10ms, [this, index] { startConnection(index); });
}

}
