#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibLoad/LoadReport.h>
#include <LibLoad/SpeedDistribution.h>
#include <LibLoad/UpstreamLoadCounter.h>
#include <LibLoad/UpstreamSpeed.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Chicorytally::Load {

struct SharedLoadViewOptions {
    /// Without it, all upstreams count as equally fast, and reports are ignored.
    bool isEnabled { true };
    /// While the fastest upstream of a service is at most this much faster than the slowest one, their speeds have no
    /// influence: smaller differences arise from the requests that they happen to get.
    double evenSpeedRatio { 1.5 };
    /// An older observation is discarded. Its response times have less than 3% of their weight by then.
    std::chrono::milliseconds maximumReportAge { 3000 };
    /// A reported response counts 1/e of a new one at this age, as an own one does (UpstreamSpeedOptions::smoothing).
    std::chrono::milliseconds smoothing { 800 };
    /// Interval between two updates of the speeds. A change must be learnt within 2 s; more often costs needless time.
    std::chrono::milliseconds refreshInterval { 200 };
    /// Bounds of the memory for reports: 32 reporters suffice for a mean, and 4,096 upstreams with as many take 6 MB.
    std::size_t maximumReporters { 32 };
    std::size_t maximumUpstreams { 4096 };
};

/// Merges what this balancer and others have observed of the speed and load of upstreams. Without recent reports it
/// contains the own observations only. Not thread-safe.
class SharedLoadView {
public:
    struct Counters {
        std::uint64_t accepted { 0 };
        /// Observations that were too old, out of order, of a former process, of an unknown upstream or malformed.
        std::uint64_t rejected { 0 };
    };

    struct SpeedRange {
        double slowest { 1 };
        double fastest { 1 };
    };

    struct FlowLoad {
        Core::UpstreamId upstream;
        /// Load that a flow means for the upstream; 1 on a single slot at the mean speed of the service. Falls with the
        /// speed more than in proportion, since requests on a fast upstream end sooner, too.
        double loadPerFlow { 1 };
    };

    /// Reports carry the ID of this balancer; those of others with the same ID are ignored.
    SharedLoadView(Core::Clock const&, Core::VmId self, SharedLoadViewOptions, Directory::UpstreamDirectory const&,
        UpstreamSpeed const&, UpstreamLoadCounter const&);

    /// Takes over another balancer's report, whose ages contain the time that it spent on the way as far as known.
    void handleReport(LoadReport const&);
    /// The own observations of at most this many upstreams. Those whose speed differs most or that have most requests
    /// in flight come first.
    LoadReport report(std::size_t maximumUpstreams) const;

    /// Updates the speeds that the accessors return. Must be called every 50 ms.
    void tick();
    /// Rate of work relative to the mean of the service's upstreams; 1 if unknown.
    double speedOf(Core::UpstreamId) const;
    /// Load that a flow means for each upstream, in the directory's order of the service's upstreams. Null
    /// if the upstreams don't differ enough in speed for it to matter.
    std::vector<FlowLoad> const* flowLoads(Core::ServiceId service) const
    {
        auto loads = m_unevenServices.find(service);
        return loads == m_unevenServices.end() ? nullptr : &loads->second;
    }
    /// Requests in flight from this balancer and, where known, from others.
    double loadOf(Core::UpstreamId) const;
    /// Whether the upstream is known to take so long that requests without a response for the given time are no sign of
    /// a failure.
    bool explainsSilence(Core::UpstreamId, std::chrono::milliseconds) const;

    /// Speeds of the slowest and fastest upstream.
    SpeedRange speedRange() const { return m_speedRange; }
    /// Time since the newest observation of another balancer; unset without one that still counts.
    std::optional<std::chrono::milliseconds> age() const;
    std::size_t reportedUpstreamCount() const { return m_observations.size(); }
    Counters const& counters() const { return m_counters; }

private:
    /// Last observation of one balancer.
    struct Observation {
        Core::VmId reporter;
        Core::Incarnation incarnation;
        double requestsInFlight { 0 };
        SpeedEstimate estimate;
        Core::TimePoint observedAt;
    };

    /// What is known about an upstream.
    struct View {
        SpeedEstimate estimate;
        double speed { 1 };
        /// Requests in flight from other balancers.
        double reportedLoad { 0 };
    };

    bool record(Core::VmId reporter, UpstreamLoadReport const&);
    void removeExpired();
    View merge(Directory::UpstreamRecord const&);
    void mergeEstimates(View&, SpeedEstimate const& own);
    void updateSpeeds(Core::ServiceId, std::vector<View*> const&);
    std::vector<FlowLoad> flowLoadsOf(Core::ServiceId) const;

    Core::Clock const& m_clock;
    Core::VmId m_self;
    SharedLoadViewOptions m_options;
    Directory::UpstreamDirectory const& m_directory;
    UpstreamSpeed const& m_ownSpeeds;
    UpstreamLoadCounter const& m_ownLoads;
    absl::flat_hash_map<Core::UpstreamId, std::vector<Observation>> m_observations;
    absl::node_hash_map<Core::UpstreamId, View> m_views;
    absl::flat_hash_map<Core::ServiceId, std::vector<FlowLoad>> m_unevenServices;
    SpeedRange m_speedRange;
    /// Reported estimates of the upstream that is being merged.
    std::vector<SpeedEstimate> m_estimates;
    Core::TimePoint m_refreshedAt;
    Core::TimePoint m_newestObservation;
    Counters m_counters;
};

}
