#pragma once

#include <LibCore/Core.h>
#include <LibLoad/UpstreamLiveness.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <functional>
#include <optional>
#include <vector>

namespace Chicorytally::Load {

struct ReturningUpstreamsOptions {
    /// Interval at which an upstream renews its entry.
    std::chrono::milliseconds heartbeat { 1000 };
    /// A longer time between two moments at which the directory was complete is an outage of discovery, in which an
    /// upstream couldn't renew its entry. Watches confirm the directory every 1,000 ms, and peers relay that.
    std::chrono::milliseconds maximumViewGap { 1500 };
    /// How long an upstream must have refused probes for its return to be reported to other balancers. One that is at
    /// its connection limit for a moment accepts connections by then.
    std::chrono::milliseconds refusalTimeToReport { 500 };
    /// Share of a service's upstreams that reports of other balancers alone can make possibly cold, but always one. It
    /// bounds the effect of a balancer with wrong reports.
    double maximumReportedShare { 0.25 };
    /// A report of an upstream is ignored for this long after an earlier one had an effect, for the same reason.
    std::chrono::milliseconds reportInterval { 10'000 };
    /// A report of an upstream is ignored if this balancer saw its process at work within this time. A loss that is
    /// reported lasted for at least as long.
    std::chrono::milliseconds recentProgressWindow { 500 };
};

struct ReturningUpstreamsHooks {
    /// Duration of the slow start of the upstream's service; unset if it isn't known.
    std::function<std::optional<std::chrono::milliseconds>(Core::UpstreamId)> slowStartOf;
    /// Whether the network between this balancer and the upstream's zone was cut at any time since then.
    std::function<bool(Core::UpstreamId, Core::TimePoint)> wasCutOff;
    /// The upstreams of the same service that accept new flows.
    std::function<std::vector<Core::UpstreamId>(Core::UpstreamId)> upstreamsOfSameService;
    /// An upstream that was lost at the given time no longer counts as possibly cold, and no flow from before has made
    /// progress, so that its former process has most likely ended with them. May be empty.
    std::function<void(Core::UpstreamId, Core::TimePoint lostAt)> formerFlowsSilent;
};

/// Determines which upstreams may have restarted without service discovery showing it, so that they may be cold: those
/// that were lost and answer again, until evidence or time shows the contrary. Not thread-safe.
class ReturningUpstreams {
public:
    ReturningUpstreams(Core::Clock const&, ReturningUpstreamsOptions, ReturningUpstreamsHooks);

    /// Records that an upstream which this balancer had lost answers again. Returns whether to report it to the other
    /// balancers.
    bool noteReturned(Core::UpstreamId, UpstreamLoss const&);
    /// Records that another balancer reported the return of the upstream. Returns whether it has an effect.
    bool noteReported(Core::UpstreamId);
    /// Records that a caller acknowledged new data on a flow that was opened at the given time.
    void noteProgress(Core::UpstreamId, Core::TimePoint flowOpenedAt);
    /// Records that the directory held every entry of the discovery service at the given time.
    void noteSynchronised(Core::TimePoint);
    /// Discards what is known of the upstream, because its entry now shows whether it is in slow start.
    void forget(Core::UpstreamId);
    /// Must be called every 50 ms.
    void tick();
    void removeExpired();

    bool isPossiblyCold(Core::UpstreamId) const;
    /// The time after which an upstream that has returned serves new flows with its present process. Unset if no return
    /// is known since its last entry.
    std::optional<Core::TimePoint> newProcessSince(Core::UpstreamId) const;

private:
    /// A time in which the upstream's process is known to have run without a restart.
    struct Run {
        Core::TimePoint since;
        Core::TimePoint until;
    };

    struct Return {
        Core::TimePoint at;
        /// When this balancer lost the upstream; unset if it only knows of the return from a report.
        std::optional<Core::TimePoint> lostAt;
        bool isWarm { false };
        bool isEndReported { false };
    };

    std::chrono::milliseconds slowStartOf(Core::UpstreamId) const;
    bool hasEnded(Core::UpstreamId, Return const&) const;
    bool isLimitOfReportsReached(Core::UpstreamId) const;

    Core::Clock const& m_clock;
    ReturningUpstreamsOptions m_options;
    ReturningUpstreamsHooks m_hooks;
    absl::flat_hash_map<Core::UpstreamId, Return> m_returns;
    absl::flat_hash_map<Core::UpstreamId, Run> m_runs;
    /// When a report of the upstream last had an effect.
    absl::flat_hash_map<Core::UpstreamId, Core::TimePoint> m_reportedAt;
    /// The directory has been complete from the first to the second time, without an outage of discovery.
    Core::TimePoint m_synchronisedSince;
    Core::TimePoint m_synchronisedAt;
};

}
