#include <LibLoad/ZoneReachability.h>

#include <algorithm>
#include <utility>

namespace Chicorytally::Load {

ZoneReachability::ZoneReachability(ZoneReachabilityOptions options, ZoneReachabilityHooks hooks)
    : m_options(options)
    , m_hooks(std::move(hooks))
{
}

void ZoneReachability::noteSilent(Core::ZoneId id, Core::UpstreamId upstream)
{
    auto& zone = m_zones[id];
    if (zone.isLost || !zone.silent.insert(upstream).second)
        return;
    auto lostThreshold = std::clamp(m_hooks.upstreamCount(id), m_options.probeThreshold, m_options.lostThreshold);
    if (zone.silent.size() >= lostThreshold) {
        zone.isLost = true;
        m_hooks.lost(id);
    } else if (zone.silent.size() == m_options.probeThreshold) {
        m_hooks.probeMore(id, lostThreshold - zone.silent.size());
    }
}

void ZoneReachability::noteAnswer(Core::ZoneId id)
{
    auto zone = m_zones.find(id);
    if (zone == m_zones.end())
        return;
    bool wasLost = zone->second.isLost;
    m_zones.erase(zone);
    if (wasLost)
        m_hooks.regained(id);
}

bool ZoneReachability::isReachable(Core::ZoneId id) const
{
    auto zone = m_zones.find(id);
    return zone == m_zones.end() || !zone->second.isLost;
}

}
