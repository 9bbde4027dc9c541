#include <LibLoad/LocalChoice.h>

#include <algorithm>
#include <tuple>

namespace Chicorytally::Load {

LocalChoice::LocalChoice(LocalChoiceOptions options, Directory::UpstreamDirectory const& directory,
    LocalLoad const& load, UpstreamLiveness const& liveness, ZoneReachability const& zones)
    : m_options(options)
    , m_directory(directory)
    , m_load(load)
    , m_liveness(liveness)
    , m_zones(zones)
    , m_random(options.randomSeed)
{
}

Directory::UpstreamRecord const* LocalChoice::choose(Core::ServiceId service, Core::UpstreamId excluded)
{
    // An upstream that looks dead from here may still be better than none at all.
    for (auto worst : { Liveness::Alive, Liveness::Suspect, Liveness::Unreachable }) {
        if (auto const* record = chooseAmong(service, excluded, worst))
            return record;
    }
    return excluded.isValid() ? choose(service, {}) : nullptr;
}

Directory::UpstreamRecord const* LocalChoice::chooseAmong(
    Core::ServiceId service, Core::UpstreamId excluded, Liveness worst)
{
    auto byFlows = [](Candidate const& left, Candidate const& right) {
        return std::tie(left.flowsPerSlot, left.requestsPerSlot, left.tieBreak)
            < std::tie(right.flowsPerSlot, right.requestsPerSlot, right.tieBreak);
    };
    auto byRequests = [](Candidate const& left, Candidate const& right) {
        return std::tie(left.requestsPerSlot, left.flowsPerSlot, left.tieBreak)
            < std::tie(right.requestsPerSlot, right.flowsPerSlot, right.tieBreak);
    };
    Candidate local;
    Candidate remote;
    for (auto const* record : m_directory.upstreamsOf(service)) {
        auto const& upstream = record->entry.upstream;
        if (upstream.id == excluded || !m_directory.isOpenable(*record) || m_directory.isCold(*record)
            || livenessOf(upstream) > worst)
            continue;
        auto next = candidate(*record);
        bool isLocal = upstream.zone == m_options.zone;
        auto& best = isLocal ? local : remote;
        if (!best.record || (isLocal ? byFlows(next, best) : byRequests(next, best)))
            best = next;
    }
    bool hasRoom = local.record && local.requestsPerSlot < m_options.spillLoad;
    if (hasRoom || !remote.record)
        return local.record;
    return local.record && byRequests(local, remote) ? local.record : remote.record;
}

Liveness LocalChoice::livenessOf(Model::Upstream const& upstream) const
{
    return m_zones.isReachable(upstream.zone) ? m_liveness.of(upstream.id) : Liveness::Unreachable;
}

LocalChoice::Candidate LocalChoice::candidate(Directory::UpstreamRecord const& record)
{
    auto const& upstream = record.entry.upstream;
    auto load = m_load.of(upstream.id);
    auto slots = static_cast<double>(std::max(upstream.slots, 1U));
    return { &record, load.openFlows / slots, load.requestsInFlight / slots, m_random() };
}

}
