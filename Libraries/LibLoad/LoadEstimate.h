#pragma once

#include <LibLoad/LoadTypes.h>

#include <optional>

namespace Chicorytally::Load {

/// Estimates the utilisation of an upstream from its reports. A single report changes the estimate by a bounded step,
/// and the influence of an estimate decays without new reports, so that wrong, late or missing reports can't shift much
/// load. Not thread-safe.
class LoadEstimate {
public:
    static constexpr double MaxStep = 0.05;
    /// Weight of a new report in the estimate. Low, because the number of busy slots varies widely over time.
    static constexpr double SmoothingFactor = 0.05;
    /// A relative difference from the mean below this is treated as noise.
    static constexpr double Deadband = 0.15;
    /// A report of this age, or an estimate without a report for this long, is ignored.
    static constexpr std::chrono::seconds MaxReportAge { 10 };
    /// Bounds of the correction that reports apply to the load derived from the number of flows.
    static constexpr double MinFactor = 0.9;
    static constexpr double MaxFactor = 1.1;

    struct Observation {
        /// Flows that this VM has open on the upstream.
        std::uint32_t ownFlows { 0 };
        /// Mean estimate over the service's upstreams.
        std::optional<double> serviceMean;
    };

    /// Returns whether the report was accepted.
    bool record(UpstreamReport const&, std::uint32_t slots, std::uint32_t maxConnections, Observation const&,
        Core::TimePoint now);

    /// 0 to 1, or more when requests queue; empty without a recent report.
    std::optional<double> utilisation(Core::TimePoint now) const;
    /// Correction factor for the load derived from the number of flows.
    double factor(std::optional<double> serviceMean, Core::TimePoint now) const;
    /// The number of connections that the upstream reported; empty without a recent report.
    std::optional<std::uint32_t> reportedConnections(Core::TimePoint now) const;

private:
    double influence(Core::TimePoint now) const;

    std::optional<double> m_utilisation;
    Core::TimePoint m_reportedAt;
    std::optional<std::uint32_t> m_connections;
    Core::TimePoint m_connectionsAt;
};

}
