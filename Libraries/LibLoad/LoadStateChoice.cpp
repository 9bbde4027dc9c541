// Upstream selection of LoadController::State.

#include <LibLoad/LoadState.h>

namespace Chicorytally::Load {

std::uint32_t LoadController::State::fleetFlows(UpstreamState const& upstream) const
{
    auto others = m_openers.otherOpenerFlows(upstream.upstream.id);
    auto ended = std::min(upstream.flows.endedOrphans(), others);
    return upstream.flows.open() + others - ended;
}

std::uint32_t LoadController::State::computeShare(UpstreamState const& upstream, bool& isSettled) const
{
    if (!m_openers.isReady())
        return 0;
    auto id = upstream.upstream.id;
    auto limit = upstream.upstream.maxConnections;
    auto result = m_openers.ownShare(id, limit);
    if (!isSettled) {
        auto excessFlows = m_openers.excessFlows(id, limit);
        if (!excessFlows)
            return 0;
        isSettled = *excessFlows == 0;
        result -= std::min(result, *excessFlows);
    }
    if (m_openers.hasLostOpeners(id)) {
        auto withoutLost = m_openers.ownShare(id, limit, false);
        result = std::max(result, std::min(result + upstream.flows.endedOrphans(), withoutLost));
    }
    return result;
}

std::uint32_t LoadController::State::share(UpstreamState& upstream) const
{
    auto result = computeShare(upstream, upstream.isShareSettled);
    // Once the share of the lost opener has been redistributed, it includes the slots of the flows that ended.
    if (!m_openers.hasLostOpeners(upstream.upstream.id))
        upstream.flows.clearEndedOrphans();
    return result;
}

std::uint32_t LoadController::State::slowStartShare(ServiceState const& service, UpstreamState const& upstream) const
{
    auto fraction = upstream.slowStart.fraction(service.slowStart, now());
    auto limit = SlowStart::limitAt(fraction, upstream.upstream.maxConnections);
    return m_openers.ownShare(upstream.upstream.id, limit);
}

bool LoadController::State::isUsable(ServiceState const& service, UpstreamState const& upstream) const
{
    if (!upstream.isZoneIn || upstream.isRemoved || upstream.drain.isDraining())
        return false;
    if (upstream.health.isHealthy())
        return true;
    // In panic mode, only the passive health check of this VM counts.
    return service.isPanic && !upstream.health.isDownByTraffic(now());
}

double LoadController::State::fairRate(ServiceState const& service, UpstreamState const& upstream) const
{
    auto rate = service.opens.perSecond(now());
    if (!rate || service.usableWeight <= 0)
        return 0;
    return *rate * upstream.upstream.weight / service.usableWeight;
}

double LoadController::State::fullRate(ServiceState const& service, UpstreamState const& upstream) const
{
    std::chrono::duration<double> ramp = std::max(service.slowStart, std::chrono::seconds { 1 });
    double filling = m_openers.ownShare(upstream.upstream.id, upstream.upstream.maxConnections) / ramp.count();
    return std::max(fairRate(service, upstream), filling);
}

void LoadController::State::updateMeans(ServiceState& service) const
{
    double flows = 0;
    double weight = 0;
    std::size_t count = 0;
    for (auto const* upstream : service.upstreams) {
        if (!isUsable(service, *upstream) || upstream->slowStart.isRunning(service.slowStart, now()))
            continue;
        flows += fleetFlows(*upstream);
        weight += upstream->upstream.weight;
        ++count;
    }
    service.meanFlowsPerWeight = weight > 0 ? flows / weight : 0;
    service.meanFlows = count > 0 ? flows / static_cast<double>(count) : 0;
}

double LoadController::State::relativeLoad(ServiceState const& service, UpstreamState const& upstream) const
{
    if (service.meanFlowsPerWeight <= 0 || upstream.upstream.weight == 0)
        return 1;
    auto perWeight = static_cast<double>(fleetFlows(upstream)) / upstream.upstream.weight;
    return perWeight / service.meanFlowsPerWeight * upstream.load.factor(service.meanUtilisation, now());
}

CandidateStatus LoadController::State::evaluate(ServiceState& service, UpstreamState& upstream, bool isSpill)
{
    CandidateStatus status { .state = CandidateState::Unusable };
    if (!isUsable(service, upstream))
        return status;
    status.isInOwnZone = m_options.zone.isValid() && upstream.upstream.zone == m_options.zone;
    status.relativeLoad = relativeLoad(service, upstream);
    status.state = CandidateState::AtLimit;
    if (upstream.flows.open() >= share(upstream))
        return status;
    auto rate = fullRate(service, upstream);
    if (upstream.slowStart.isRunning(service.slowStart, now())) {
        bool hasRoom = upstream.flows.openSinceStart() < slowStartShare(service, upstream)
            && upstream.slowStart.canAdmit(rate, service.slowStart, now());
        status.state = hasRoom ? CandidateState::Starting : CandidateState::StartingAtLimit;
        return status;
    }
    status.state = CandidateState::Available;
    SpillAllowance::Rates rates { .ownRate = rate, .recentRate = upstream.opens.perSecond(now()).value_or(0) };
    bool hasRate = service.opens.perSecond(now()).has_value();
    if (isSpill && hasRate && !upstream.spill.has(rates, upstream.load.utilisation(now()), now()))
        status.state = CandidateState::SpillAtLimit;
    return status;
}

// Distinguishes refusals that a later attempt may overcome: allowances grow within seconds, while limits and unhealthy
// upstreams don't recover as quickly.
Placement::Reason LoadController::State::refusalReason(
    ServiceState& service, Placement::SelectionRequest const& request)
{
    if (!m_openers.isReady())
        return Placement::Reason::Overloaded;
    auto result = Placement::Reason::NoUpstream;
    for (auto const* candidate : request.candidates) {
        auto* upstream = find(candidate->id);
        auto state = upstream ? evaluate(service, *upstream, true).state : CandidateState::Unusable;
        if (state == CandidateState::StartingAtLimit || state == CandidateState::SpillAtLimit)
            return Placement::Reason::Overloaded;
        if (state == CandidateState::AtLimit)
            result = Placement::Reason::LimitReached;
    }
    return result;
}

Placement::Selection LoadController::State::select(Placement::SelectionRequest const& request)
{
    if (!m_overloadGuard.admitOpen(now()))
        return { .index = std::nullopt, .refusal = Placement::Reason::Overloaded };
    if (request.candidates.empty())
        return { .index = std::nullopt, .refusal = Placement::Reason::NoUpstream };
    auto position = m_services.find(request.service.id);
    if (position == m_services.end())
        return { .index = 0 };
    auto& service = *position->second;
    updateMeans(service);

    auto statusOf = [&](std::size_t index, bool isSpill) {
        auto* upstream = find(request.candidates[index]->id);
        return upstream ? evaluate(service, *upstream, isSpill) : CandidateStatus {};
    };
    auto choice = service.selector.choose(request.candidates.size(), service.meanFlows, statusOf);
    if (!choice.index)
        return { .index = std::nullopt, .refusal = refusalReason(service, request) };

    auto* chosen = find(request.candidates[*choice.index]->id);
    if (chosen) {
        chosen->slowStart.admit(fullRate(service, *chosen), service.slowStart, now());
        bool isSpill
            = choice.targetState == CandidateState::Unusable || choice.targetState == CandidateState::StartingAtLimit;
        if (isSpill)
            chosen->spill.take();
    }
    return { .index = choice.index };
}

}
