#include <LibLoad/SpeedDistribution.h>

#include <algorithm>
#include <cmath>

namespace Chicorytally::Load {

// Deviation, in standard errors, from which a difference isn't taken for noise. With some hundred upstreams, noise
// exceeds it about once in ten updates.
static constexpr double SignificantDeviations = 3;

SpeedDistribution::SpeedDistribution(std::vector<SpeedEstimate> const& estimates, double evenRatio)
{
    // Random-effects model with the method of moments (DerSimonian and Laird 1986).
    double precision = 0;
    double squaredPrecision = 0;
    double sum = 0;
    std::size_t count = 0;
    for (auto const& estimate : estimates) {
        auto weight = 1 / estimate.variance();
        precision += weight;
        squaredPrecision += weight * weight;
        sum += weight * estimate.logTime;
        count += weight > 0 ? 1 : 0;
    }
    if (count < 2)
        return;
    m_mean = sum / precision;
    // Without differences, the heterogeneity has a chi-squared distribution.
    auto degreesOfFreedom = static_cast<double>(count - 1);
    auto limit = degreesOfFreedom + SignificantDeviations * std::sqrt(2 * degreesOfFreedom);
    auto excess = heterogeneity(estimates, m_mean, 0);
    if (excess > limit)
        m_variance = (excess - degreesOfFreedom) / (precision - squaredPrecision / precision);
    // Two groups of upstreams whose speeds have this ratio.
    auto evenDeviation = std::log(evenRatio) / 2;
    m_isEven = heterogeneity(estimates, m_mean, evenDeviation * evenDeviation) <= limit
        && largestDifference(estimates) <= std::log(evenRatio);
}

double SpeedDistribution::heterogeneity(std::vector<SpeedEstimate> const& estimates, double mean, double variance)
{
    double sum = 0;
    for (auto const& estimate : estimates)
        sum += (estimate.logTime - mean) * (estimate.logTime - mean) / (estimate.variance() + variance);
    return sum;
}

// The largest difference between two upstreams, less the uncertainty of both.
double SpeedDistribution::largestDifference(std::vector<SpeedEstimate> const& estimates)
{
    double slowest = -INFINITY;
    double fastest = INFINITY;
    for (auto const& estimate : estimates) {
        auto uncertainty = SignificantDeviations * std::sqrt(estimate.variance());
        slowest = std::max(slowest, estimate.logTime - uncertainty);
        fastest = std::min(fastest, estimate.logTime + uncertainty);
    }
    return slowest - fastest;
}

double SpeedDistribution::speedOf(SpeedEstimate const& estimate) const
{
    auto difference = estimate.logTime - m_mean;
    auto variance = estimate.variance();
    // The non-negative garrote (Breiman 1995) keeps single large differences, the empirical Bayes estimate (Efron and
    // Morris 1975) small ones where differences are common.
    auto garrote = 1 - SignificantDeviations * SignificantDeviations * variance / (difference * difference);
    auto bayes = m_variance / (m_variance + variance);
    auto factor = std::max({ garrote, bayes, 0.0 });
    return factor > 0 ? std::clamp(std::exp(-difference * factor), MinSpeed, MaxSpeed) : 1;
}

}
