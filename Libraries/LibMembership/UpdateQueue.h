#pragma once

#include <LibCore/Core.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <utility>
#include <vector>

namespace Chicorytally::Membership {

/// Members whose updates are still to be piggybacked on messages. An update is sent a bounded number of times, those
/// sent least often first (SWIM, section 4.1), so that neither the message size nor the traffic grows with the number
/// of changes.
class UpdateQueue {
public:
    /// Adds the member, or resets its send count if it is queued.
    void add(Core::VmId);
    /// Adds the member with the given send count, unless it is queued.
    void addIfAbsent(Core::VmId, unsigned sendCount);
    /// Counts an update that was received from another member as sent once (Demers et al. 1987, feedback with a
    /// counter), so that the updates of a change of many members at once are dropped sooner.
    void recordReceipt(Core::VmId);
    /// Returns up to `count` members with a send count below `sendLimit` and increments their send counts; members that
    /// reach the limit are removed.
    std::vector<Core::VmId> take(std::size_t count, unsigned sendLimit);
    std::size_t size() const { return m_queue.size(); }

private:
    /// Send count, then the order in which the update was queued.
    using Priority = std::pair<unsigned, std::uint64_t>;

    void insert(Core::VmId, unsigned sendCount);

    absl::btree_map<Priority, Core::VmId> m_queue;
    absl::flat_hash_map<Core::VmId, Priority> m_priorities;
    std::uint64_t m_nextOrder { 0 };
};

}
