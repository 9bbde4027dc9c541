#pragma once

#include <LibModel/Model.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Chicorytally::Placement {

/// Maps each bucket of a service to the upstream that takes its new flows. A pure function of the configuration;
/// immutable and thread-safe.
///
/// Each bucket ranks the upstreams by weighted rendezvous score (Thaler and Ravishankar 1998; weights after
/// Schindelhauer and Schomaker 2005). Buckets are matched to upstreams by deferred acceptance (Gale and Shapley 1962),
/// with each upstream's share bounded to 1.03 times its weighted mean.
class TargetTable {
public:
    static constexpr std::size_t MinimumBucketCount = 2048;
    static constexpr std::size_t BucketsPerUpstream = 64;
    static constexpr double ShareCap = 1.03;

    TargetTable(Model::Configuration const&, Model::Service const&);

    static std::size_t bucketCount(Model::Service const&);
    /// Whether the upstream takes new flows: it has a weight, is not draining and is in an availability zone that is
    /// in.
    static bool takesNewFlows(Model::Configuration const&, Model::Upstream const&);

    std::size_t bucketCount() const { return m_targets.size(); }
    /// Null when no upstream takes new flows. Points into the configuration.
    Model::Upstream const* target(std::size_t bucket) const { return m_targets[bucket]; }
    /// The bucket's target, then the other upstreams that take new flows in descending order of score.
    std::vector<Model::Upstream const*> preferences(std::size_t bucket) const;

private:
    struct Ranked {
        double score;
        std::uint32_t upstream;
    };

    std::vector<Ranked> rank(std::size_t bucket) const;
    void assignTargets();

    std::vector<Model::Upstream const*> m_upstreams;
    std::vector<Model::Upstream const*> m_targets;
    std::uint64_t m_seed;
};

}
