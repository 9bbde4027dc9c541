#pragma once

#include <LibCore/Core.h>
#include <LibLoad/SpeedEstimate.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <optional>

namespace Chicorytally::Load {

struct UpstreamSpeedOptions {
    /// A response counts 1/e of a new one after this time, so that over 90% of a change are learnt within 2 s.
    std::chrono::milliseconds smoothing { 800 };
    /// The same for the usual response time of a route. Long, so that a change of many upstreams doesn't soon count as
    /// usual.
    std::chrono::milliseconds routeSmoothing { 30'000 };
    /// A route without responses for this long is forgotten.
    std::chrono::minutes routeRetention { 5 };
};

/// Learns from the responses that this balancer sees how long each upstream takes relative to what is usual for the
/// same route. The time that requests wait in an upstream's queue is part of it. Without new responses, an estimate
/// loses its weight within a few seconds. Not thread-safe.
class UpstreamSpeed {
public:
    UpstreamSpeed(Core::Clock const&, UpstreamSpeedOptions);

    /// Records the time from a request of the route to the start of its response.
    void noteResponse(Core::UpstreamId, Core::Endpoint const& route, std::chrono::nanoseconds duration);
    /// Discards what is known about the upstream, as another process may now run under its ID.
    void reset(Core::UpstreamId upstream) { m_upstreams.erase(upstream); }
    /// Estimate with the weight that it has now.
    SpeedEstimate estimateOf(Core::UpstreamId) const;
    /// Usual response time of the routes whose responses the upstream sent; unset without recent ones.
    std::optional<std::chrono::nanoseconds> usualTimeOf(Core::UpstreamId) const;
    /// Calls the function with the ID and the estimate of each upstream.
    template <typename Function> void forEach(Function function) const
    {
        for (auto const& [upstream, average] : m_upstreams)
            function(upstream, estimateAt(average, m_clock.now()));
    }
    std::size_t upstreamCount() const { return m_upstreams.size(); }
    /// Removes upstreams and routes without recent responses.
    void removeExpired();

private:
    /// Means over responses whose weight decays with time.
    struct Average {
        double logTime { 0 };
        /// Mean logarithm of the usual time of the routes, in nanoseconds.
        double logUsualTime { 0 };
        double weight { 0 };
        Core::TimePoint updatedAt;
    };

    double decay(Core::TimePoint since, Core::TimePoint now, std::chrono::milliseconds smoothing) const;
    SpeedEstimate estimateAt(Average const&, Core::TimePoint) const;
    /// Adds the response to the route's usual time and returns the logarithm of that.
    double updateRoute(Core::Endpoint const&, double logDuration);

    Core::Clock const& m_clock;
    UpstreamSpeedOptions m_options;
    absl::flat_hash_map<Core::UpstreamId, Average> m_upstreams;
    absl::flat_hash_map<Core::Endpoint, Average> m_routes;
};

}
