#pragma once

#include <LibLoad/TokenBucket.h>

#include <algorithm>
#include <optional>

namespace Chicorytally::Load {

/// Limits the flows that one warm upstream takes over from unusable or cold ones: up to half of its own rate of opens,
/// or what it took over in the last minute if that is more; less when the upstream is busy, none when it is full.
/// Without this limit, a simultaneous restart of many upstreams would overload the others. Not thread-safe.
class SpillAllowance {
public:
    static constexpr double OwnRateFraction = 0.5;
    /// Utilisation up to which the whole allowance is available, and from which none of it is.
    static constexpr double SpillReductionUtilisation = 0.8;
    static constexpr double SpillStopUtilisation = 0.95;
    /// Utilisation to assume without a recent report.
    static constexpr double DefaultUtilisation = 0.85;

    /// `ownRate` is the upstream's own part of the opens per second, `recentRate` its actual rate over the last minute.
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
        auto maxRate = std::max(OwnRateFraction * rates.ownRate, rates.recentRate - rates.ownRate);
        auto rate = maxRate * headroomAt(utilisation.value_or(DefaultUtilisation));
        m_opens.refill(rate, std::max(MinBurst, rate * BurstSeconds), now);
        return m_opens.has();
    }

    void take() { m_opens.take(); }

private:
    TokenBucket m_opens { 5 };
};

}
