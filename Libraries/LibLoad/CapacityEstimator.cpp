#include <LibLoad/CapacityEstimator.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Chicorytally::Load {

// An interval this many times as long as usual means that the process was paused: its counts mix different loads.
static constexpr int PauseIntervals = 3;
// Lowest limit in requests per second; a limit of 0 could not grow.
static constexpr double MinimumLimit = 1;
// Deviations of a count up to this many standard deviations are taken for chance.
static constexpr double ChanceDeviations = 2;

CapacityEstimator::Counts& CapacityEstimator::Counts::operator+=(Counts const& other)
{
    duration += other.duration;
    started += other.started;
    completed += other.completed;
    rejected += other.rejected;
    late += other.late;
    refusals += other.refusals;
    offered += other.offered;
    rejectors |= other.rejectors;
    rejectingZones |= other.rejectingZones;
    return *this;
}

double CapacityEstimator::Counts::rejectedShare() const
{
    return responses() == 0 ? 0 : static_cast<double>(rejected) / responses();
}

double CapacityEstimator::Counts::lateShare() const
{
    return completed == 0 ? 0 : static_cast<double>(late) / completed;
}

CapacityEstimator::CapacityEstimator(Core::Clock const& clock, CapacityEstimatorOptions options)
    : m_clock(clock)
    , m_options(options)
    , m_intervalStart(clock.now())
    , m_lastScarcity(clock.now())
{
}

void CapacityEstimator::noteCompletion(bool isLate)
{
    ++m_current.completed;
    if (isLate)
        ++m_current.late;
}

static std::uint64_t hashBit(std::uint64_t id) { return std::uint64_t { 1 } << (Core::hashPair(id, 0) % 64); }

void CapacityEstimator::noteRejection(Core::UpstreamId upstream, Core::ZoneId zone)
{
    ++m_current.rejected;
    m_current.rejectors |= hashBit(upstream.value());
    m_current.rejectingZones |= hashBit(zone.value());
}

void CapacityEstimator::tick(ServiceSpread const& spread)
{
    auto elapsed = m_clock.now() - m_intervalStart;
    if (elapsed < m_options.interval)
        return;
    m_intervalStart = m_clock.now();
    m_current.duration = elapsed;
    m_lastInterval = std::exchange(m_current, {});
    if (elapsed > PauseIntervals * m_options.interval) {
        m_measurement = {};
        m_isCertain = false;
        return;
    }
    m_measurement += m_lastInterval;
    if (m_lastInterval.refusals != 0)
        m_lastScarcity = m_clock.now();
    averageCompletions();
    if (!m_limit && isCongested(spread))
        startContention();
    else if (!isMeasured())
        return;
    else if (m_limit)
        adjust();
    m_measurement = {};
    if (m_limit)
        endContentionWhenIdle();
}

void CapacityEstimator::averageCompletions()
{
    auto seconds = m_lastInterval.duration.count();
    auto weight = std::min(1.0, seconds / std::chrono::duration<double> { m_options.completionAverage }.count());
    m_completionRate += weight * (m_lastInterval.completed / seconds - m_completionRate);
    m_isCertain = m_measurement.responses() >= m_options.minimumResponses || (m_isCertain && !isMeasured());
    m_offeredRate = m_measurement.offered / m_measurement.duration.count();
}

bool CapacityEstimator::isMeasured() const
{
    if (m_measurement.duration < m_options.minimumMeasurement)
        return false;
    return m_measurement.responses() >= m_options.minimumResponses
        || m_measurement.duration >= m_options.maximumMeasurement;
}

bool CapacityEstimator::isCongested(ServiceSpread const& spread) const
{
    if (m_measurement.responses() < m_options.minimumResponses)
        return false;
    if (m_measurement.lateShare() > m_options.contentionLateShare)
        return true;
    auto atLeast = [](std::uint64_t bits, std::size_t minimum, std::size_t available) {
        return static_cast<std::size_t>(std::popcount(bits)) >= std::min(minimum, available);
    };
    return m_measurement.rejected >= m_options.minimumRejections
        && m_measurement.rejectedShare() > m_options.contentionShare
        && atLeast(m_measurement.rejectors, m_options.minimumRejectingUpstreams, spread.upstreams)
        && atLeast(m_measurement.rejectingZones, m_options.minimumRejectingZones, spread.zones);
}

void CapacityEstimator::startContention()
{
    // The measurement may have started before the load rose, so its last interval counts if that shows more.
    auto acceptedRate = [](Counts const& counts) {
        return std::max(counts.started * (1 - counts.rejectedShare()), static_cast<double>(counts.completed))
            / counts.duration.count();
    };
    auto rate = acceptedRate(m_measurement);
    if (2 * m_lastInterval.responses() >= m_options.minimumResponses)
        rate = std::max(rate, acceptedRate(m_lastInterval));
    m_limit = std::max(MinimumLimit, rate);
    m_lastScarcity = m_clock.now();
}

double CapacityEstimator::targetRejectedShare() const
{
    bool areManyLate = m_measurement.lateShare() > m_options.manyLateShare;
    return areManyLate ? m_options.lateTargetRejectedShare : m_options.targetRejectedShare;
}

void CapacityEstimator::adjust()
{
    if (!m_isCertain) {
        if (m_measurement.responses() == 0)
            m_limit.reset();
        else
            *m_limit *= m_options.uncertainGrowth;
        return;
    }
    auto seconds = m_measurement.duration.count();
    auto target = targetRejectedShare();
    auto excess = m_measurement.rejectedShare() - target;
    bool isLate = m_measurement.lateShare() > m_options.contentionLateShare;
    if (excess < 0 && !isLate)
        *m_limit *= 1 + std::min(m_options.maximumGrowth, -m_options.growthPerSecond * seconds * excess / target);
    else
        *m_limit *= 1 - std::max(excess, 0.0);
    if (excess < 0)
        return;
    // An unused limit must not stay far above the requests; nor may it fall below what the upstreams complete.
    auto started = static_cast<double>(m_measurement.started);
    m_limit = std::min(*m_limit, (started + ChanceDeviations * std::sqrt(started)) / seconds);
    m_limit = std::max({ *m_limit, m_completionRate, MinimumLimit });
}

void CapacityEstimator::endContentionWhenIdle()
{
    if (m_offeredRate > *m_limit)
        m_lastScarcity = m_clock.now();
    if (m_clock.now() - m_lastScarcity >= m_options.contentionEnd)
        m_limit.reset();
}

}
