#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <functional>

namespace Chicorytally::Load {

struct ZoneReachabilityOptions {
    /// Number of silent upstreams at which more upstreams of their zone are probed. A single one doesn't indicate a
    /// problem with the zone.
    std::size_t probeThreshold { 2 };
    /// Number of silent upstreams at which the zone counts as unreachable; all of them if it has fewer.
    std::size_t lostThreshold { 8 };
};

struct ZoneReachabilityHooks {
    /// Returns the number of upstreams of the zone that may be used.
    std::function<std::size_t(Core::ZoneId)> upstreamCount;
    /// Probes the given number of further upstreams of the zone.
    std::function<void(Core::ZoneId, std::size_t)> probeMore;
    std::function<void(Core::ZoneId)> lost;
    std::function<void(Core::ZoneId)> regained;
};

/// Detects unreachable zones from a few of their upstreams, since a balancer that is cut off would otherwise lose opens
/// on each of hundreds of upstreams. A single answer from the zone makes it reachable again. Not thread-safe.
class ZoneReachability {
public:
    ZoneReachability(ZoneReachabilityOptions, ZoneReachabilityHooks);

    /// Records that a probe of the upstream got no answer.
    void noteSilent(Core::ZoneId, Core::UpstreamId);
    /// Records that an upstream of the zone answered, even if it refused the connection.
    void noteAnswer(Core::ZoneId);

    bool isReachable(Core::ZoneId) const;

private:
    struct Zone {
        /// Upstreams without an answer since the last answer from the zone.
        absl::flat_hash_set<Core::UpstreamId> silent;
        bool isLost { false };
    };

    ZoneReachabilityOptions m_options;
    ZoneReachabilityHooks m_hooks;
    absl::flat_hash_map<Core::ZoneId, Zone> m_zones;
};

}
