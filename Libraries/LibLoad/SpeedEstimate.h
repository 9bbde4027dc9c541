#pragma once

#include <algorithm>
#include <cmath>

namespace Chicorytally::Load {

/// Estimated response time of an upstream relative to the usual one of the same routes.
struct SpeedEstimate {
    /// Bounds of an upstream's speed. The lower one leaves a very slow upstream enough requests to show its recovery.
    static constexpr double MinSpeed = 0.1;
    static constexpr double MaxSpeed = 10;

    /// Mean natural logarithm of the relative response time; 0 is the usual time. A logarithm, so that the few requests
    /// that take many times as long as others have a small influence.
    double logTime { 0 };
    /// Number of responses behind the mean, with older ones counting less.
    double weight { 0 };

    /// Uncertainty of the mean. Work per request varies by about a factor of two, and the time in the queue adds to it.
    double standardError() const
    {
        constexpr double LogTimeSpread = 0.65;
        return weight > 0 ? LogTimeSpread / std::sqrt(weight) : INFINITY;
    }

    /// Rate of work relative to the usual one, shrunk towards 1 where few responses support the difference: with the
    /// non-negative garrote (Breiman 1995), which hides noise but keeps large differences.
    double speed() const
    {
        constexpr double SignificantDeviations = 3;
        auto noise = SignificantDeviations * standardError();
        if (std::abs(logTime) <= noise)
            return 1;
        auto ratio = noise / logTime;
        return std::clamp(std::exp(-logTime * (1 - ratio * ratio)), MinSpeed, MaxSpeed);
    }

    friend bool operator==(SpeedEstimate const&, SpeedEstimate const&) = default;
};

}
