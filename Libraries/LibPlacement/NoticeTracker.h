#pragma once

#include <LibPlacement/BucketState.h>

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace Chicorytally::Placement {

/// Tracks which epoch of each bucket was sent to and acknowledged by each member. Not thread-safe.
class NoticeTracker {
public:
    bool isSent(Core::VmId, Core::ServiceId, std::size_t bucket, Epoch) const;
    bool isAcknowledged(Core::VmId, Core::ServiceId, std::size_t bucket, Epoch) const;
    void markSent(Core::VmId, Core::ServiceId, std::size_t bucket, Epoch);
    void acknowledge(Core::VmId, Core::ServiceId, std::size_t bucket, Epoch);
    /// Discards the member's progress, so that it is sent everything again.
    void reset(Core::VmId);

private:
    struct Progress {
        std::vector<Epoch> sent;
        std::vector<Epoch> acknowledged;
    };

    Progress const* find(Core::VmId, Core::ServiceId) const;

    absl::flat_hash_map<Core::VmId, absl::flat_hash_map<Core::ServiceId, Progress>> m_progress;
};

}
