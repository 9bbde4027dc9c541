#pragma once

#include <LibLoad/LoadTypes.h>

#include <optional>

namespace Chicorytally::Load {

/// What the upstream's reports say about the part of its capacity that is in use. One report moves the estimate by a
/// bounded step, and an estimate without new reports loses its influence, so that wrong, late or missing reports can't
/// move much load. Not thread-safe.
class LoadEstimate {
public:
    static constexpr double MaxStep = 0.05;
    /// Part of the difference that a report moves the estimate by. Busy slots at one instant vary widely.
    static constexpr double SmoothingFactor = 0.05;
    /// Estimates that differ less than this from the mean are noise and change nothing.
    static constexpr double Deadband = 0.15;
    /// A report this old, or an estimate this long without a report, has no influence.
    static constexpr std::chrono::seconds MaxReportAge { 10 };
    /// An upstream counts for at most this much less or more than its flows say.
    static constexpr double MinFactor = 0.9;
    static constexpr double MaxFactor = 1.1;

    struct Observation {
        /// Flows that this VM has open on the upstream.
        std::uint32_t ownFlows { 0 };
        /// Mean estimate over the service's upstreams.
        std::optional<double> serviceMean;
    };

    /// False when the report was not believed.
    bool record(UpstreamReport const&, std::uint32_t slots, std::uint32_t maxConnections, Observation const&,
        Core::TimePoint now);

    /// 0 to 1 and beyond when requests wait; without a value when nothing fresh is known.
    std::optional<double> utilisation(Core::TimePoint now) const;
    /// Factor on the own view of the upstream's load.
    double factor(std::optional<double> serviceMean, Core::TimePoint now) const;
    /// The connections that the upstream reported, when fresh.
    std::optional<std::uint32_t> reportedConnections(Core::TimePoint now) const;

private:
    double influence(Core::TimePoint now) const;

    std::optional<double> m_utilisation;
    Core::TimePoint m_reportedAt;
    std::optional<std::uint32_t> m_connections;
    Core::TimePoint m_connectionsAt;
};

}
