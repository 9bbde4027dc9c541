#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Load {

/// Verdict of one prober, with hysteresis: several consecutive failures make an upstream unhealthy, several consecutive
/// successes make it healthy again, so that a single lost probe has no effect. Not thread-safe.
class ProbeVerdict {
public:
    static constexpr int FailuresToUnhealthy = 3;
    static constexpr int SuccessesToHealthy = 3;

    void record(bool isHealthy);
    void set(bool isHealthy)
    {
        m_isHealthy = isHealthy;
        m_contraryResults = 0;
    }
    bool isHealthy() const { return m_isHealthy; }

private:
    bool m_isHealthy { true };
    int m_contraryResults { 0 };
};

/// Detects a failed upstream from the traffic itself: its opens aren't confirmed by later packets, and callers repeat
/// them. Not thread-safe.
class PassiveHealthCheck {
public:
    static constexpr std::chrono::seconds Window { 3 };
    static constexpr std::uint32_t MinOpens = 6;

    void opened(Core::TimePoint);
    void confirmed(Core::TimePoint);
    void repeated(Core::TimePoint);

    std::uint32_t opens(Core::TimePoint) const;
    std::uint32_t confirmations(Core::TimePoint) const;
    std::uint32_t repeatedOpens(Core::TimePoint) const;
    /// Whether no open was confirmed and at least half as many were repeated as there were opens.
    bool hasFailed(Core::TimePoint) const;

private:
    struct Counts {
        std::uint32_t opens { 0 };
        std::uint32_t confirmations { 0 };
        std::uint32_t repeatedOpens { 0 };
    };

    Counts counts(Core::TimePoint) const;
    void advance(Core::TimePoint);

    // The current window, which starts at m_since, and the previous one.
    Core::TimePoint m_since;
    Counts m_current;
    Counts m_previous;
};

/// Health of one upstream, combined from the verdicts of all its probers and the passive health check. Not thread-safe.
class HealthTracker {
public:
    /// A verdict is ignored if the prober has sent no newer result for this long.
    static constexpr std::chrono::seconds VerdictLifetime { 10 };
    /// An upstream stays unhealthy for at least MinOutage. The time doubles with each flap up to MaxOutage and is reset
    /// after a StablePeriod without changes.
    static constexpr std::chrono::seconds MinOutage { 2 };
    static constexpr std::chrono::seconds MaxOutage { 60 };
    static constexpr std::chrono::seconds StablePeriod { 120 };

    /// Records a probe made by this VM.
    void recordProbe(Core::VmId self, bool isHealthy, Core::TimePoint now);
    /// Records the verdict of a peer, which has already applied the hysteresis.
    void recordPeerVerdict(Core::VmId prober, bool isHealthy, Core::TimePoint now);
    /// Records that this VM's traffic to the upstream is unanswered, while other upstreams of the service answer.
    void recordTrafficFailure(Core::TimePoint now);
    /// Updates the health. Returns whether it changed.
    bool update(Core::TimePoint now);

    bool isHealthy() const { return m_isHealthy; }
    /// Whether the passive health check of this VM considers the upstream down.
    bool isDownByTraffic(Core::TimePoint now) const { return now < m_downByTrafficUntil; }
    /// The verdict of a prober, if it has one.
    std::optional<bool> verdictOf(Core::VmId) const;
    std::string const& lastReason() const { return m_lastReason; }

private:
    struct Prober {
        ProbeVerdict verdict;
        Core::TimePoint last;
    };

    bool isDownByProbes(Core::TimePoint now) const;
    void setHealthy(bool, std::string reason, Core::TimePoint now);

    absl::flat_hash_map<Core::VmId, Prober> m_probers;
    bool m_isHealthy { true };
    Core::TimePoint m_changedAt;
    Core::TimePoint m_downByTrafficUntil;
    std::chrono::seconds m_outageDuration { MinOutage };
    std::string m_lastReason;
};

/// Whether more than half of a service's upstreams are unhealthy at once. A fault of the network or the probes is then
/// more likely than a failure of all these upstreams.
bool isPanic(std::size_t unhealthy, std::size_t all);

/// The VMs that probe an upstream: the two with the highest rendezvous hash.
std::vector<Core::VmId> probersOf(Core::UpstreamId, std::vector<Core::VmId> const& aliveVms);

}
