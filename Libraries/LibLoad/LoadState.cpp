#include <LibLoad/LoadState.h>

#include <absl/container/flat_hash_set.h>

namespace Chicorytally::Load {

LoadController::State::State(Core::Clock const& clock, LoadOptions options)
    : m_clock(clock)
    , m_options(options)
    , m_openers(options.self, options.incarnation)
    , m_overloadGuard(options.maxOpensPerSecond)
{
}

UpstreamState* LoadController::State::find(Core::UpstreamId id) const
{
    auto position = m_index.find(id);
    return position != m_index.end() ? position->second : nullptr;
}

void LoadController::State::applyConfiguration(Model::Configuration const& configuration)
{
    for (auto const& service : configuration.services) {
        auto& entry = m_services[service.id];
        if (!entry)
            entry = std::make_unique<ServiceState>();
        entry->idleTimeout = service.idleTimeout;
        entry->slowStart = service.slowStart;
        entry->upstreams.clear();
        for (auto const& upstream : service.upstreams)
            applyUpstream(*entry, service.id, upstream, configuration.isZoneInService(upstream.zone));
    }
    markRemovedUpstreams(configuration);
    m_hasConfiguration = true;
    for (auto& [id, service] : m_services)
        updateService(*service);
}

void LoadController::State::applyUpstream(
    ServiceState& service, Core::ServiceId serviceId, Model::Upstream const& upstream, bool isZoneIn)
{
    auto* state = find(upstream.id);
    if (!state) {
        if (m_upstreams.size() >= m_options.maxUpstreams)
            return;
        auto cause = m_hasConfiguration ? StartCause::Added : StartCause::FirstSight;
        auto& entry = m_upstreams[upstream.id];
        entry = std::make_unique<UpstreamState>(serviceId, upstream, cause, now());
        state = m_index[upstream.id] = entry.get();
        state->isZoneIn = isZoneIn;
        // Members that already count this VM also count it for an added upstream.
        state->isShareSettled = m_hasConfiguration && m_openers.isReady();
    }
    if (state->isRemoved)
        start(*state, StartCause::Added);
    else if (!state->isZoneIn && isZoneIn)
        start(*state, StartCause::ZoneReturned);
    state->upstream = upstream;
    state->isZoneIn = isZoneIn;
    state->isRemoved = false;
    if (upstream.isDraining())
        state->drain.begin(upstream.drainDeadline, now());
    else
        state->drain.cancel();
    service.upstreams.push_back(state);
}

void LoadController::State::markRemovedUpstreams(Model::Configuration const& configuration)
{
    for (auto& [id, upstream] : m_upstreams) {
        auto const* service = configuration.findService(upstream->service);
        if (upstream->isRemoved || (service && service->findUpstream(id)))
            continue;
        upstream->isRemoved = true;
        upstream->drain.remove(now());
    }
    for (auto& [id, service] : m_services) {
        if (!configuration.findService(id))
            service->upstreams.clear();
    }
}

// Configurations change thousands of times a day, so removed upstreams must not be kept forever.
void LoadController::State::eraseRemovedUpstreams()
{
    for (auto position = m_upstreams.begin(); position != m_upstreams.end();) {
        auto const& upstream = *position->second;
        bool isOver = upstream.isRemoved && (upstream.flows.open() == 0 || upstream.drain.hasEnded(now()));
        if (isOver)
            m_index.erase(position->first);
        position = isOver ? m_upstreams.erase(position) : std::next(position);
    }
}

void LoadController::State::applyMembers(std::vector<LoadMember> const& members)
{
    m_openers.applyMembers(members, now());
}

void LoadController::State::flowOpened(Core::ServiceId serviceId, Core::UpstreamId id)
{
    if (auto position = m_services.find(serviceId); position != m_services.end()) {
        position->second->retryBudget.opened();
        position->second->opens.count(now());
    }
    auto* upstream = find(id);
    if (!upstream)
        return;
    upstream->flows.add();
    upstream->opens.count(now());
    upstream->passiveHealth.opened(now());
}

void LoadController::State::flowClosed(Core::UpstreamId id)
{
    if (auto* upstream = find(id))
        upstream->flows.remove();
}

void LoadController::State::adoptedFlowClosed(Core::UpstreamId id)
{
    auto* upstream = find(id);
    if (upstream && m_openers.hasLostOpeners(id))
        upstream->flows.addEndedOrphan();
}

void LoadController::State::flowConfirmed(Core::UpstreamId id)
{
    if (auto* upstream = find(id))
        upstream->passiveHealth.confirmed(now());
}

bool LoadController::State::admitRepeatedOpen(Core::ServiceId serviceId, Core::UpstreamId id)
{
    if (auto* upstream = find(id))
        upstream->passiveHealth.repeated(now());
    auto position = m_services.find(serviceId);
    return position == m_services.end() || position->second->retryBudget.admitRepeat(now());
}

void LoadController::State::start(UpstreamState& upstream, StartCause cause)
{
    upstream.slowStart.begin(cause, now());
    upstream.flows.upstreamStarted();
    upstream.isStartUnconfirmed = cause == StartCause::NewGeneration;
    upstream.lastReason = toString(cause);
}

void LoadController::State::recordReport(Core::UpstreamId id, UpstreamReport const& report)
{
    auto* upstream = find(id);
    if (!upstream)
        return;
    upstream->health.recordProbe(m_options.self, report.isHealthy, now());
    upstream->ownReport = report;
    upstream->ownReportAt = now();
    applyReport(*upstream, report);
}

void LoadController::State::applyReport(UpstreamState& upstream, UpstreamReport const& report)
{
    auto const& service = *m_services[upstream.service];
    auto duration = service.slowStart;
    auto cause = upstream.starts.record(report.generation, report.isHealthy ? report.latency : std::nullopt);
    // A cold upstream is slow; that doesn't indicate a second start.
    bool isSlowWhileStarting = cause == StartCause::LatencyJump && upstream.slowStart.isRunning(duration, now());
    if (cause && !isSlowWhileStarting)
        start(upstream, *cause);
    LoadEstimate::Observation observation { upstream.flows.open(), service.meanUtilisation };
    bool isAccepted
        = upstream.load.record(report, upstream.upstream.slots, upstream.upstream.maxConnections, observation, now());
    if (!isAccepted)
        upstream.lastReason = "report not believed";
    if (isAccepted && report.connections && upstream.upstream.maxConnections > 0) {
        auto fractionOfLimit = static_cast<double>(*report.connections) / upstream.upstream.maxConnections;
        upstream.slowStart.applyReportedLoad(fractionOfLimit, duration, now());
    }
    confirmStart(upstream, report);
    detectUncountedFlows(upstream);
}

// Discards flows from before the start only after several reports agree, since a single wrong generation would
// otherwise let this VM open its whole share a second time.
void LoadController::State::confirmStart(UpstreamState& upstream, UpstreamReport const& report)
{
    if (!upstream.isStartUnconfirmed || !upstream.starts.isGenerationConfirmed())
        return;
    if (report.connections && *report.connections * 2 > fleetFlows(upstream))
        return;
    upstream.isStartUnconfirmed = false;
    upstream.flows.discardFlowsBeforeStart();
}

// Connections in excess of what the live openers count belong to lost openers.
void LoadController::State::detectUncountedFlows(UpstreamState& upstream)
{
    auto reported = upstream.load.reportedConnections(now());
    auto counted = upstream.flows.open() + m_openers.liveOpenerFlows(upstream.upstream.id);
    if (reported && *reported > counted)
        upstream.uncountedFlowsSeenAt = now();
}

bool LoadController::State::failsPassiveCheck(ServiceState const& service, UpstreamState const& upstream) const
{
    if (!upstream.passiveHealth.hasFailed(now()))
        return false;
    // If no other upstream has confirmations either, this VM sees none at all or the network is at fault.
    return std::ranges::any_of(service.upstreams, [&](UpstreamState const* other) {
        return other != &upstream && other->passiveHealth.confirmations(now()) > 0;
    });
}

void LoadController::State::updateHealth()
{
    for (auto& [id, upstream] : m_upstreams) {
        auto const& service = *m_services[upstream->service];
        if (failsPassiveCheck(service, *upstream))
            upstream->health.recordTrafficFailure(now());
        if (!upstream->health.update(now()))
            continue;
        upstream->lastReason = upstream->health.lastReason();
        // Upstreams that became unhealthy together during a panic were unreachable, not restarted. A restart shows in
        // the generation.
        if (upstream->health.isHealthy() && !upstream->becameUnhealthyInPanic)
            start(*upstream, StartCause::ReturnedHealthy);
        upstream->becameUnhealthyInPanic = false;
    }
}

void LoadController::State::updateService(ServiceState& service)
{
    std::size_t counted = 0;
    std::size_t unhealthy = 0;
    for (auto const* upstream : service.upstreams) {
        if (!upstream->isZoneIn || upstream->drain.isDraining())
            continue;
        ++counted;
        unhealthy += !upstream->health.isHealthy();
    }
    service.isPanic = isPanic(unhealthy, counted);
    service.usableWeight = 0;
    double sum = 0;
    std::size_t reporting = 0;
    for (auto* upstream : service.upstreams) {
        if (service.isPanic && !upstream->health.isHealthy())
            upstream->becameUnhealthyInPanic = true;
        if (!isUsable(service, *upstream))
            continue;
        service.usableWeight += upstream->upstream.weight;
        if (auto utilisation = upstream->load.utilisation(now())) {
            sum += *utilisation;
            ++reporting;
        }
    }
    service.meanUtilisation = reporting > 0 ? std::optional { sum / static_cast<double>(reporting) } : std::nullopt;
}

bool LoadController::State::haveOrphansEnded(Core::UpstreamId id, Core::TimePoint lostAt) const
{
    auto const* upstream = find(id);
    if (!upstream)
        return true;
    auto const& service = *m_services.at(upstream->service);
    if (now() - lostAt < service.idleTimeout)
        return false;
    // Active flows outlive the idle timeout; only the upstream's report shows them.
    return !upstream->uncountedFlowsSeenAt || now() - *upstream->uncountedFlowsSeenAt >= OrphanReleaseDelay;
}

void LoadController::State::releaseOrphans()
{
    if (m_openers.lostOpeners().empty())
        return;
    std::vector<Core::UpstreamId> ids;
    for (auto const& [id, upstream] : m_upstreams)
        ids.push_back(id);
    m_openers.releaseLostOpeners(
        ids, [this](Core::UpstreamId id, Core::TimePoint lostAt) { return haveOrphansEnded(id, lostAt); });
}

std::vector<UpstreamStatus> LoadController::State::status() const
{
    std::vector<UpstreamStatus> result;
    for (auto const& [id, upstream] : m_upstreams) {
        auto const& service = *m_services.at(upstream->service);
        auto ramp = upstream->slowStart.fraction(service.slowStart, now());
        bool isSettled = upstream->isShareSettled;
        UpstreamStatus entry { .service = upstream->service, .upstream = id };
        entry.isHealthy = upstream->health.isHealthy();
        entry.estimate = upstream->load.utilisation(now());
        entry.share = std::min(computeShare(*upstream, isSettled), slowStartShare(service, *upstream));
        entry.openFlows = upstream->flows.open();
        entry.fleetFlows = fleetFlows(*upstream);
        entry.orphans = m_openers.lostOpenerFlows(id);
        entry.ramp = ramp;
        entry.lastReason = upstream->lastReason;
        if (upstream->isRemoved || upstream->drain.hasEnded(now()))
            entry.condition = UpstreamCondition::Ended;
        else if (!upstream->isZoneIn)
            entry.condition = UpstreamCondition::ZoneOut;
        else if (upstream->drain.isDraining())
            entry.condition = UpstreamCondition::Draining;
        else if (!entry.isHealthy)
            entry.condition = UpstreamCondition::Unhealthy;
        else if (ramp < 1)
            entry.condition = UpstreamCondition::Starting;
        result.push_back(std::move(entry));
    }
    return result;
}

ControllerStatus LoadController::State::controllerStatus() const
{
    return { .unconfirmedBy = m_openers.unconfirmedBy(), .isOverloaded = m_overloadGuard.isOverloaded() };
}

}
