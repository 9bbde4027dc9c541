#include <LibLoad/AdmissionController.h>

#include <algorithm>

namespace Chicorytally::Load {

using Supply = PriorityShares::Supply;

// Interval at which capacity is divided among callers; that of the estimate.
static constexpr std::chrono::milliseconds DivisionInterval { 50 };
// Longer than the detection of an overload takes.
static constexpr std::chrono::seconds LearningInterval { 1 };
// A caller whose open was refused retries at once; later opens of its address are of other users.
static constexpr std::chrono::milliseconds RetryTime { 250 };
// A short response on a route with many of them is a rejection if it took less than this part of a fast one's time.
static constexpr double RejectionTimePart = 0.9;
// Responses over the goal show congestion only if fast ones take less than this part of the goal.
static constexpr double UnloadedGoalPart = 0.5;
// While the estimate is uncertain, one open is admitted after this many refusals: 90% are refused at most.
static constexpr std::uint32_t MaximumUncertainRefusals = 9;
// Capacity that callers could not use is kept for this long, so that a burst after it can't fill the upstreams' queues.
static constexpr double UnusedSeconds = 0.5;
// Opens by which a caller may exceed its share if others leave theirs unused.
static constexpr double MaximumUnusedOpens = 1;
// Opens by which a caller may exceed its share, with requests on open flows or while there is ample capacity. A caller
// that stops doing so gets its share again after some seconds.
static constexpr double MaximumDebtOpens = 4;
// Bounds the number of metrics.
static constexpr std::size_t MaximumCountedPriorities = 16;

std::string_view toString(Admission admission)
{
    switch (admission) {
    case Admission::Admitted:
        return "admitted";
    case Admission::NoCapacity:
        return "no_capacity";
    case Admission::CallerShare:
        return "caller_share";
    case Admission::RetryShare:
        return "retry_share";
    case Admission::Copy:
        return "copy";
    }
    return "unknown";
}

AdmissionController::Service::Service(Core::Clock const& clock, CapacityEstimator const& capacity,
    Core::ServiceId serviceId, std::vector<Directory::Priority> sortedPriorities)
    : id(serviceId)
    , estimator(capacity)
    , priorities(std::move(sortedPriorities))
    , shares(clock, priorities.size())
{
    for (std::size_t i = 0; i < std::min(priorities.size(), ranks.size()); ++i)
        ranks[i].group = static_cast<CallerShares::Group>(Core::hashPair(id.value(), priorities[i]));
}

std::size_t AdmissionController::Service::rankOf(Directory::Priority priority) const
{
    auto position = std::ranges::lower_bound(priorities, priority) - priorities.begin();
    return std::min(static_cast<std::size_t>(position), shares.rankCount() - 1);
}

AdmissionController::AdmissionController(Core::Clock const& clock, AdmissionOptions options, AdmissionHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_callers(m_clock, options.maximumCallers)
    , m_refusedOpens(m_clock, options.maximumRefusedOpens)
    , m_lastDivision(clock.now())
    , m_lastLearning(clock.now())
{
}

void AdmissionController::configure(Directory::RouteTable const& table)
{
    m_clock.update();
    Priorities priorities;
    for (auto const& [address, route] : table.routes) {
        for (auto const& entry : route.services) {
            if (entry.weight != 0)
                priorities[entry.service].push_back(route.priority);
        }
    }
    for (auto& [service, list] : priorities) {
        std::ranges::sort(list);
        list.erase(std::unique(list.begin(), list.end()), list.end());
    }
    absl::erase_if(priorities, [](auto const& entry) { return entry.second.size() < 2; });
    configureServices(priorities);
    absl::erase_if(m_routes, [&](auto const& entry) { return !table.routes.contains(entry.first); });
    for (auto const& [address, route] : table.routes)
        configureRoute(route);
}

void AdmissionController::configureServices(Priorities const& priorities)
{
    absl::erase_if(m_services, [&](auto const& entry) {
        if (priorities.contains(entry.first))
            return false;
        if (entry.second->isContended && m_hooks.contentionEnded)
            m_hooks.contentionEnded(describe(*entry.second));
        return true;
    });
    for (auto const& [id, list] : priorities) {
        auto& service = m_services[id];
        if (service && service->priorities == list)
            continue;
        auto estimator = service ? service->estimator : CapacityEstimator { m_clock, m_options.estimator };
        auto changed = std::make_unique<Service>(m_clock, estimator, id, list);
        changed->isContended = service && service->isContended;
        service = std::move(changed);
    }
}

void AdmissionController::configureRoute(Directory::Route const& route)
{
    absl::InlinedVector<Target, 1> targets;
    for (auto const& entry : route.services) {
        if (auto service = m_services.find(entry.service); service != m_services.end() && entry.weight != 0)
            targets.push_back({ service->second.get(), service->second->rankOf(route.priority) });
    }
    if (targets.empty()) {
        m_routes.erase(route.address);
        return;
    }
    auto& state = m_routes[route.address];
    if (!state)
        state = std::make_unique<Route>();
    state->goal = route.goal;
    state->targets = std::move(targets);
    state->counters = &countersOf(route.priority);
}

AdmissionCounters& AdmissionController::countersOf(Directory::Priority priority)
{
    bool isCounted = m_counters.contains(priority) || m_counters.size() < MaximumCountedPriorities;
    return m_counters[isCounted ? std::optional { priority } : std::nullopt];
}

std::pair<AdmissionController::Route*, AdmissionController::Target const*> AdmissionController::find(
    Core::ServiceId service, Core::Endpoint const& address)
{
    auto route = m_routes.find(address);
    if (route == m_routes.end())
        return {};
    for (auto const& target : route->second->targets) {
        if (target.service->id == service)
            return { route->second.get(), &target };
    }
    return {};
}

Admission AdmissionController::admit(Core::ServiceId id, Core::FlowKey const& flow, std::uint32_t sequence)
{
    auto found = find(id, flow.destination);
    auto* route = found.first;
    auto const* target = found.second;
    if (!target)
        return Admission::Admitted;
    auto& service = *target->service;
    auto limit = service.estimator.limit();
    if (limit)
        m_clock.update();
    auto count = [route](Admission outcome) {
        ++route->counters->offered;
        ++route->counters->outcomes[static_cast<std::size_t>(outcome)];
        return outcome;
    };
    if (limit && m_refusedOpens.contains(flow, sequence))
        return count(Admission::Copy);
    auto cost = route->profile.requestsPerOpen();
    service.estimator.noteOffered(cost);
    service.shares.noteDemand(target->rank, cost);
    auto outcome = Admission::Admitted;
    if (limit) {
        auto& rank = service.ranks[target->rank];
        rank.openCost = cost;
        service.shares.refill(*limit);
        outcome = decide(service, target->rank, m_callers.find(rank.group, flow.source.address, cost), cost);
    }
    if (outcome == Admission::Admitted)
        route->profile.noteOpen();
    else
        m_refusedOpens.add(flow, sequence);
    return count(outcome);
}

Admission AdmissionController::decide(Service& service, std::size_t rank, CallerShares::Caller& caller, double cost)
{
    bool isRepeat = isRetry(caller);
    auto supply = service.shares.supplyOf(rank);
    if (supply == Supply::None)
        return refuse(service, rank, caller, Admission::NoCapacity);
    auto required = supply == Supply::Unused ? -MaximumUnusedOpens * cost : cost;
    if (supply != Supply::Enough && caller.credit < required)
        return refuse(service, rank, caller, Admission::CallerShare);
    if (supply == Supply::Scarce && isRepeat && !service.retries.admitRepeat(m_clock.now()))
        return refuse(service, rank, caller, Admission::RetryShare);
    service.consecutiveRefusals = 0;
    CallerShares::charge(caller, cost, MaximumDebtOpens * cost);
    service.shares.charge(rank, cost);
    service.retries.opened();
    return Admission::Admitted;
}

bool AdmissionController::isRetry(CallerShares::Caller& caller) const
{
    if (caller.pendingRetries == 0)
        return false;
    if (m_clock.now() - caller.lastRefusal > RetryTime) {
        caller.pendingRetries = 0;
        return false;
    }
    --caller.pendingRetries;
    return true;
}

Admission AdmissionController::refuse(
    Service& service, std::size_t rank, CallerShares::Caller& caller, Admission reason)
{
    if (!service.estimator.isCertain() && service.consecutiveRefusals >= MaximumUncertainRefusals) {
        service.consecutiveRefusals = 0;
        return Admission::Admitted;
    }
    ++service.consecutiveRefusals;
    ++caller.pendingRetries;
    caller.lastRefusal = m_clock.now();
    service.ranks[rank].hasRefusals = true;
    service.estimator.noteRefusal();
    return reason;
}

void AdmissionController::noteRequest(
    Core::ServiceId id, Core::FlowKey const& flow, std::optional<std::chrono::nanoseconds> const& flowAge)
{
    auto [route, target] = find(id, flow.destination);
    if (!target)
        return;
    auto& service = *target->service;
    service.estimator.noteRequest();
    if (flowAge && *flowAge < RouteProfile::PrepaidTime) {
        route->profile.notePrepaidRequest();
        return;
    }
    service.estimator.noteOffered(1);
    service.shares.noteDemand(target->rank, 1);
    if (!service.estimator.limit())
        return;
    m_clock.update();
    auto const& rank = service.ranks[target->rank];
    service.shares.charge(target->rank, 1);
    auto& caller = m_callers.find(rank.group, flow.source.address, rank.openCost);
    CallerShares::charge(caller, 1, MaximumDebtOpens * rank.openCost);
}

void AdmissionController::noteResponse(
    Core::ServiceId id, Core::Endpoint const& address, AdmissionResponse const& response)
{
    auto [route, target] = find(id, address);
    if (!target)
        return;
    auto& estimator = target->service->estimator;
    auto fastTime = route->profile.fastTime(response.zone);
    auto duration = static_cast<double>(response.duration.count());
    bool isFast = fastTime && duration < RejectionTimePart * static_cast<double>(fastTime->count());
    route->profile.noteSize(response.isShort);
    if (response.isShort && (isFast || route->profile.isShortUnusual())) {
        estimator.noteRejection(response.upstream, response.zone);
        return;
    }
    if (!response.isShort)
        route->profile.noteResponse(response.zone, response.duration);
    bool isLate = route->goal && fastTime && response.duration > *route->goal
        && *fastTime < UnloadedGoalPart * std::chrono::duration<double> { *route->goal };
    estimator.noteCompletion(isLate);
}

void AdmissionController::tick()
{
    m_clock.update();
    std::chrono::duration<double> elapsed = m_clock.now() - m_lastDivision;
    bool isDivisionDue = elapsed >= DivisionInterval;
    if (isDivisionDue)
        m_lastDivision = m_clock.now();
    learnSizes();
    for (auto& [id, service] : m_services) {
        if (isDivisionDue)
            service->shares.updateDemand(elapsed.count());
        service->estimator.tick(m_hooks.spreadOf(id));
        updateContention(*service);
        if (isDivisionDue && service->isContended)
            divideCapacity(*service, elapsed.count());
    }
}

void AdmissionController::learnSizes()
{
    if (m_clock.now() - m_lastLearning < LearningInterval)
        return;
    m_lastLearning = m_clock.now();
    for (auto& [address, route] : m_routes) {
        auto isContended = [](Target const& target) { return target.service->isContended; };
        route->profile.learnSizes(std::ranges::any_of(route->targets, isContended));
    }
}

void AdmissionController::updateContention(Service& service)
{
    bool isContended = service.estimator.limit().has_value();
    if (std::exchange(service.isContended, isContended) == isContended)
        return;
    if (isContended) {
        service.shares.restart(*service.estimator.limit());
        for (std::size_t i = 0; i < service.shares.rankCount(); ++i) {
            service.ranks[i].unused = 0;
            service.ranks[i].hasRefusals = service.shares.exceeds(i);
        }
    }
    auto const& hook = isContended ? m_hooks.contentionStarted : m_hooks.contentionEnded;
    if (hook)
        hook(describe(service));
}

void AdmissionController::divideCapacity(Service& service, double seconds)
{
    auto limit = *service.estimator.limit();
    service.shares.refill(limit);
    for (std::size_t i = 0; i < service.shares.rankCount(); ++i) {
        auto& rank = service.ranks[i];
        auto requests = std::min(rank.unused, UnusedSeconds * limit) + service.shares.takeBudget(i, seconds);
        rank.unused = m_callers.grant(rank.group, requests, rank.openCost);
    }
}

Contention AdmissionController::describe(Service const& service) const
{
    Contention contention { .service = service.id,
        .offeredRate = service.estimator.offeredRate(),
        .capacity = service.estimator.limit().value_or(0) };
    for (std::size_t i = 0; i < service.shares.rankCount(); ++i) {
        if (service.ranks[i].hasRefusals)
            contention.refusedPriorities.push_back(service.priorities[i]);
    }
    return contention;
}

std::optional<double> AdmissionController::capacityOf(Core::ServiceId id) const
{
    auto service = m_services.find(id);
    return service == m_services.end() ? std::nullopt : service->second->estimator.limit();
}

std::vector<Core::ServiceId> AdmissionController::services() const
{
    std::vector<Core::ServiceId> services;
    for (auto const& [id, service] : m_services)
        services.push_back(id);
    return services;
}

std::size_t AdmissionController::contendedCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_services, [](auto const& entry) { return entry.second->isContended; }));
}

}
