#pragma once

#include <LibPlacement/BucketState.h>
#include <LibPlacement/FlowRecord.h>

#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <bitset>
#include <vector>

namespace Chicorytally::Placement {

enum class GroupRole : std::uint8_t {
    /// Another member decides, or nobody known.
    None,
    /// Is the owner by the member view, and asks the others whether one of them still acts as owner.
    Claiming,
    /// Decides the opens.
    Active,
    /// Has handed over and waits for the acknowledgement; decides nothing new.
    Frozen,
};

/// Buckets that have the same owner and backup, with the flow records of their flows. One shard of the engine's state.
struct BucketGroup {
    static constexpr std::size_t BucketCount = 8;

    struct Removal {
        FlowHash flow;
        std::uint8_t bucketInGroup;
    };

    mutable absl::Mutex lock;
    /// Something is due or awaited; the control path skips other groups.
    std::atomic<bool> needsWork { true };

    GroupRole role { GroupRole::None };
    /// By the member view.
    Core::VmId owner;
    Core::VmId backup;
    /// Frozen: the new owner.
    Core::VmId handoverTo;
    Core::TimePoint frozenAt;
    /// Claiming: the member that still acts as owner.
    Core::VmId activePeer;
    Core::TimePoint activeSince;
    /// Nobody owned the group before, so there are no earlier opens.
    bool isFirstActivation { false };

    /// The member whose synchronised backup this balancer is.
    Core::VmId backupOf;
    /// Newest order by its sender; a delayed duplicate of an older one must not take effect.
    Core::VmId orderSender;
    std::int64_t orderSequence { 0 };
    /// Active: the member that gets copies.
    Core::VmId replicaPeer;
    bool isReplicaSynchronised { false };
    bool isSynchronisationSent { false };
    bool isActivationSent { false };
    /// Acknowledgements of copies to an earlier replica peer carry an older generation.
    std::uint32_t replicaGeneration { 0 };
    std::uint32_t copiesInFlight { 0 };
    std::vector<FlowHash> pendingCopies;
    std::vector<Removal> pendingRemovals;

    /// Active: another member that acts as owner too, as after a partition, and the buckets it was answered for.
    Core::VmId conflictingOwner;
    std::bitset<BucketCount> answeredBuckets;
    std::optional<Core::TimePoint> conflictSeenAt;

    /// Claiming: acted as owner before a pause of the process.
    bool isResuming { false };
    Core::TimePoint claimStartedAt;
    Core::TimePoint claimSentAt;
    std::vector<Core::VmId> claimReplies;
    Core::VmId claimBackup;
    bool isGrantSent { false };

    absl::flat_hash_map<FlowHash, FlowRecord> records;
    std::array<BucketState, BucketCount> buckets;

    /// Queues a copy to the replica peer; without one the record counts as confirmed.
    void queueCopy(FlowHash flow, FlowRecord& record)
    {
        if (!replicaPeer.isValid()) {
            record.isConfirmed = true;
            return;
        }
        if (record.isCopyQueued || record.isCopied)
            return;
        record.isCopyQueued = true;
        pendingCopies.push_back(flow);
    }

    bool differsFromBaseline(FlowRecord const& record) const
    {
        return record.upstream != buckets[record.bucketInGroup].baseline;
    }
};

}
