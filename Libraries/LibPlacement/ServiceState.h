#pragma once

#include <LibPlacement/BucketGroup.h>
#include <LibPlacement/TargetTable.h>

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <memory>

namespace Chicorytally::Placement {

/// Buckets and records of one service. The baselines of steady buckets can be read without a lock.
class ServiceState {
public:
    ServiceState(Core::ServiceId id, std::size_t bucketCount)
        : m_id(id)
        , m_bucketCount(bucketCount)
        , m_groups(std::make_unique<BucketGroup[]>(groupCount()))
        , m_steadyBaselines(std::make_unique<std::atomic<UpstreamIndex>[]>(bucketCount))
    {
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
            m_steadyBaselines[bucket].store(NoUpstreamIndex, std::memory_order_relaxed);
    }

    Core::ServiceId id() const { return m_id; }
    std::size_t bucketCount() const { return m_bucketCount; }
    std::size_t groupCount() const { return m_bucketCount / BucketGroup::BucketCount; }
    std::size_t bucketOf(Core::Hash128 const& hash) const { return hash.high & (m_bucketCount - 1); }

    BucketGroup& group(std::size_t index) { return m_groups[index]; }
    BucketGroup& groupOf(std::size_t bucket) { return m_groups[bucket / BucketGroup::BucketCount]; }
    static std::size_t bucketInGroup(std::size_t bucket) { return bucket % BucketGroup::BucketCount; }

    /// The baseline of a steady bucket; NoUpstreamIndex for any other bucket. Needs no lock.
    UpstreamIndex steadyBaseline(std::size_t bucket) const
    {
        return m_steadyBaselines[bucket].load(std::memory_order_acquire);
    }

    /// Makes the bucket's state visible to steadyBaseline(). Call with the group's lock held, after each change of the
    /// bucket.
    void publish(std::size_t bucket)
    {
        auto const& state = groupOf(bucket).buckets[bucketInGroup(bucket)];
        auto baseline = state.isSteady() ? state.baseline : NoUpstreamIndex;
        m_steadyBaselines[bucket].store(baseline, std::memory_order_release);
    }

private:
    Core::ServiceId m_id;
    std::size_t m_bucketCount;
    std::unique_ptr<BucketGroup[]> m_groups;
    std::unique_ptr<std::atomic<UpstreamIndex>[]> m_steadyBaselines;
};

/// One service in a snapshot.
struct ServiceView {
    std::shared_ptr<ServiceState> state;
    /// Points into the snapshot's configuration.
    Model::Service const* service { nullptr };
    std::shared_ptr<TargetTable const> table;
    std::vector<IndexedUpstream> upstreams;
};

/// The state from which packets are decided; immutable except for the service states.
struct Snapshot {
    std::shared_ptr<Model::Configuration const> configuration;
    absl::flat_hash_map<Core::ServiceId, ServiceView> services;

    ServiceView const* find(Core::ServiceId id) const
    {
        auto position = services.find(id);
        return position != services.end() ? &position->second : nullptr;
    }
};

}
