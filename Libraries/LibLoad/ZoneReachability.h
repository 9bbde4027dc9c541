#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace Chicorytally::Load {

struct ZoneReachabilityOptions {
    /// Number of silent upstreams at which a sample of the zone's other upstreams is probed. A single one doesn't
    /// indicate a problem with the zone.
    std::size_t probeThreshold { 2 };
    /// Number of upstreams in the sample. The zone counts as unreachable if none of them answers: the upstreams that
    /// were silent before tell nothing about the others, as they may have failed together.
    std::size_t sampleSize { 6 };
    /// An upstream that is found silent within this time after an answer from its zone says nothing about the zone.
    std::chrono::milliseconds answerValidity { 300 };
    /// Another sample is taken if one has given no verdict after this time, because an upstream in it left meanwhile.
    std::chrono::milliseconds sampleTimeout { 500 };
};

struct ZoneReachabilityHooks {
    /// Probes up to the given number of upstreams of the zone, chosen at random from those that may be used and are not
    /// known to be silent, and returns them. Balancers must choose independently, or all of them probe the same ones.
    std::function<std::vector<Core::UpstreamId>(Core::ZoneId, std::size_t)> probeSample;
    std::function<void(Core::ZoneId)> lost;
    std::function<void(Core::ZoneId)> regained;
};

/// Detects unreachable zones from a few of their upstreams, since a balancer that is cut off would otherwise lose opens
/// on each of hundreds of upstreams. Upstreams that service discovery has announced to leave are no evidence and must
/// not be passed to it. A single answer from the zone makes it reachable again. Not thread-safe.
class ZoneReachability {
public:
    ZoneReachability(Core::Clock const&, ZoneReachabilityOptions, ZoneReachabilityHooks);

    /// Records that a probe of the upstream got no answer.
    void noteSilent(Core::ZoneId, Core::UpstreamId);
    /// Records that an upstream of the zone answered, even if it refused the connection.
    void noteAnswer(Core::ZoneId);

    bool isReachable(Core::ZoneId) const;
    /// Whether the zone was unreachable at any time since then.
    bool wasLostSince(Core::ZoneId, Core::TimePoint) const;
    std::size_t lostCount() const;

private:
    struct Zone {
        /// Upstreams without an answer since the last answer from the zone.
        absl::flat_hash_set<Core::UpstreamId> silent;
        /// Probed upstreams, once there are enough silent ones.
        std::optional<std::vector<Core::UpstreamId>> sample;
        Core::TimePoint sampledAt;
        bool isLost { false };
        std::optional<Core::TimePoint> answeredAt;
        std::optional<Core::TimePoint> regainedAt;
    };

    Core::Clock const& m_clock;
    ZoneReachabilityOptions m_options;
    ZoneReachabilityHooks m_hooks;
    absl::flat_hash_map<Core::ZoneId, Zone> m_zones;
};

}
