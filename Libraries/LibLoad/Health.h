#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Load {

/// What one prober's results say, with hysteresis: several failures in turn make an upstream unhealthy, several
/// successes make it healthy again, so that one lost probe changes nothing. Not thread-safe.
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

/// Signs of a dead upstream in the traffic itself: opens without a later packet that the callers repeat.
/// Not thread-safe.
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
    /// No open was confirmed and most were repeated.
    bool hasFailed(Core::TimePoint) const;

private:
    struct Counts {
        std::uint32_t opens { 0 };
        std::uint32_t confirmations { 0 };
        std::uint32_t repeatedOpens { 0 };
    };

    Counts counts(Core::TimePoint) const;
    void advance(Core::TimePoint);

    // Two halves of twice the window: the present one and the one before it.
    Core::TimePoint m_since;
    Counts m_current;
    Counts m_previous;
};

/// Health of one upstream out of the verdicts of all its probers and the passive signs. Not thread-safe.
class HealthTracker {
public:
    /// A verdict without a newer result for this long is not counted.
    static constexpr std::chrono::seconds VerdictLifetime { 10 };
    /// Shortest time unhealthy; it doubles with each flap up to the longest, and falls back after a calm time.
    static constexpr std::chrono::seconds MinOutage { 2 };
    static constexpr std::chrono::seconds MaxOutage { 60 };
    static constexpr std::chrono::seconds StablePeriod { 120 };

    /// A result of the own prober.
    void recordProbe(Core::VmId self, bool isHealthy, Core::TimePoint now);
    /// The verdict of a peer, which has applied the hysteresis already.
    void recordPeerVerdict(Core::VmId prober, bool isHealthy, Core::TimePoint now);
    /// The traffic of this VM shows that the upstream is dead although others of its service answer.
    void recordTrafficFailure(Core::TimePoint now);
    /// Brings the state up to date; true when it changed.
    bool update(Core::TimePoint now);

    bool isHealthy() const { return m_isHealthy; }
    /// Unhealthy by what this VM has seen itself.
    bool isDownByTraffic(Core::TimePoint now) const { return now < m_downByTrafficUntil; }
    /// This VM's own verdict, to publish.
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

/// More than half of a service looks dead at once: the network or the probes are more likely to be at fault than all
/// these upstreams.
bool isPanic(std::size_t unhealthy, std::size_t all);

/// The VMs that probe an upstream: the first two by rendezvous hash.
std::vector<Core::VmId> probersOf(Core::UpstreamId, std::vector<Core::VmId> const& aliveVms);

}
