#pragma once

#include <LibLoad/SpeedEstimate.h>

#include <vector>

namespace Chicorytally::Load {

/// Derives the speeds of a service's upstreams from the estimates of all of them: differences that few responses
/// support are shrunk towards the mean, less so when the service's upstreams differ as a whole.
class SpeedDistribution {
public:
    /// Bounds of a speed. The lower one leaves a very slow upstream enough requests to show its recovery.
    static constexpr double MinSpeed = 0.1;
    static constexpr double MaxSpeed = 10;

    /// Differences up to `evenRatio` between the slowest and the fastest upstream don't matter.
    SpeedDistribution(std::vector<SpeedEstimate> const&, double evenRatio);

    /// Rate of work of the upstream with this estimate relative to the mean of the service; 1 where it doesn't differ
    /// significantly.
    double speedOf(SpeedEstimate const&) const;
    /// Whether no significant difference exceeds the ratio.
    bool isEven() const { return m_isEven; }

private:
    /// Sum of the squared deviations from the mean, each relative to its variance if the speeds vary by this.
    static double heterogeneity(std::vector<SpeedEstimate> const&, double mean, double variance);
    static double largestDifference(std::vector<SpeedEstimate> const&);

    /// Mean logarithm of the relative response time.
    double m_mean { 0 };
    /// Variance between the upstreams, without that of the estimates; 0 if that explains all.
    double m_variance { 0 };
    bool m_isEven { true };
};

}
