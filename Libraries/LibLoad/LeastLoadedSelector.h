#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibLoad/RequestFailureDetector.h>
#include <LibLoad/SharedLoadView.h>
#include <LibLoad/UpstreamLiveness.h>
#include <LibLoad/UpstreamLoadCounter.h>
#include <LibLoad/ZoneReachability.h>

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

/// Selects the upstream with the fewest flows per slot for a new flow, in the local zone while that has capacity. Where
/// the speeds of a service's upstreams differ, a slot counts in proportion to the speed. Upstreams that fail requests,
/// are suspect or are unreachable come last, in this order. Not thread-safe.
class LeastLoadedSelector {
public:
    LeastLoadedSelector(LeastLoadedSelectorOptions, Directory::UpstreamDirectory const&, UpstreamLoadCounter const&,
        UpstreamLiveness const&, ZoneReachability const&, RequestFailureDetector const&, SharedLoadView const&);

    /// Returns null if no upstream of the service may get a new flow. The excluded upstream is only chosen if there is
    /// no other.
    Directory::UpstreamRecord const* choose(Core::ServiceId, Core::UpstreamId excluded);

private:
    struct Candidate {
        Directory::UpstreamRecord const* record { nullptr };
        /// Flows and requests per slot, or per slot and speed where the speeds differ.
        double flowLoad { 0 };
        double requestLoad { 0 };
        std::uint64_t tieBreak { 0 };
    };

    Candidate candidate(Directory::UpstreamRecord const&, bool hasEvenSpeeds);
    bool hasRoom(Candidate const&) const;
    Liveness effectiveLiveness(Model::Upstream const&) const;
    Directory::UpstreamRecord const* selectAmong(
        Core::ServiceId, Core::UpstreamId excluded, Liveness worstLiveness, bool isFailingAllowed);
    bool isFailingMinority(Core::ServiceId) const;

    LeastLoadedSelectorOptions m_options;
    Directory::UpstreamDirectory const& m_directory;
    UpstreamLoadCounter const& m_load;
    UpstreamLiveness const& m_liveness;
    ZoneReachability const& m_zones;
    RequestFailureDetector const& m_failureDetector;
    SharedLoadView const& m_view;
    std::mt19937_64 m_random;
};

}
