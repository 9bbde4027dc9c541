#pragma once

#include <LibCore/Core.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <utility>
#include <vector>

namespace Chicorytally::Membership {

/// Members whose updates are still to be piggybacked. An update is sent a bounded number of times, the least sent ones
/// first (SWIM, section 4.1), so that neither a message nor the traffic grows with the number of changes.
class UpdateQueue {
public:
    /// Adds the member, or starts again when it is queued.
    void add(Core::VmId);
    /// Adds the member as if it had been taken `sent` times, unless it is queued.
    void addIfAbsent(Core::VmId, unsigned sendCount);
    /// The update was heard from another member, which counts as if it had been taken once (Demers et al. 1987,
    /// feedback with a counter). So a change of many members at once is forgotten sooner.
    void recordReceipt(Core::VmId);
    /// Up to `count` members, each of which has been taken less than `limit` times.
    std::vector<Core::VmId> take(std::size_t count, unsigned sendLimit);
    std::size_t size() const { return m_queue.size(); }

private:
    /// How often the update was sent, then the order in which it was queued.
    using Priority = std::pair<unsigned, std::uint64_t>;

    void insert(Core::VmId, unsigned sendCount);

    absl::btree_map<Priority, Core::VmId> m_queue;
    absl::flat_hash_map<Core::VmId, Priority> m_priorities;
    std::uint64_t m_nextOrder { 0 };
};

}
