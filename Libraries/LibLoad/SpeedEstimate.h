#pragma once

#include <cmath>

namespace Chicorytally::Load {

/// Estimated response time of an upstream relative to the usual one of the same routes.
struct SpeedEstimate {
    /// Mean natural logarithm of the relative response time; 0 is the usual time. A logarithm, so that the few requests
    /// that take many times as long as others have a small influence.
    double logTime { 0 };
    /// Number of responses behind the mean, with older ones counting less.
    double weight { 0 };

    /// Variance of the mean. Work per request varies by about a factor of two, and the time in the queue adds to it.
    double variance() const
    {
        constexpr double LogTimeVariance = 0.42;
        return weight > 0 ? LogTimeVariance / weight : INFINITY;
    }

    friend bool operator==(SpeedEstimate const&, SpeedEstimate const&) = default;
};

}
