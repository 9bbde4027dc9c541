#include <HarnessLoad/Traffic.h>

#include <algorithm>

namespace Chicorytally::Benchmarks {

template <typename Value> static double quantileOf(std::vector<Value> values, double quantile)
{
    if (values.empty())
        return 0;
    auto position = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(position), values.end());
    return static_cast<double>(values[position]);
}

double Figures::latency(double quantile) const { return quantileOf(latencies, quantile); }
double Figures::badShare(double quantile) const { return quantileOf(badShares, quantile); }

double Figures::badShareOverall() const
{
    auto all = requests + refused;
    return all > 0 ? static_cast<double>(refused + late) / static_cast<double>(all) : 0;
}

Traffic::Traffic(std::uint64_t seed, TrafficShape const& shape, PolicyKind kind)
    : m_shape(shape)
    , m_kind(kind)
    , m_random(seed)
    , m_fleet(seed + 1, shape.network)
    , m_start(m_fleet.now())
{
    m_configuration = std::make_shared<Model::Configuration const>(makeConfiguration(shape.site));
    m_fleet.setConfiguration(m_configuration);
    addServices();
    m_fleet.probe = [this](std::size_t, Core::UpstreamId id) -> std::optional<Load::UpstreamReport> {
        if (std::bernoulli_distribution { m_shape.probeLoss }(m_random))
            return std::nullopt;
        for (auto& service : m_services) {
            for (auto& upstream : service.upstreams) {
                if (upstream.truth.model().id == id)
                    return upstream.truth.report(m_now);
            }
        }
        return std::nullopt;
    };
    for (std::size_t i = 0; i < shape.balancers; ++i)
        m_fleet.add(zoneAt(shape.site, i % shape.site.zones));
    for (std::uint32_t i = 0; i < m_services.size(); ++i)
        schedule({ .time = after(m_services[i].arrivalRate), .kind = EventKind::Arrival, .service = i });
}

void Traffic::addServices()
{
    for (auto const& model : m_configuration->services) {
        ServiceEntry entry { .model = &model };
        double slots = 0;
        double connections = 0;
        for (std::size_t i = 0; i < model.upstreams.size(); ++i) {
            auto kind = ReportKind::Late;
            if (m_shape.hasLyingReports && i < 2)
                kind = i == 0 ? ReportKind::AlwaysZero : ReportKind::AlwaysFull;
            entry.upstreams.push_back({ .truth = FakeUpstream { model.upstreams[i], kind } });
            slots += model.upstreams[i].slots;
            connections += model.upstreams[i].maxConnections;
        }
        auto flows = m_shape.load * connections;
        entry.arrivalRate = flows / m_shape.flowLifetime.count();
        entry.requestRate = m_shape.load * slots / FakeUpstream::MeanServiceTime.count() / flows;
        placeBuckets(entry);
        m_services.push_back(std::move(entry));
        m_references.emplace_back(m_kind, m_random());
    }
}

// Targets in turn give even shares, as the placement tables do; the further candidates are in a random order.
void Traffic::placeBuckets(ServiceEntry& service)
{
    std::vector<std::uint32_t> active;
    for (std::uint32_t i = 0; i < service.upstreams.size(); ++i) {
        if (!isOut(service.upstreams[i]) && !service.upstreams[i].truth.model().isDraining())
            active.push_back(i);
    }
    service.candidates.assign(Buckets, {});
    for (std::size_t bucket = 0; bucket < Buckets; ++bucket) {
        auto list = active;
        auto score = [&](std::uint32_t index) {
            return Core::hashPair(bucket + 1, service.upstreams[index].truth.model().id.value());
        };
        std::ranges::sort(list, {}, score);
        auto target = std::ranges::find(list, active[bucket % active.size()]);
        std::rotate(list.begin(), target, target + 1);
        service.candidates[bucket] = std::move(list);
    }
}

bool Traffic::isOut(UpstreamEntry const& upstream) const
{
    return !m_configuration->isZoneInService(upstream.truth.model().zone);
}

void Traffic::setConfiguration(Model::Configuration next)
{
    next.revision = Core::Revision { m_configuration->revision.value() + 1 };
    m_configuration = std::make_shared<Model::Configuration const>(std::move(next));
    for (std::size_t i = 0; i < m_services.size(); ++i) {
        m_services[i].model = &m_configuration->services[i];
        for (std::size_t n = 0; n < m_services[i].upstreams.size(); ++n)
            m_services[i].upstreams[n].truth.setModel(m_services[i].model->upstreams[n]);
    }
    m_fleet.setConfiguration(m_configuration);
    for (auto& service : m_services)
        placeBuckets(service);
}

void Traffic::schedule(Event event)
{
    event.order = ++m_order;
    m_events.push(event);
}

Seconds Traffic::after(double rate) { return m_now + Seconds { std::exponential_distribution<> { rate }(m_random) }; }

void Traffic::run(Seconds duration)
{
    auto end = m_now + duration;
    while (true) {
        bool isTick = m_events.empty() || m_nextTick <= m_events.top().time;
        auto time = isTick ? m_nextTick : m_events.top().time;
        if (time > end)
            break;
        m_now = time;
        m_fleet.advanceTo(m_start + std::chrono::duration_cast<std::chrono::nanoseconds>(time));
        if (isTick) {
            tick();
            continue;
        }
        auto event = m_events.top();
        m_events.pop();
        handle(event);
    }
    m_now = end;
}

void Traffic::tick()
{
    m_nextTick += Seconds { 0.1 };
    if (m_kind == PolicyKind::Controllers)
        m_fleet.tickAll();
    sample();
    ++m_ticks;
    if (m_ticks % 10 == 0)
        endSecond();
    if (m_ticks % static_cast<int>(Window.count() * 10) == 0)
        endWindow();
}

void Traffic::sample()
{
    for (auto& service : m_services) {
        for (auto& upstream : service.upstreams)
            upstream.connectionSum += upstream.truth.connections;
    }
}

void Traffic::endSecond()
{
    if (m_secondAll > 0)
        m_figures.badShares.push_back(static_cast<double>(m_secondBad) / static_cast<double>(m_secondAll));
    m_secondAll = m_secondBad = 0;
}

void Traffic::endWindow()
{
    for (auto& service : m_services) {
        double connections = 0;
        double busy = 0;
        double greatestConnections = 0;
        double greatestBusy = 0;
        for (auto& upstream : service.upstreams) {
            auto used = upstream.truth.takeBusySeconds(m_now);
            connections += upstream.connectionSum;
            busy += used;
            greatestConnections = std::max(greatestConnections, upstream.connectionSum);
            greatestBusy = std::max(greatestBusy, used);
            upstream.connectionSum = 0;
        }
        auto count = static_cast<double>(service.upstreams.size());
        if (connections > 0)
            m_figures.connectionImbalance
                = std::max(m_figures.connectionImbalance, greatestConnections * count / connections);
        if (busy > 0)
            m_figures.slotImbalance = std::max(m_figures.slotImbalance, greatestBusy * count / busy);
    }
}

Figures Traffic::takeFigures()
{
    auto result = std::move(m_figures);
    m_figures = {};
    return result;
}

void Traffic::handle(Event const& event)
{
    switch (event.kind) {
    case EventKind::Arrival:
        schedule({ .time = after(m_services[event.service].arrivalRate),
            .kind = EventKind::Arrival,
            .service = event.service });
        open(event.service, 0);
        break;
    case EventKind::Retry:
        open(event.service, static_cast<std::uint32_t>(event.id));
        break;
    case EventKind::Close:
    case EventKind::GiveUp:
        close(event.id);
        break;
    case EventKind::Request:
        request(event.service);
        break;
    case EventKind::RequestEnd:
        requestEnds(event);
        break;
    }
}

// A lost balancer owns its buckets until the others have noticed.
std::optional<std::size_t> Traffic::ownerOf(ServiceEntry const& service, std::uint32_t bucket) const
{
    std::optional<std::size_t> best;
    std::uint64_t bestScore = 0;
    auto key = Core::hashPair(service.model->id.value(), bucket);
    for (std::size_t i = 0; i < m_fleet.size(); ++i) {
        if (!m_fleet.isOwner(i))
            continue;
        auto score = Core::hashPair(key, m_fleet.vm(i).value());
        if (best && score <= bestScore)
            continue;
        best = i;
        bestScore = score;
    }
    return best;
}

std::optional<std::uint32_t> Traffic::place(
    ServiceEntry& service, std::uint32_t bucket, std::optional<std::size_t> owner)
{
    if (m_kind != PolicyKind::Controllers) {
        std::vector<Candidate> all;
        for (auto const& upstream : service.upstreams)
            all.push_back({ &upstream.truth.model(), &upstream.truth, isOut(upstream) });
        auto& reference = m_references[static_cast<std::size_t>(&service - m_services.data())];
        auto chosen = reference.choose(all);
        if (chosen && all[*chosen].isOut)
            return std::nullopt;
        return chosen;
    }
    if (!owner || !m_fleet.isRunning(*owner))
        return std::nullopt;
    std::vector<Model::Upstream const*> candidates;
    for (auto index : service.candidates[bucket])
        candidates.push_back(&service.upstreams[index].truth.model());
    auto selection = m_fleet.at(*owner).select({ *service.model, candidates });
    if (!selection.index)
        return std::nullopt;
    m_figures.onTarget += *selection.index == 0;
    return service.candidates[bucket][*selection.index];
}

void Traffic::open(std::uint32_t serviceIndex, std::uint32_t attempt)
{
    auto& service = m_services[serviceIndex];
    ++m_figures.opens;
    ++m_secondAll;
    auto bucket = static_cast<std::uint32_t>(m_random() % Buckets);
    auto owner = ownerOf(service, bucket);
    auto chosen = place(service, bucket, owner);
    if (!chosen) {
        refuse(serviceIndex, attempt);
        return;
    }
    auto& upstream = service.upstreams[*chosen];
    auto id = m_nextFlow++;
    Flow flow { .service = serviceIndex,
        .upstream = *chosen,
        .owner = owner.value_or(0),
        .bucket = bucket,
        .isOnDeadUpstream = upstream.truth.isDead() };
    ++m_figures.admitted;
    ++upstream.opens;
    upstream.lastOpen = m_now;
    ++upstream.truth.connections;
    auto limit = upstream.truth.model().maxConnections;
    if (m_kind == PolicyKind::Controllers && upstream.truth.connections > limit)
        m_greatestExcess = std::max(m_greatestExcess, upstream.truth.connections - limit);
    if (m_kind == PolicyKind::Controllers) {
        m_fleet.at(flow.owner).flowOpened(service.model->id, upstream.truth.model().id);
        if (!flow.isOnDeadUpstream)
            m_fleet.at(flow.owner).flowConfirmed(service.model->id, upstream.truth.model().id);
    }
    if (flow.isOnDeadUpstream) {
        // The caller repeats its open after a second, and gives up after three.
        if (m_kind == PolicyKind::Controllers)
            m_fleet.at(flow.owner).admitRepeatedOpen(service.model->id, upstream.truth.model().id);
        m_figures.late += 1;
        m_secondBad += 1;
        m_figures.latencies.push_back(3);
        schedule({ .time = m_now + Seconds { 3 }, .kind = EventKind::GiveUp, .id = id });
        schedule({ .time = m_now + Seconds { 3 }, .kind = EventKind::Retry, .service = serviceIndex, .id = 1 });
    } else {
        flow.position = service.flows.size();
        service.flows.push_back(id);
        schedule({ .time = after(1 / m_shape.flowLifetime.count()), .kind = EventKind::Close, .id = id });
        scheduleRequest(serviceIndex);
    }
    m_flows.emplace(id, flow);
}

void Traffic::refuse(std::uint32_t service, std::uint32_t attempt)
{
    // SYN retransmission: 1 s, then doubling (RFC 6298); after five attempts the caller gives up.
    constexpr std::uint32_t Attempts = 5;
    ++m_figures.refused;
    ++m_secondBad;
    auto wait = Seconds { static_cast<double>(1U << std::min(attempt, 3U)) };
    m_figures.latencies.push_back(static_cast<float>(wait.count()));
    if (attempt < Attempts)
        schedule({ .time = m_now + wait, .kind = EventKind::Retry, .service = service, .id = attempt + 1 });
}

void Traffic::close(std::uint64_t id)
{
    if (m_flows.contains(id))
        endFlow(id, true);
}

void Traffic::endFlow(std::uint64_t id, bool isSeen)
{
    auto flow = m_flows[id];
    m_flows.erase(id);
    auto& service = m_services[flow.service];
    auto& upstream = service.upstreams[flow.upstream];
    if (!flow.isOnDeadUpstream) {
        auto last = service.flows.back();
        service.flows[flow.position] = last;
        m_flows[last].position = flow.position;
        service.flows.pop_back();
        if (last == id)
            m_flows.erase(id);
    }
    upstream.truth.connections -= upstream.truth.connections > 0;
    if (m_kind != PolicyKind::Controllers || !isSeen)
        return;
    auto upstreamId = upstream.truth.model().id;
    if (m_fleet.isAlive(flow.owner)) {
        m_fleet.at(flow.owner).flowClosed(service.model->id, upstreamId);
        return;
    }
    auto owner = ownerOf(service, flow.bucket);
    if (owner && m_fleet.isRunning(*owner))
        m_fleet.at(*owner).adoptedFlowClosed(service.model->id, upstreamId);
}

// The callers of broken flows open new ones within two seconds.
void Traffic::breakFlows(std::uint32_t serviceIndex, std::uint32_t upstreamIndex, bool isSeen)
{
    std::vector<std::uint64_t> broken;
    for (auto id : m_services[serviceIndex].flows) {
        if (m_flows[id].upstream == upstreamIndex)
            broken.push_back(id);
    }
    std::uniform_real_distribution<> pause { 0, 2 };
    for (auto id : broken) {
        endFlow(id, isSeen);
        schedule({ .time = m_now + Seconds { pause(m_random) },
            .kind = EventKind::Retry,
            .service = serviceIndex,
            .id = 0 });
    }
}

void Traffic::scheduleRequest(std::uint32_t serviceIndex)
{
    auto& service = m_services[serviceIndex];
    if (service.isRequestDue || service.flows.empty())
        return;
    service.isRequestDue = true;
    schedule({ .time = after(service.requestRate * static_cast<double>(service.flows.size())),
        .kind = EventKind::Request,
        .service = serviceIndex });
}

void Traffic::request(std::uint32_t serviceIndex)
{
    auto& service = m_services[serviceIndex];
    service.isRequestDue = false;
    scheduleRequest(serviceIndex);
    if (service.flows.empty())
        return;
    auto flow = m_flows[service.flows[m_random() % service.flows.size()]];
    auto& upstream = service.upstreams[flow.upstream];
    auto work = std::exponential_distribution<> { 1 / FakeUpstream::MeanServiceTime.count() }(m_random);
    auto end = upstream.truth.arrive({ m_now, Seconds { work } }, m_now);
    if (upstream.truth.isFailing(m_now)) {
        ++m_figures.coldFailures;
        restart(serviceIndex, flow.upstream);
        return;
    }
    if (!end)
        return;
    schedule({ .time = *end,
        .kind = EventKind::RequestEnd,
        .service = serviceIndex,
        .id = flow.upstream,
        .generation = upstream.truth.generation(),
        .arrived = m_now });
}

void Traffic::requestEnds(Event const& event)
{
    auto& upstream = m_services[event.service].upstreams[event.id].truth;
    if (upstream.generation() != event.generation || upstream.isDead())
        return;
    auto latency = m_now - event.arrived;
    ++m_figures.requests;
    ++m_secondAll;
    m_figures.latencies.push_back(static_cast<float>(latency.count()));
    if (latency > LateAfter) {
        ++m_figures.late;
        ++m_secondBad;
    }
    if (auto next = upstream.finish(m_now)) {
        schedule({ .time = next->end,
            .kind = EventKind::RequestEnd,
            .service = event.service,
            .id = event.id,
            .generation = event.generation,
            .arrived = next->request.arrived });
    }
}

void Traffic::kill(std::size_t service, std::size_t upstream)
{
    m_services[service].upstreams[upstream].truth.kill();
    breakFlows(static_cast<std::uint32_t>(service), static_cast<std::uint32_t>(upstream), false);
}

void Traffic::restart(std::size_t service, std::size_t upstream)
{
    breakFlows(static_cast<std::uint32_t>(service), static_cast<std::uint32_t>(upstream), false);
    m_services[service].upstreams[upstream].truth.restart(m_now);
}

void Traffic::setZone(std::size_t zone, Model::ZoneState state)
{
    auto next = *m_configuration;
    auto id = zoneAt(m_shape.site, zone);
    for (auto& entry : next.zones) {
        if (entry.id == id)
            entry.state = state;
    }
    setConfiguration(std::move(next));
    for (std::uint32_t s = 0; s < m_services.size(); ++s) {
        for (std::uint32_t u = 0; u < m_services[s].upstreams.size(); ++u) {
            auto& upstream = m_services[s].upstreams[u];
            if (upstream.truth.model().zone != id)
                continue;
            if (state == Model::ZoneState::Out)
                breakFlows(s, u, true);
            else
                upstream.truth.restart(m_now);
        }
    }
}

void Traffic::drain(std::size_t service, std::size_t upstream)
{
    auto next = *m_configuration;
    next.services[service].upstreams[upstream].state = Model::UpstreamState::Draining;
    setConfiguration(std::move(next));
}

std::uint64_t Traffic::takeOpens(std::size_t service, std::size_t index)
{
    return std::exchange(m_services[service].upstreams[index].opens, 0);
}

double Traffic::opensPerSecond(std::size_t service) const { return m_services[service].arrivalRate; }

}
