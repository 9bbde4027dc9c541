#pragma once

#include <LibPlacement/Decision.h>

#include <array>
#include <atomic>
#include <cstdint>

namespace Chicorytally::Placement {

/// The engine's decisions since its start, and its current contents.
struct EngineCounters {
    /// Packets by reason, in the order of the enum.
    std::array<std::uint64_t, ReasonCount> reasons {};
    std::array<std::uint64_t, VerdictCount> verdicts {};
    std::uint64_t peerHops { 0 };
    std::size_t buckets { 0 };
    std::size_t trackedBuckets { 0 };
    std::size_t ownedBuckets { 0 };
    /// Records held as owner, and copies held for other owners.
    std::size_t records { 0 };
    std::size_t copies { 0 };
    /// Records held as owner whose upstream is not the baseline of their bucket.
    std::size_t differingRecords { 0 };
};

/// Counts decisions. Threads are distributed over shards to avoid sharing cache lines.
class DecisionCounters {
public:
    void count(Decision const& decision)
    {
        auto& shard = m_shards[shardOfThread()];
        shard.reasons[static_cast<std::size_t>(decision.reason)].fetch_add(1, std::memory_order_relaxed);
        shard.verdicts[static_cast<std::size_t>(decision.verdict)].fetch_add(1, std::memory_order_relaxed);
    }

    void addTo(EngineCounters& counters) const
    {
        for (auto const& shard : m_shards) {
            for (std::size_t i = 0; i < ReasonCount; ++i)
                counters.reasons[i] += shard.reasons[i].load(std::memory_order_relaxed);
            for (std::size_t i = 0; i < VerdictCount; ++i)
                counters.verdicts[i] += shard.verdicts[i].load(std::memory_order_relaxed);
        }
        counters.peerHops = counters.verdicts[static_cast<std::size_t>(Verdict::ForwardToPeer)];
    }

private:
    static constexpr std::size_t ShardCount = 16;

    struct alignas(64) CounterShard {
        std::array<std::atomic<std::uint64_t>, ReasonCount> reasons {};
        std::array<std::atomic<std::uint64_t>, VerdictCount> verdicts {};
    };

    static std::size_t shardOfThread()
    {
        static std::atomic<std::size_t> s_next { 0 };
        static thread_local std::size_t s_shard = s_next.fetch_add(1, std::memory_order_relaxed) % ShardCount;
        return s_shard;
    }

    std::array<CounterShard, ShardCount> m_shards;
};

}
