#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibLoad/RequestFailureDetector.h>
#include <LibLoad/ReturningUpstreams.h>
#include <LibLoad/SharedLoadView.h>
#include <LibLoad/SpilloverControl.h>
#include <LibLoad/UpstreamLiveness.h>
#include <LibLoad/UpstreamLoadCounter.h>
#include <LibLoad/ZoneReachability.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <random>

namespace Chicorytally::Load {

struct LeastLoadedSelectorOptions {
    /// Zone of this balancer, whose upstreams are preferred.
    Core::ZoneId zone;
    /// Requests in flight per slot at which the least loaded upstream of the local zone is no longer preferred to those
    /// of other zones.
    double spillLoad { 1.0 };
    std::uint64_t randomSeed { 0 };
};

/// Counters since the start of the process.
struct SelectorCounters {
    std::uint64_t choices { 0 };
    /// Choices among upstreams whose speeds differ.
    std::uint64_t choicesBySpeed { 0 };
    /// Choices of an upstream in another zone because the local ones were slow, by that zone.
    absl::flat_hash_map<Core::ZoneId, std::uint64_t> spillovers;
};

/// Selects the upstream with the fewest flows per slot for a new flow, in the local zone while that has capacity. Where
/// the speeds of a service's upstreams differ, a slot counts in proportion to the speed. Upstreams that fail requests,
/// may be cold, are suspect or are unreachable come last, in this order. Not thread-safe.
class LeastLoadedSelector {
public:
    LeastLoadedSelector(LeastLoadedSelectorOptions, Directory::UpstreamDirectory const&, UpstreamLoadCounter const&,
        UpstreamLiveness const&, ZoneReachability const&, RequestFailureDetector const&, ReturningUpstreams const&,
        SharedLoadView const&, SpilloverControl const&);

    /// Returns null if no upstream of the service may get a new flow. The excluded upstream is only chosen if there is
    /// no other.
    Directory::UpstreamRecord const* choose(Core::ServiceId, Core::UpstreamId excluded);
    SelectorCounters const& counters() const { return m_counters; }

private:
    /// Which upstreams are candidates.
    struct Tier {
        Liveness worstLiveness { Liveness::Alive };
        bool includesFailing { false };
        bool includesPossiblyCold { false };
    };

    struct Candidate {
        Directory::UpstreamRecord const* record { nullptr };
        /// Flows and requests per slot, or per slot and speed where the speeds differ.
        double flowLoad { 0 };
        double requestLoad { 0 };
        std::uint64_t tieBreak { 0 };
    };

    Candidate candidate(Directory::UpstreamRecord const&);
    Candidate candidate(Directory::UpstreamRecord const&, double loadPerFlow);
    static double loadPerFlow(std::vector<SharedLoadView::FlowLoad> const&, std::size_t index, Model::Upstream const&);
    bool hasRoom(Candidate const&) const;
    Liveness effectiveLiveness(Model::Upstream const&) const;
    Directory::UpstreamRecord const* selectAmong(Core::ServiceId, Core::UpstreamId excluded, Tier const&);
    bool isInTier(Directory::UpstreamRecord const&, Tier const&) const;
    /// Whether this flow should go to another zone because the local upstreams are too slow.
    bool isSpilledOver(Core::ServiceId);
    bool isFailingMinority(Core::ServiceId) const;

    LeastLoadedSelectorOptions m_options;
    Directory::UpstreamDirectory const& m_directory;
    UpstreamLoadCounter const& m_load;
    UpstreamLiveness const& m_liveness;
    ZoneReachability const& m_zones;
    RequestFailureDetector const& m_failureDetector;
    ReturningUpstreams const& m_returning;
    SharedLoadView const& m_view;
    SpilloverControl const& m_spillover;
    SelectorCounters m_counters;
    std::mt19937_64 m_random;
};

}
