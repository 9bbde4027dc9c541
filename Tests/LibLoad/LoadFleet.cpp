#include "LoadFleet.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Chicorytally::Load {

using namespace std::chrono_literals;

static constexpr std::size_t UpstreamCount = 60;
static constexpr std::size_t ZoneCount = 3;
static constexpr unsigned Slots = 2;
static constexpr std::size_t QueueLength = 8;
static constexpr double MeanWorkSeconds = 0.025;
static constexpr auto Goal = 250ms;
static constexpr std::size_t ReportedUpstreams = 24;
static constexpr std::size_t ReceiversInSmallFleet = 3;
static constexpr std::size_t ReceiversInLargeFleet = 9;
// A remote upstream must save the oracle choice more than the path to it takes.
static constexpr double RemotePathSeconds = 0.005;

static Core::ServiceId const Service = Directory::serviceId("register");
static auto const Route = *Core::Endpoint::parse("198.18.0.1:443");

static Core::ZoneId zoneOf(std::size_t number) { return Core::ZoneId { number % ZoneCount + 1 }; }

std::string_view toString(Policy policy)
{
    constexpr std::array<std::string_view, 5> Names { "random", "two choices", "own counts", "shared view", "oracle" };
    return Names[static_cast<std::size_t>(policy)];
}

LoadFleet::Balancer::Balancer(Core::Clock const& clock, FleetOptions const& options,
    Directory::UpstreamDirectory const& directory, std::uint64_t number, UpstreamLiveness const& liveness,
    ZoneReachability const& zones, RequestFailureDetector const& failures)
    : speeds(clock, {})
    , view(clock, Core::VmId { number + 1 }, {}, directory, speeds, load)
    , spillover(clock, {}, {})
    , returning(clock, {}, {})
    , selector({ .zone = zoneOf(number), .randomSeed = options.seed + number }, directory, load, liveness, zones,
          failures, returning, view, spillover)
    , ownCounts(zoneOf(number), options.seed + number, directory, load)
{
}

LoadFleet::LoadFleet(FleetOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_firstZone(static_cast<std::size_t>(options.end / 1s))
{
    addUpstreams();
    startBalancers();
}

void LoadFleet::addUpstreams()
{
    for (std::size_t i = 0; i < UpstreamCount; ++i) {
        Directory::UpstreamEntry entry;
        entry.upstream.id = Core::UpstreamId { i + 1 };
        entry.upstream.address = *Core::Endpoint::parse("10.0.0." + std::to_string(i + 1) + ":80");
        entry.upstream.zone = zoneOf(i);
        entry.upstream.slots = Slots;
        entry.service = Service;
        entry.incarnation = Core::Incarnation { 1 };
        entry.revision = Core::Revision { 1 };
        m_directory.applyUpstream(entry);
        m_upstreams.push_back({ .record = m_directory.find(entry.upstream.id),
            .isChanging = m_options.isZoneChanging ? i % ZoneCount == 0 : i / ZoneCount % 2 == 0,
            .countedAt = m_clock.now() });
    }
}

void LoadFleet::startBalancers()
{
    ++m_generation;
    m_balancers.clear();
    for (std::size_t i = 0; i < m_options.balancers; ++i)
        m_balancers.push_back(
            std::make_unique<Balancer>(m_clock, m_options, m_directory, i, m_liveness, m_zones, m_failures));
}

FleetResult LoadFleet::run()
{
    schedule(0ns, [this] { arrive(); });
    schedule(0ns, [this] { tick(); });
    schedule(m_options.restartAt, [this] { startBalancers(); });
    for (std::size_t i = 0; m_options.policy == Policy::SharedView && i < m_options.balancers; ++i)
        schedule(i * 1s / m_options.balancers, [this, i] { exchange(i); });
    while (m_events.top().at - m_startedAt < m_options.end) {
        auto event = m_events.top();
        m_events.pop();
        m_clock.set(event.at);
        event.run();
    }
    std::vector<double> loads;
    for (auto& upstream : m_upstreams) {
        count(upstream);
        loads.push_back(upstream.requestSeconds / speedOf(upstream));
    }
    auto mean = std::accumulate(loads.begin(), loads.end(), 0.0) / static_cast<double>(loads.size());
    m_result.imbalance = *std::ranges::max_element(loads) / mean;
    auto p99 = m_queueTimes.begin() + static_cast<std::ptrdiff_t>(m_queueTimes.size() * 99 / 100);
    std::ranges::nth_element(m_queueTimes, p99);
    m_result.queueP99Ms = 1000 * *p99;
    m_result.remotePart /= static_cast<double>(m_result.requests);
    auto part = [this](std::size_t second) { return m_firstZone[second].second / m_firstZone[second].first; };
    for (std::size_t second = 1; second < m_firstZone.size(); ++second) {
        if (m_firstZone[second - 1].first > 0 && m_firstZone[second].first > 0)
            m_result.remoteChange = std::max(m_result.remoteChange, std::abs(part(second) - part(second - 1)));
    }
    return m_result;
}

void LoadFleet::schedule(std::chrono::nanoseconds delay, std::function<void()> function)
{
    m_events.push({ m_clock.now() + delay, ++m_order, std::move(function) });
}

bool LoadFleet::isMeasured() const { return m_clock.now() - m_startedAt >= m_options.measureFrom; }

double LoadFleet::speedOf(Upstream const& upstream) const
{
    return upstream.isChanging && m_clock.now() - m_startedAt >= m_options.changeAt ? m_options.speedOfChanging : 1;
}

void LoadFleet::count(Upstream& upstream)
{
    auto elapsed = std::chrono::duration<double>(m_clock.now() - std::exchange(upstream.countedAt, m_clock.now()));
    if (isMeasured())
        upstream.requestSeconds += elapsed.count() * static_cast<double>(inFlight(upstream)) / Slots;
}

void LoadFleet::arrive()
{
    auto changingPart = m_options.isZoneChanging ? 1.0 / ZoneCount : 0.5;
    auto meanSpeed = 1 + changingPart * (m_options.speedOfChanging - 1);
    auto capacity = Slots * UpstreamCount * meanSpeed / MeanWorkSeconds;
    std::exponential_distribution<double> interval { m_options.load * capacity };
    schedule(std::chrono::nanoseconds { std::llround(1e9 * interval(m_random)) }, [this] { arrive(); });
    // Median 1; 3% of the requests take 7 times as long.
    std::lognormal_distribution<double> work { 0, 0.5 };
    static double const MeanFactor = std::exp(0.125) * (0.97 + 0.03 * 7);
    auto factor = work(m_random) * (m_random() % 100 < 3 ? 7 : 1) / MeanFactor;
    Request request { m_random() % m_options.balancers, m_generation, m_clock.now(),
        std::chrono::nanoseconds { std::llround(1e9 * MeanWorkSeconds * factor) } };
    auto chosen = choose(request.balancer);
    auto& upstream = m_upstreams[chosen];
    auto& load = m_balancers[request.balancer]->load;
    load.flowOpened(upstream.record->entry.upstream.id);
    load.requestStarted(upstream.record->entry.upstream.id);
    count(upstream);
    if (isMeasured()) {
        ++m_result.requests;
        bool isRemote = zoneOf(chosen) != zoneOf(request.balancer);
        m_result.remotePart += isRemote ? 1 : 0;
        if (request.balancer % ZoneCount == 0) {
            auto& second = m_firstZone[static_cast<std::size_t>((m_clock.now() - m_startedAt) / 1s)];
            second.first += 1;
            second.second += isRemote ? 1 : 0;
        }
    }
    if (upstream.busy < Slots) {
        start(chosen, request);
    } else if (upstream.queue.size() < QueueLength) {
        upstream.queue.push_back(request);
    } else {
        m_result.rejected += isMeasured() ? 1 : 0;
        m_result.overGoal += isMeasured() ? 1 : 0;
        end(chosen, request, false);
    }
}

std::size_t LoadFleet::choose(std::size_t number)
{
    auto& balancer = *m_balancers[number];
    auto zone = zoneOf(number);
    auto randomLocal = [&] { return m_random() % (UpstreamCount / ZoneCount) * ZoneCount + zone.value() - 1; };
    auto ownLoad = [&](std::size_t upstream) {
        return balancer.load.loadOf(m_upstreams[upstream].record->entry.upstream.id).requestsInFlight;
    };
    switch (m_options.policy) {
    case Policy::Random:
        return randomLocal();
    case Policy::TwoChoices: {
        auto first = randomLocal();
        auto second = randomLocal();
        return ownLoad(second) < ownLoad(first) ? second : first;
    }
    case Policy::OwnCounts:
        return balancer.ownCounts.choose(Service)->entry.upstream.id.value() - 1;
    case Policy::SharedView:
        return balancer.selector.choose(Service, {})->entry.upstream.id.value() - 1;
    case Policy::Oracle:
        return chooseOracle(zone);
    }
    return 0;
}

// Shortest expected delay, with ties broken at random.
std::size_t LoadFleet::chooseOracle(Core::ZoneId zone)
{
    std::tuple<double, std::uint64_t, std::size_t> best { INFINITY, 0, 0 };
    for (std::size_t i = 0; i < UpstreamCount; ++i) {
        auto const& upstream = m_upstreams[i];
        auto waiting = std::max(static_cast<double>(inFlight(upstream) + 1) / Slots, 1.0);
        auto path = upstream.record->entry.upstream.zone == zone ? 0 : RemotePathSeconds;
        best = std::min(best, { MeanWorkSeconds * waiting / speedOf(upstream) + path, m_random(), i });
    }
    return std::get<2>(best);
}

void LoadFleet::start(std::size_t number, Request request)
{
    auto& upstream = m_upstreams[number];
    ++upstream.busy;
    if (isMeasured())
        m_queueTimes.push_back(std::chrono::duration<double>(m_clock.now() - request.arrivedAt).count());
    auto duration = std::chrono::duration_cast<std::chrono::nanoseconds>(request.work / speedOf(upstream));
    schedule(duration, [this, number, request] { finish(number, request); });
}

void LoadFleet::finish(std::size_t number, Request const& request)
{
    auto& upstream = m_upstreams[number];
    count(upstream);
    --upstream.busy;
    m_result.overGoal += isMeasured() && m_clock.now() - request.arrivedAt > Goal ? 1 : 0;
    end(number, request, true);
    if (upstream.queue.empty())
        return;
    auto next = upstream.queue.front();
    upstream.queue.pop_front();
    start(number, next);
}

void LoadFleet::end(std::size_t number, Request const& request, bool isAnswered)
{
    if (request.generation != m_generation)
        return;
    auto id = m_upstreams[number].record->entry.upstream.id;
    auto& balancer = *m_balancers[request.balancer];
    balancer.load.flowClosed(id);
    balancer.load.requestEnded(id);
    // A rejection is short and not learnt from.
    if (!isAnswered)
        return;
    auto duration = m_clock.now() - request.arrivedAt;
    balancer.speeds.noteResponse(id, Route, duration);
    balancer.spillover.noteResponse(Service, zoneOf(number) == zoneOf(request.balancer), duration, Goal);
}

void LoadFleet::tick()
{
    schedule(200ms, [this] { tick(); });
    if (m_options.policy != Policy::SharedView)
        return;
    for (auto& balancer : m_balancers) {
        balancer->view.tick();
        balancer->spillover.tick();
    }
}

void LoadFleet::exchange(std::size_t number)
{
    schedule(1s, [this, number] { exchange(number); });
    auto report = m_balancers[number]->view.report(ReportedUpstreams);
    auto const& faults = m_options.exchange;
    if (static_cast<double>(number) < faults.misreportingPart * static_cast<double>(m_options.balancers)) {
        for (auto& upstream : report.upstreams)
            upstream.relativeResponseTime *= faults.misreportingFactor;
    }
    std::uniform_real_distribution<double> uniform;
    auto receivers = m_options.balancers < 100 ? ReceiversInSmallFleet : ReceiversInLargeFleet;
    // Balancers of the same zone choose among the same upstreams.
    auto zone = number % ZoneCount;
    auto zoneSize = (m_options.balancers - zone + ZoneCount - 1) / ZoneCount;
    for (std::size_t i = 0; i < receivers; ++i) {
        auto receiver = m_random() % zoneSize * ZoneCount + zone;
        auto deliver = [this, receiver, report] { m_balancers[receiver]->view.handleReport(report); };
        if (uniform(m_random) >= faults.lossRate)
            schedule(faults.delay, deliver);
        if (uniform(m_random) < faults.duplicationRate)
            schedule(2 * faults.delay, deliver);
    }
}

}
