#include <LibLoad/UpstreamSpeed.h>

namespace Chicorytally::Load {

// A single response counts at most as this much slower or faster than usual: e^2.3 is a factor of 10, the range of
// speeds that are told apart.
static constexpr double MaxLogDeviation = 2.3;

// An estimate with less weight has no influence on any decision.
static constexpr double MinWeight = 0.05;

UpstreamSpeed::UpstreamSpeed(Core::Clock const& clock, UpstreamSpeedOptions options)
    : m_clock(clock)
    , m_options(options)
{
}

double UpstreamSpeed::decay(Core::TimePoint since, Core::TimePoint now, std::chrono::milliseconds smoothing) const
{
    return std::exp(-std::chrono::duration<double>(now - since) / std::chrono::duration<double>(smoothing));
}

double UpstreamSpeed::updateRoute(Core::Endpoint const& endpoint, double logDuration)
{
    auto now = m_clock.now();
    auto [position, isNew] = m_routes.try_emplace(endpoint);
    auto& route = position->second;
    if (isNew)
        route.logUsualTime = logDuration;
    else
        route.weight *= decay(route.updatedAt, now, m_options.routeSmoothing);
    route.updatedAt = now;
    route.weight += 1;
    auto deviation = std::clamp(logDuration - route.logUsualTime, -MaxLogDeviation, MaxLogDeviation);
    route.logUsualTime += deviation / route.weight;
    return route.logUsualTime;
}

void UpstreamSpeed::noteResponse(Core::UpstreamId id, Core::Endpoint const& route, std::chrono::nanoseconds duration)
{
    auto logDuration = std::log(std::max(static_cast<double>(duration.count()), 1.0));
    auto logUsualTime = updateRoute(route, logDuration);
    auto logTime = std::clamp(logDuration - logUsualTime, -MaxLogDeviation, MaxLogDeviation);
    auto now = m_clock.now();
    auto& upstream = m_upstreams[id];
    if (upstream.weight > 0)
        upstream.weight *= decay(upstream.updatedAt, now, m_options.smoothing);
    upstream.updatedAt = now;
    upstream.weight += 1;
    upstream.logTime += (logTime - upstream.logTime) / upstream.weight;
    upstream.logUsualTime += (logUsualTime - upstream.logUsualTime) / upstream.weight;
}

SpeedEstimate UpstreamSpeed::estimateAt(Average const& average, Core::TimePoint now) const
{
    return { average.logTime, average.weight * decay(average.updatedAt, now, m_options.smoothing) };
}

SpeedEstimate UpstreamSpeed::estimateOf(Core::UpstreamId id) const
{
    auto upstream = m_upstreams.find(id);
    return upstream == m_upstreams.end() ? SpeedEstimate {} : estimateAt(upstream->second, m_clock.now());
}

std::optional<std::chrono::nanoseconds> UpstreamSpeed::usualTimeOf(Core::UpstreamId id) const
{
    auto upstream = m_upstreams.find(id);
    if (upstream == m_upstreams.end())
        return std::nullopt;
    return std::chrono::nanoseconds { std::llround(std::exp(upstream->second.logUsualTime)) };
}

void UpstreamSpeed::removeExpired()
{
    auto now = m_clock.now();
    absl::erase_if(m_upstreams, [&](auto const& entry) { return estimateAt(entry.second, now).weight < MinWeight; });
    absl::erase_if(
        m_routes, [&](auto const& entry) { return now - entry.second.updatedAt > m_options.routeRetention; });
}

}
