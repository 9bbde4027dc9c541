#pragma once

#include <LibLoad/TokenBucket.h>

#include <algorithm>
#include <optional>

namespace Chicorytally::Load {

/// How much one warm upstream takes of what dead or cold upstreams can't: half of its own part of the opens, or what it
/// has taken in the last minute; less when it is busy, nothing when it is full. Without it, the simultaneous restart of
/// many upstreams would be followed by the overload of the others. Not thread-safe.
class SpillAllowance {
public:
    static constexpr double OwnRateFraction = 0.5;
    /// Utilisation up to which the greatest part is taken, and the one from which nothing is.
    static constexpr double SpillReductionUtilisation = 0.8;
    static constexpr double SpillStopUtilisation = 0.95;
    /// Taken for the utilisation when no report tells it.
    static constexpr double DefaultUtilisation = 0.85;

    /// `ownRate` is the upstream's part of the opens per second, `recentRate` what it got in the last minute.
    struct Rates {
        double ownRate { 0 };
        double recentRate { 0 };
    };

    static double headroomAt(double utilisation)
    {
        auto room = (SpillStopUtilisation - utilisation) / (SpillStopUtilisation - SpillReductionUtilisation);
        return std::clamp(room, 0.0, 1.0);
    }

    bool has(Rates const& rates, std::optional<double> utilisation, Core::TimePoint now)
    {
        constexpr double MinBurst = 5;
        constexpr double BurstSeconds = 2;
        auto part = std::max(OwnRateFraction * rates.ownRate, rates.recentRate - rates.ownRate);
        auto rate = part * headroomAt(utilisation.value_or(DefaultUtilisation));
        m_opens.refill(rate, std::max(MinBurst, rate * BurstSeconds), now);
        return m_opens.has();
    }

    void take() { m_opens.take(); }

private:
    TokenBucket m_opens { 5 };
};

}
