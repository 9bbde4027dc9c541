#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Chicorytally::DataPath {

/// A direct-mapped cache of fixed size with the UDP flows that one worker has forwarded recently. UDP has no opening
/// packet, so this tells the owner of a bucket that a flow without a record there is established. An evicted or expired
/// flow counts as unknown; a flow is mistaken for another one with a probability of 2^-64. Not thread-safe.
class RecentFlowCache {
public:
    /// Equal to the default idle timeout of a service.
    static constexpr std::chrono::minutes EntryLifetime { 15 };

    RecentFlowCache()
        : m_entries(EntryCount)
    {
    }

    void insert(Core::Hash128 const& flow, Core::TimePoint now) { entryOf(flow) = { flow.high, now }; }

    bool contains(Core::Hash128 const& flow, Core::TimePoint now) const
    {
        auto const& entry = m_entries[flow.low % EntryCount];
        return entry.fingerprint == flow.high && now - entry.lastSeen < EntryLifetime;
    }

private:
    // 1 MB per worker. A new flow overwrites the previous flow in its entry.
    static constexpr std::size_t EntryCount = 1 << 16;

    struct Entry {
        std::uint64_t fingerprint { 0 };
        Core::TimePoint lastSeen;
    };

    Entry& entryOf(Core::Hash128 const& flow) { return m_entries[flow.low % EntryCount]; }

    std::vector<Entry> m_entries;
};

}
