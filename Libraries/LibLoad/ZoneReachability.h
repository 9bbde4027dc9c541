#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <functional>

namespace Chicorytally::Load {

struct ZoneReachabilityOptions {
    /// Silent upstreams from which the others of their zone are probed, too. A single one says nothing of its zone.
    std::size_t probeThreshold { 2 };
    /// Silent upstreams from which the zone counts as out of reach; all of them where it has fewer.
    std::size_t lostThreshold { 8 };
};

struct ZoneReachabilityHooks {
    /// How many upstreams of the zone may be used.
    std::function<std::size_t(Core::ZoneId)> upstreamCount;
    /// Probes that many more upstreams of the zone.
    std::function<void(Core::ZoneId, std::size_t)> probeMore;
    std::function<void(Core::ZoneId)> lost;
    std::function<void(Core::ZoneId)> regained;
};

/// Finds zones that are out of reach from a few of their upstreams, since a balancer that is cut off would otherwise
/// have to lose opens on each of hundreds. One answer from the zone is enough to take that back. Not thread-safe.
class ZoneReachability {
public:
    ZoneReachability(ZoneReachabilityOptions, ZoneReachabilityHooks);

    /// A probe of the upstream got no answer.
    void noteSilent(Core::ZoneId, Core::UpstreamId);
    /// An upstream of the zone answered, be it with a refusal.
    void noteAnswer(Core::ZoneId);

    bool isReachable(Core::ZoneId) const;

private:
    struct Zone {
        /// Upstreams without an answer since the zone last gave one.
        absl::flat_hash_set<Core::UpstreamId> silent;
        bool isLost { false };
    };

    ZoneReachabilityOptions m_options;
    ZoneReachabilityHooks m_hooks;
    absl::flat_hash_map<Core::ZoneId, Zone> m_zones;
};

}
