#pragma once

#include <LibLoad/TokenBucket.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Chicorytally::Load {

enum class StartCause : std::uint8_t {
    /// Already there when this process got its first configuration; a peer may know that it has long been warm.
    FirstSight,
    Added,
    NewGeneration,
    ReturnedHealthy,
    ZoneReturned,
    LatencyJump,
};

std::string_view toString(StartCause);

/// Ramp of one upstream from a tenth to all of its allowance. The ramp scales the limit that all balancers share, and
/// the rate at which this balancer opens flows: flows that all arrive in the first second would overload a cold
/// upstream long before they reach a tenth of its connections. Not thread-safe.
class SlowStart {
public:
    static constexpr double InitialFraction = 0.1;
    /// Opens that may come at once, in seconds of the allowance.
    static constexpr double BurstSeconds = 0.25;
    /// An upstream gets at least this many opens per second from each balancer, or it would never be tried.
    static constexpr double MinRate = 0.2;

    SlowStart(StartCause, Core::TimePoint now);

    void begin(StartCause, Core::TimePoint now);
    /// A peer knows how long ago the upstream started.
    void applyPeerAge(std::chrono::milliseconds age, Core::TimePoint now);
    /// An upstream that reports much load was not started just now.
    void applyReportedLoad(double fractionOfLimit, std::chrono::seconds duration, Core::TimePoint now);

    StartCause cause() const { return m_cause; }
    /// The upstream is at least this old. Capped, so that it fits into a message.
    std::chrono::milliseconds age(Core::TimePoint now) const;
    /// 0.1 to 1.
    double fraction(std::chrono::seconds duration, Core::TimePoint now) const;
    bool isRunning(std::chrono::seconds duration, Core::TimePoint now) const { return fraction(duration, now) < 1; }

    /// The limit of connections during the ramp, at least 1.
    static std::uint32_t limitAt(double fraction, std::uint32_t limit);

    /// Admits one open, where `fullRate` is what this balancer may open per second on the warm upstream.
    bool admit(double fullRate, std::chrono::seconds duration, Core::TimePoint now);
    bool canAdmit(double fullRate, std::chrono::seconds duration, Core::TimePoint now);

private:
    bool isRateLimited() const { return m_cause != StartCause::FirstSight; }

    StartCause m_cause;
    Core::TimePoint m_start;
    TokenBucket m_opens;
};

/// Finds starts in the reports of one upstream. Not thread-safe.
class StartDetector {
public:
    /// A latency this many times the usual one on several reports in turn is a sign of a cold upstream.
    static constexpr double LatencyJumpFactor = 4;
    static constexpr int LatencyJumpReports = 3;
    /// Reports with a new generation before flows of the earlier one are given up.
    static constexpr int RequiredConfirmations = 3;

    /// The cause when the report shows a start.
    std::optional<StartCause> record(
        std::optional<std::int64_t> generation, std::optional<std::chrono::microseconds> latency);
    /// Enough reports have named the present generation.
    bool isGenerationConfirmed() const { return m_confirmations >= RequiredConfirmations; }
    std::optional<std::int64_t> generation() const { return m_generation; }

private:
    bool recordGeneration(std::int64_t);
    bool recordLatency(std::chrono::microseconds);

    std::optional<std::int64_t> m_generation;
    std::optional<std::int64_t> m_previousGeneration;
    int m_confirmations { 0 };
    std::optional<double> m_baselineLatency;
    int m_latencyReports { 0 };
    int m_slowReports { 0 };
};

}
