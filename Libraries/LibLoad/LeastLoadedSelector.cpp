#include <LibLoad/LeastLoadedSelector.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace Chicorytally::Load {

LeastLoadedSelector::LeastLoadedSelector(LeastLoadedSelectorOptions options,
    Directory::UpstreamDirectory const& directory, UpstreamLoadCounter const& load, UpstreamLiveness const& liveness,
    ZoneReachability const& zones, RequestFailureDetector const& failures, ReturningUpstreams const& returning,
    SharedLoadView const& view, SpilloverControl const& spillover)
    : m_options(options)
    , m_directory(directory)
    , m_load(load)
    , m_liveness(liveness)
    , m_zones(zones)
    , m_failureDetector(failures)
    , m_returning(returning)
    , m_view(view)
    , m_spillover(spillover)
    , m_random(options.randomSeed)
{
}

Directory::UpstreamRecord const* LeastLoadedSelector::choose(Core::ServiceId service, Core::UpstreamId excluded)
{
    static constexpr Tier Preferred { .worstLiveness = Liveness::Alive };
    // Requests to an upstream that may be cold are slow but get answers. One that this balancer can't reach may still
    // be better than none.
    static constexpr std::array Tiers {
        Tier { Liveness::Alive, true, false },
        Tier { Liveness::Alive, true, true },
        Tier { Liveness::Suspect, true, true },
        Tier { Liveness::Unreachable, true, true },
    };
    if (isFailingMinority(service)) {
        if (auto const* record = selectAmong(service, excluded, Preferred))
            return record;
    }
    for (auto const& tier : Tiers) {
        if (auto const* record = selectAmong(service, excluded, tier))
            return record;
    }
    return excluded.isValid() ? choose(service, {}) : nullptr;
}

Directory::UpstreamRecord const* LeastLoadedSelector::selectAmong(
    Core::ServiceId service, Core::UpstreamId excluded, Tier const& tier)
{
    auto byFlows = [](Candidate const& left, Candidate const& right) {
        return std::tie(left.flowLoad, left.requestLoad, left.tieBreak)
            < std::tie(right.flowLoad, right.requestLoad, right.tieBreak);
    };
    auto byRequests = [](Candidate const& left, Candidate const& right) {
        return std::tie(left.requestLoad, left.flowLoad, left.tieBreak)
            < std::tie(right.requestLoad, right.flowLoad, right.tieBreak);
    };
    auto const* flowLoads = m_view.flowLoads(service);
    Candidate local;
    Candidate remote;
    auto const& records = m_directory.upstreamsOf(service);
    for (std::size_t i = 0; i < records.size(); ++i) {
        auto const* record = records[i];
        auto const& upstream = record->entry.upstream;
        if (upstream.id == excluded || !m_directory.acceptsNewFlows(*record) || m_directory.isInSlowStart(*record)
            || !isInTier(*record, tier))
            continue;
        auto next = flowLoads ? candidate(*record, loadPerFlow(*flowLoads, i, upstream)) : candidate(*record);
        bool isLocal = upstream.zone == m_options.zone;
        auto& best = isLocal ? local : remote;
        if (!best.record || (isLocal ? byFlows(next, best) : byRequests(next, best)))
            best = next;
    }
    if (!local.record && !remote.record)
        return nullptr;
    ++m_counters.choices;
    m_counters.choicesBySpeed += flowLoads ? 1 : 0;
    if (remote.record && isSpilledOver(service)) {
        ++m_counters.spillovers[remote.record->entry.upstream.zone];
        return remote.record;
    }
    if (!remote.record || hasRoom(local))
        return local.record;
    return local.record && byRequests(local, remote) ? local.record : remote.record;
}

bool LeastLoadedSelector::isInTier(Directory::UpstreamRecord const& record, Tier const& tier) const
{
    auto const& upstream = record.entry.upstream;
    return effectiveLiveness(upstream) <= tier.worstLiveness
        && (tier.includesFailing || !m_failureDetector.isFailing(upstream.id))
        && (tier.includesPossiblyCold || !m_returning.isPossiblyCold(upstream.id));
}

// Under overload most upstreams fail requests. Avoiding more than half of them would overload the others further.
bool LeastLoadedSelector::isFailingMinority(Core::ServiceId service) const
{
    if (m_failureDetector.isEmpty())
        return true;
    std::size_t openable = 0;
    std::size_t failing = 0;
    for (auto const* record : m_directory.upstreamsOf(service)) {
        if (!m_directory.acceptsNewFlows(*record))
            continue;
        ++openable;
        if (m_failureDetector.isFailing(record->entry.upstream.id))
            ++failing;
    }
    return 2 * failing <= openable;
}

Liveness LeastLoadedSelector::effectiveLiveness(Model::Upstream const& upstream) const
{
    return m_zones.isReachable(upstream.zone) ? m_liveness.livenessOf(upstream.id) : Liveness::Unreachable;
}

// The directory may have changed since the loads were calculated.
double LeastLoadedSelector::loadPerFlow(
    std::vector<SharedLoadView::FlowLoad> const& loads, std::size_t index, Model::Upstream const& upstream)
{
    if (index < loads.size() && loads[index].upstream == upstream.id)
        return loads[index].loadPerFlow;
    return 1.0 / std::max(upstream.slots, 1U);
}

bool LeastLoadedSelector::isSpilledOver(Core::ServiceId service)
{
    auto fraction = m_spillover.fractionOf(service);
    return fraction > 0 && std::uniform_real_distribution<double> {}(m_random) < fraction;
}

bool LeastLoadedSelector::hasRoom(Candidate const& candidate) const
{
    if (!candidate.record)
        return false;
    auto const& upstream = candidate.record->entry.upstream;
    return m_load.loadOf(upstream.id).requestsInFlight < m_options.spillLoad * std::max(upstream.slots, 1U);
}

LeastLoadedSelector::Candidate LeastLoadedSelector::candidate(Directory::UpstreamRecord const& record)
{
    auto const& upstream = record.entry.upstream;
    auto load = m_load.loadOf(upstream.id);
    auto slots = static_cast<double>(std::max(upstream.slots, 1U));
    return { &record, load.openFlows / slots, load.requestsInFlight / slots, m_random() };
}

LeastLoadedSelector::Candidate LeastLoadedSelector::candidate(
    Directory::UpstreamRecord const& record, double loadPerFlow)
{
    // The new flow counts as a random fraction of one. Otherwise upstreams without flows would all get the same number,
    // whatever their speed, or the slow ones none; with it, upstreams without flows are chosen in about the proportion
    // of their capacity, and balancers with the same view choose differently.
    constexpr int UnusedBits = 11;
    constexpr double RandomRange = 1.0 / static_cast<double>(1ULL << (64 - UnusedBits));
    auto load = m_load.loadOf(record.entry.upstream.id);
    auto random = m_random();
    // A conversion of signed numbers is faster.
    auto newFlow = static_cast<double>(static_cast<std::int64_t>(random >> UnusedBits)) * RandomRange;
    return { &record, (load.openFlows + newFlow) * loadPerFlow, (load.requestsInFlight + newFlow) * loadPerFlow,
        random };
}

}
