#pragma once

#include <LibLoad/TokenBucket.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace Chicorytally::Load {

enum class StartCause : std::uint8_t {
    /// Present in the first configuration of this process; a peer may know that the upstream has long been warm.
    FirstSight,
    Added,
    NewGeneration,
    ReturnedHealthy,
    ZoneReturned,
    LatencyJump,
};

std::string_view toString(StartCause);

/// Ramps the allowance of one upstream up from a tenth to the whole. It scales both the limit shared by all balancers
/// and the rate at which this balancer opens flows, because flows that all arrive within the first second would
/// overload a cold upstream long before they reach a tenth of its connections. Not thread-safe.
class SlowStart {
public:
    static constexpr double InitialFraction = 0.1;
    /// Size of a burst of opens, in seconds of the allowed rate.
    static constexpr double BurstSeconds = 0.25;
    /// Each balancer opens at least this many flows per second on an upstream; otherwise it might never be tried.
    static constexpr double MinRate = 0.2;

    SlowStart(StartCause, Core::TimePoint now);

    void begin(StartCause, Core::TimePoint now);
    /// Applies the time since the upstream's start as known by a peer.
    void applyPeerAge(std::chrono::milliseconds age, Core::TimePoint now);
    /// Shortens the ramp according to the reported load, since a highly loaded upstream hasn't just started.
    void applyReportedLoad(double fractionOfLimit, std::chrono::seconds duration, Core::TimePoint now);

    StartCause cause() const { return m_cause; }
    /// Minimum time since the upstream's start. Capped, so that it fits into a message.
    std::chrono::milliseconds age(Core::TimePoint now) const;
    /// The fraction of the allowance, 0.1 to 1.
    double fraction(std::chrono::seconds duration, Core::TimePoint now) const;
    bool isRunning(std::chrono::seconds duration, Core::TimePoint now) const { return fraction(duration, now) < 1; }

    /// The connection limit during the ramp, at least 1 unless `limit` is 0.
    static std::uint32_t limitAt(double fraction, std::uint32_t limit);

    /// Admits one open. `fullRate` is the rate at which this balancer may open flows on the warm upstream, per second.
    bool admit(double fullRate, std::chrono::seconds duration, Core::TimePoint now);
    bool canAdmit(double fullRate, std::chrono::seconds duration, Core::TimePoint now);

private:
    bool isRateLimited() const { return m_cause != StartCause::FirstSight; }

    StartCause m_cause;
    Core::TimePoint m_start;
    TokenBucket m_opens;
};

/// Detects starts of one upstream in its reports. Not thread-safe.
class StartDetector {
public:
    /// Several consecutive reports with a latency this many times the baseline indicate a cold upstream.
    static constexpr double LatencyJumpFactor = 4;
    static constexpr int LatencyJumpReports = 3;
    /// Number of reports with a new generation after which the flows of the previous one may be discarded.
    static constexpr int RequiredConfirmations = 3;

    /// Returns the cause if the report shows a start.
    std::optional<StartCause> record(
        std::optional<std::int64_t> generation, std::optional<std::chrono::microseconds> latency);
    /// Whether enough reports have named the current generation.
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
