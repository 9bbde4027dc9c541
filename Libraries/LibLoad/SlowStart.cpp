#include <LibLoad/SlowStart.h>

#include <algorithm>

namespace Chicorytally::Load {

std::string_view toString(StartCause cause)
{
    switch (cause) {
    case StartCause::FirstSight:
        return "first sight";
    case StartCause::Added:
        return "added";
    case StartCause::NewGeneration:
        return "new generation";
    case StartCause::ReturnedHealthy:
        return "healthy again";
    case StartCause::ZoneReturned:
        return "availability zone in again";
    case StartCause::LatencyJump:
        return "latency jump";
    }
    return "unknown";
}

SlowStart::SlowStart(StartCause cause, Core::TimePoint now)
    : m_cause(cause)
    , m_start(now)
    , m_opens(1)
{
}

void SlowStart::begin(StartCause cause, Core::TimePoint now)
{
    m_cause = cause;
    m_start = now;
    m_opens = TokenBucket { 1 };
}

void SlowStart::applyPeerAge(std::chrono::milliseconds age, Core::TimePoint now)
{
    // Only an assumed start is replaced by an earlier one, since a peer that missed a restart would end the ramp too
    // soon.
    if (m_cause != StartCause::FirstSight)
        return;
    m_start = std::min(m_start, now - age);
}

void SlowStart::applyReportedLoad(double fractionOfLimit, std::chrono::seconds duration, Core::TimePoint now)
{
    if (m_cause != StartCause::FirstSight || fractionOfLimit <= InitialFraction)
        return;
    auto progress = std::min(1.0, (fractionOfLimit - InitialFraction) / (1 - InitialFraction));
    auto age = std::chrono::duration_cast<std::chrono::nanoseconds>(progress * duration);
    m_start = std::min(m_start, now - age);
}

std::chrono::milliseconds SlowStart::age(Core::TimePoint now) const
{
    constexpr std::chrono::hours MaxAge { 24 };
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_start);
    return std::min<std::chrono::milliseconds>(age, MaxAge);
}

double SlowStart::fraction(std::chrono::seconds duration, Core::TimePoint now) const
{
    if (now - m_start >= duration)
        return 1;
    std::chrono::duration<double> age = now - m_start;
    std::chrono::duration<double> whole = duration;
    return InitialFraction + (1 - InitialFraction) * age.count() / whole.count();
}

std::uint32_t SlowStart::limitAt(double fraction, std::uint32_t limit)
{
    if (limit == 0)
        return 0;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(fraction * limit));
}

bool SlowStart::canAdmit(double fullRate, std::chrono::seconds duration, Core::TimePoint now)
{
    if (!isRateLimited() || !isRunning(duration, now))
        return true;
    auto rate = std::max(MinRate, fraction(duration, now) * fullRate);
    m_opens.refill(rate, std::max(1.0, rate * BurstSeconds), now);
    return m_opens.has();
}

bool SlowStart::admit(double fullRate, std::chrono::seconds duration, Core::TimePoint now)
{
    if (!canAdmit(fullRate, duration, now))
        return false;
    if (isRateLimited() && isRunning(duration, now))
        m_opens.take();
    return true;
}

bool StartDetector::recordGeneration(std::int64_t generation)
{
    // A delayed report of the previous generation is not a second start.
    if (generation == m_previousGeneration)
        return false;
    if (generation == m_generation) {
        ++m_confirmations;
        return false;
    }
    bool isStart = m_generation.has_value();
    m_previousGeneration = m_generation;
    m_generation = generation;
    m_confirmations = 1;
    return isStart;
}

bool StartDetector::recordLatency(std::chrono::microseconds latency)
{
    constexpr double SmoothingFactor = 0.1;
    constexpr int MinBaselineReports = 10;
    auto value = static_cast<double>(latency.count());
    bool isSlow
        = m_baselineLatency && m_latencyReports >= MinBaselineReports && value > LatencyJumpFactor * *m_baselineLatency;
    m_slowReports = isSlow ? m_slowReports + 1 : 0;
    if (m_slowReports >= LatencyJumpReports) {
        // The higher latency becomes the baseline, so that an upstream that stays slow is ramped up only once.
        m_baselineLatency = value;
        m_slowReports = 0;
        return true;
    }
    if (isSlow)
        return false;
    m_baselineLatency = m_baselineLatency ? *m_baselineLatency + SmoothingFactor * (value - *m_baselineLatency) : value;
    ++m_latencyReports;
    return false;
}

std::optional<StartCause> StartDetector::record(
    std::optional<std::int64_t> generation, std::optional<std::chrono::microseconds> latency)
{
    bool isNewGeneration = generation && recordGeneration(*generation);
    bool isLatencyJump = latency && recordLatency(*latency);
    if (isNewGeneration)
        return StartCause::NewGeneration;
    if (isLatencyJump)
        return StartCause::LatencyJump;
    return std::nullopt;
}

}
