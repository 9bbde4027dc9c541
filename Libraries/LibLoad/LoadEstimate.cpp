#include <LibLoad/LoadEstimate.h>

#include <algorithm>

namespace Chicorytally::Load {

static std::optional<double> reportedUtilisation(
    UpstreamReport const& report, std::uint32_t slots, std::uint32_t maxConnections)
{
    if (report.busySlots && slots > 0)
        return static_cast<double>(*report.busySlots) / slots;
    if (report.connections && maxConnections > 0)
        return static_cast<double>(*report.connections) / maxConnections;
    return std::nullopt;
}

// An upstream with broken reporting that always reports zero would attract the load of the whole service.
static bool isImplausibleZero(UpstreamReport const& report, LoadEstimate::Observation const& observation)
{
    constexpr double MinBusyUtilisation = 0.3;
    constexpr std::uint32_t MinFlows = 2;
    if (observation.ownFlows < MinFlows)
        return false;
    if (report.connections == 0U)
        return true;
    return report.busySlots == 0U && observation.serviceMean.value_or(0) > MinBusyUtilisation;
}

bool LoadEstimate::record(UpstreamReport const& report, std::uint32_t slots, std::uint32_t maxConnections,
    Observation const& observation, Core::TimePoint now)
{
    constexpr double MaxUtilisation = 1.5;
    if (report.age >= MaxReportAge || isImplausibleZero(report, observation))
        return false;
    auto measuredAt = now - report.age;
    if (report.connections && measuredAt >= m_connectionsAt) {
        m_connections = report.connections;
        m_connectionsAt = measuredAt;
    }
    auto value = reportedUtilisation(report, slots, maxConnections);
    if (!value || measuredAt < m_reportedAt)
        return true;
    value = std::min(*value, MaxUtilisation);
    auto age = std::chrono::duration<double>(report.age) / std::chrono::duration<double>(MaxReportAge);
    // The estimate starts at the service's mean, so that no single report determines it.
    auto current = utilisation(now).value_or(observation.serviceMean.value_or(*value));
    auto step = std::clamp(SmoothingFactor * (*value - current), -MaxStep, MaxStep);
    m_utilisation = current + (1 - age) * step;
    m_reportedAt = measuredAt;
    return true;
}

double LoadEstimate::influence(Core::TimePoint now) const
{
    if (!m_utilisation)
        return 0;
    auto age = std::chrono::duration<double>(now - m_reportedAt) / std::chrono::duration<double>(MaxReportAge);
    return std::clamp(1 - age, 0.0, 1.0);
}

std::optional<double> LoadEstimate::utilisation(Core::TimePoint now) const
{
    if (influence(now) <= 0)
        return std::nullopt;
    return m_utilisation;
}

double LoadEstimate::factor(std::optional<double> serviceMean, Core::TimePoint now) const
{
    auto current = utilisation(now);
    if (!current || !serviceMean || *serviceMean <= 0)
        return 1;
    auto difference = *current / *serviceMean - 1;
    auto excess = difference - std::clamp(difference, -Deadband, Deadband);
    auto bounded = std::clamp(1 + excess, MinFactor, MaxFactor);
    return 1 + influence(now) * (bounded - 1);
}

std::optional<std::uint32_t> LoadEstimate::reportedConnections(Core::TimePoint now) const
{
    if (now - m_connectionsAt >= MaxReportAge)
        return std::nullopt;
    return m_connections;
}

}
