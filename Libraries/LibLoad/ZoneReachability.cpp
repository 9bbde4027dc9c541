#include <LibLoad/ZoneReachability.h>

#include <algorithm>
#include <utility>

namespace Chicorytally::Load {

ZoneReachability::ZoneReachability(
    Core::Clock const& clock, ZoneReachabilityOptions options, ZoneReachabilityHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

void ZoneReachability::noteSilent(Core::ZoneId id, Core::UpstreamId upstream)
{
    auto& zone = m_zones[id];
    bool hasAnswered = zone.answeredAt && m_clock.now() - *zone.answeredAt < m_options.answerValidity;
    if (zone.isLost || hasAnswered || !zone.silent.insert(upstream).second)
        return;
    if (zone.silent.size() < m_options.probeThreshold)
        return;
    if (!zone.sample || m_clock.now() - zone.sampledAt >= m_options.sampleTimeout) {
        zone.sample = m_hooks.probeSample(id, m_options.sampleSize);
        zone.sampledAt = m_clock.now();
    }
    zone.isLost = std::ranges::all_of(*zone.sample, [&](auto sampled) { return zone.silent.contains(sampled); });
    if (zone.isLost)
        m_hooks.lost(id);
}

void ZoneReachability::noteAnswer(Core::ZoneId id)
{
    auto& zone = m_zones[id];
    bool wasLost = zone.isLost;
    auto regainedAt = wasLost ? m_clock.now() : zone.regainedAt;
    zone = { .answeredAt = m_clock.now(), .regainedAt = regainedAt };
    if (wasLost)
        m_hooks.regained(id);
}

bool ZoneReachability::isReachable(Core::ZoneId id) const
{
    auto zone = m_zones.find(id);
    return zone == m_zones.end() || !zone->second.isLost;
}

bool ZoneReachability::wasLostSince(Core::ZoneId id, Core::TimePoint since) const
{
    auto zone = m_zones.find(id);
    return zone != m_zones.end() && (zone->second.isLost || zone->second.regainedAt >= since);
}

std::size_t ZoneReachability::lostCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_zones, [](auto const& entry) { return entry.second.isLost; }));
}

}
