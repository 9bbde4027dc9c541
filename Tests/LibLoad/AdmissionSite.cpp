#include "AdmissionSite.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace Chicorytally::Tests {

static constexpr double Slots = 2;
static constexpr std::size_t QueueLength = 8;
static constexpr double RoundTripSeconds = 0.002;
static constexpr double RequestsPerUser = 2;
static constexpr unsigned Addresses = 750;
static constexpr double TickSeconds = 0.05;
static constexpr std::uint32_t RejectionBytes = 219;
// Spread of the logarithm of the work.
static constexpr double WorkSpread = 0.5;

static Core::ServiceId const Service = Directory::serviceId("form");

namespace {

    struct KindProperties {
        Core::Endpoint route;
        double work;
        double goal;
        std::uint32_t bytes;
    };

}

static KindProperties const& propertiesOf(Kind kind)
{
    static std::array<KindProperties, 2> const Kinds { KindProperties {
                                                           *Core::Endpoint::parse("198.18.0.1:443"), 0.029, 0.3, 600 },
        KindProperties { *Core::Endpoint::parse("198.18.0.1:8080"), 0.022, 0.25, 1000 } };
    return Kinds[static_cast<std::size_t>(kind)];
}

struct AdmissionSite::Balancer {
    std::unique_ptr<Load::AdmissionController> controller;
    Load::ShortResponseDetector sizes { {} };
};

struct AdmissionSite::Upstream {
    unsigned busy { 0 };
    std::deque<Request> queue;
};

struct AdmissionSite::Request {
    Kind kind { Kind::Stream };
    std::size_t user { 0 };
    double first { 0 };
    unsigned attempt { 0 };
    std::size_t balancer { 0 };
    std::size_t upstream { 0 };
    double sent { 0 };
    Core::FlowKey flow;
};

static Directory::RouteTable makeRoutes()
{
    Directory::RouteTable table;
    table.version = 1;
    for (auto kind : { Kind::Submission, Kind::Stream }) {
        auto const& properties = propertiesOf(kind);
        Directory::Route route { "r", properties.route, { { Service, 1 } } };
        route.priority = kind == Kind::Submission ? 1 : 2;
        route.goal = std::chrono::milliseconds { std::lround(1000 * properties.goal) };
        table.routes.emplace(properties.route, route);
    }
    return table;
}

AdmissionSite::AdmissionSite(LoadPattern pattern)
    : m_pattern(std::move(pattern))
    , m_epoch(m_clock.now())
    , m_random(m_pattern.seed)
    , m_upstreams(Upstreams)
{
    for (std::size_t i = 0; i < Balancers; ++i) {
        auto& balancer = *m_balancers.emplace_back(std::make_unique<Balancer>());
        balancer.controller = std::make_unique<Load::AdmissionController>(
            m_clock, Load::AdmissionOptions {}, Load::AdmissionHooks { .spreadOf = [](auto) {
                return Load::ServiceSpread { Upstreams, 1 };
            } });
        if (m_pattern.hasAdmission)
            balancer.controller->configure(makeRoutes());
    }
}

AdmissionSite::~AdmissionSite() = default;

Load::AdmissionController& AdmissionSite::controller(std::size_t balancer)
{
    return *m_balancers[balancer]->controller;
}

void AdmissionSite::at(double delay, std::function<void()> run)
{
    m_events.push({ m_now + delay, m_eventCount++, std::move(run) });
}

bool AdmissionSite::isDown(std::size_t balancer) const
{
    return balancer < m_pattern.pausedBalancers && m_now >= m_pattern.pauseFrom
        && (m_now < m_pattern.pauseTo || m_pattern.isPausePermanent);
}

SiteOutcome AdmissionSite::run()
{
    m_outcome.servedPerSecond.resize(static_cast<std::size_t>(std::ceil(m_pattern.duration)) + 1);
    for (auto* counts : { &m_outcome.refusalsPerSecond, &m_outcome.urgentAskedPerSecond,
             &m_outcome.urgentOnTimePerSecond, &m_outcome.urgentLatePerSecond })
        counts->resize(m_outcome.servedPerSecond.size());
    scheduleArrival(Kind::Submission);
    scheduleArrival(Kind::Stream);
    tick();
    while (!m_events.empty() && m_events.top().time < m_pattern.duration) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        m_clock.set(m_epoch + std::chrono::nanoseconds { std::llround(m_now * 1e9) });
        event.run();
    }
    for (auto const& balancer : m_balancers)
        m_outcome.evictions += balancer->controller->evictedCallers();
    return m_outcome;
}

void AdmissionSite::tick()
{
    for (std::size_t i = 0; i < Balancers; ++i) {
        if (!isDown(i))
            m_balancers[i]->controller->tick();
    }
    if (onTick)
        onTick(m_now);
    if (isCounted(m_now))
        addOracleValue(TickSeconds);
    at(TickSeconds, [this] { tick(); });
}

void AdmissionSite::addOracleValue(double seconds)
{
    double capacity = 0;
    for (std::size_t i = 0; i < Upstreams; ++i)
        capacity += Slots * m_pattern.speed(static_cast<double>(i) / Upstreams, m_now);
    auto urgent = std::min(capacity, m_pattern.load(Kind::Submission, m_now) * Slots * Upstreams);
    auto other = std::min(capacity - urgent, m_pattern.load(Kind::Stream, m_now) * Slots * Upstreams);
    m_outcome.oracleValue
        += seconds * (2 * urgent / propertiesOf(Kind::Submission).work + other / propertiesOf(Kind::Stream).work);
}

void AdmissionSite::scheduleArrival(Kind kind)
{
    auto rate = m_pattern.load(kind, m_now) * Slots * Upstreams / propertiesOf(kind).work;
    // Without load, the pattern is asked again soon.
    auto delay = rate > 0 ? std::exponential_distribution { rate }(m_random) : TickSeconds;
    bool isArrival = rate > 0 && delay < TickSeconds;
    at(std::min(delay, TickSeconds), [this, kind, isArrival] {
        if (isArrival)
            start(kind);
        scheduleArrival(kind);
    });
}

void AdmissionSite::start(Kind kind)
{
    Request request { .kind = kind, .first = m_now };
    auto users
        = std::max(1.0, m_pattern.load(kind, m_now) * Slots * Upstreams / propertiesOf(kind).work / RequestsPerUser);
    request.user = m_random() % static_cast<std::size_t>(users) + 1;
    if (auto* outcome = outcomeOf(request)) {
        ++outcome->asked;
        outcome->greedyAsked += addressOf(request.user) == 0 ? 1 : 0;
    }
    if (kind == Kind::Submission) {
        ++m_outcome.urgentAskedPerSecond[static_cast<std::size_t>(m_now)];
        open(request);
        return;
    }
    m_streamFlows.resize(std::max(m_streamFlows.size(), request.user + 1));
    auto const& [balancer, upstream, openedAt] = m_streamFlows[request.user];
    request.balancer = static_cast<std::size_t>(balancer);
    request.upstream = static_cast<std::size_t>(upstream);
    request.flow = flowOf(request);
    if (openedAt > 0 && !isDown(request.balancer))
        send(request);
    else
        open(request);
}

unsigned AdmissionSite::addressOf(std::size_t user) const
{
    bool isGreedy = static_cast<double>(Core::hashPair(user, 1) % 1000) < 1000 * m_pattern.greedyShare;
    return isGreedy ? 0 : 1 + static_cast<unsigned>(user % Addresses);
}

bool AdmissionSite::isCounted(double time) const
{
    return time >= m_pattern.countedFrom && time < m_pattern.duration - 1;
}

KindOutcome* AdmissionSite::outcomeOf(Request const& request)
{
    return isCounted(request.first) ? &m_outcome.kinds[static_cast<std::size_t>(request.kind)] : nullptr;
}

std::size_t AdmissionSite::chooseUpstream()
{
    // Upstream selection is not under test: the less loaded of two.
    auto load = [this](std::size_t i) { return m_upstreams[i].busy + m_upstreams[i].queue.size(); };
    std::size_t first = m_random() % Upstreams;
    std::size_t second = m_random() % Upstreams;
    return load(first) < load(second) ? first : second;
}

Core::FlowKey AdmissionSite::flowOf(Request const& request)
{
    auto address = addressOf(request.user);
    std::array<std::uint8_t, 4> bytes { 100, 64, static_cast<std::uint8_t>(address >> 8),
        static_cast<std::uint8_t>(address) };
    return { { Core::IpAddress::fromV4(bytes), static_cast<std::uint16_t>(m_random()) },
        propertiesOf(request.kind).route };
}

void AdmissionSite::open(Request request)
{
    do
        request.balancer = m_random() % Balancers;
    while (isDown(request.balancer));
    auto& balancer = *m_balancers[request.balancer];
    request.flow = flowOf(request);
    ++m_outcome.opens;
    if (balancer.controller->admit(Service, request.flow, 1) != Load::Admission::Admitted) {
        ++m_outcome.refusals;
        ++m_outcome.refusalsPerSecond[static_cast<std::size_t>(m_now)];
        if (auto* outcome = outcomeOf(request))
            ++outcome->refusals;
        retry(request, true);
        return;
    }
    request.upstream = chooseUpstream();
    if (request.kind == Kind::Stream)
        m_streamFlows[request.user]
            = { static_cast<double>(request.balancer), static_cast<double>(request.upstream), m_now };
    send(request);
}

void AdmissionSite::send(Request request)
{
    auto age = request.kind == Kind::Stream ? m_now - m_streamFlows[request.user][2] : 0;
    request.sent = m_now;
    auto& balancer = *m_balancers[request.balancer];
    balancer.controller->noteRequest(Service, request.flow, std::chrono::nanoseconds { std::llround(age * 1e9) });
    ++m_outcome.arrivals;
    auto& upstream = m_upstreams[request.upstream];
    bool isServing = m_pattern.speed(static_cast<double>(request.upstream) / Upstreams, m_now) > 0;
    if (isServing && upstream.busy < Slots) {
        begin(request.upstream, request);
    } else if (isServing && upstream.queue.size() < QueueLength) {
        upstream.queue.push_back(request);
    } else {
        ++m_outcome.rejected;
        if (request.kind == Kind::Stream)
            m_streamFlows[request.user][2] = 0;
        at(RoundTripSeconds + m_pattern.rejectionDelay, [this, request] {
            noteResponse(request, RejectionBytes);
            retry(request, false);
        });
    }
}

void AdmissionSite::begin(std::size_t index, Request request)
{
    ++m_upstreams[index].busy;
    auto mean = propertiesOf(request.kind).work;
    std::lognormal_distribution work { std::log(mean) - WorkSpread * WorkSpread / 2, WorkSpread };
    auto speed = std::max(m_pattern.speed(static_cast<double>(index) / Upstreams, m_now), 0.01);
    at(work(m_random) / speed, [this, index, request] { finish(index, request); });
}

void AdmissionSite::finish(std::size_t index, Request const& request)
{
    auto& upstream = m_upstreams[index];
    --upstream.busy;
    if (!upstream.queue.empty()) {
        auto next = upstream.queue.front();
        upstream.queue.pop_front();
        begin(index, next);
    }
    ++m_outcome.servedPerSecond[static_cast<std::size_t>(m_now)];
    at(RoundTripSeconds, [this, request] {
        noteResponse(request, propertiesOf(request.kind).bytes);
        auto* outcome = outcomeOf(request);
        if (!outcome)
            return;
        bool isOnTime = m_now - request.first <= propertiesOf(request.kind).goal;
        ++(isOnTime ? outcome->onTime : outcome->late);
        if (request.kind == Kind::Submission)
            ++(isOnTime ? m_outcome.urgentOnTimePerSecond
                        : m_outcome.urgentLatePerSecond)[static_cast<std::size_t>(request.first)];
        outcome->greedyOnTime += isOnTime && addressOf(request.user) == 0 ? 1 : 0;
    });
}

void AdmissionSite::noteResponse(Request const& request, std::uint32_t bytes)
{
    auto& balancer = *m_balancers[request.balancer];
    if (isDown(request.balancer))
        return;
    auto const& route = propertiesOf(request.kind).route;
    bool isShort = balancer.sizes.classify(route, bytes) != Load::ResponseSize::Usual;
    balancer.controller->noteResponse(Service, route,
        { .upstream = Core::UpstreamId { request.upstream + 1 },
            .zone = Core::ZoneId { 1 },
            .duration = std::chrono::nanoseconds { std::llround((m_now - request.sent) * 1e9) },
            .isShort = isShort });
}

void AdmissionSite::retry(Request request, bool isRefused)
{
    if (request.attempt++ >= m_pattern.retries)
        return;
    at(isRefused ? RoundTripSeconds : 0, [this, request] { open(request); });
}

}
