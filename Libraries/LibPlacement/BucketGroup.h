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
    /// Another member owns the group, or its owner is unknown.
    None,
    /// Owner according to the member view; is asking the other members whether one of them still acts as owner.
    Claiming,
    /// Acts as owner: decides the opens of its buckets.
    Active,
    /// Has handed the group over and awaits the acknowledgement; makes no new decisions.
    Frozen,
};

/// Buckets with a common owner and backup, and the records of their flows. One shard of the engine's state.
struct BucketGroup {
    static constexpr std::size_t BucketCount = 8;

    struct Removal {
        FlowHash flow;
        std::uint8_t bucketInGroup;
    };

    mutable absl::Mutex lock;
    /// Work is due or a reply is pending; the control path skips groups where this is false.
    std::atomic<bool> needsWork { true };

    GroupRole role { GroupRole::None };
    /// Owner and backup according to the member view. While a claim is repeated, the backup is the member that last
    /// replied as active, so that packets still reach it.
    Core::VmId owner;
    Core::VmId backup;
    /// Frozen: the new owner.
    Core::VmId handoverTo;
    Core::TimePoint frozenAt;
    /// Claiming: the member that still acts as owner.
    Core::VmId activePeer;
    Core::TimePoint activeSince;
    /// No member owned the group before, so no earlier opens exist.
    bool isFirstActivation { false };

    /// The owner for which this balancer holds a synchronised backup.
    Core::VmId backupOf;
    /// Sender and sequence number of the newest order. Older orders are ignored, so that a delayed duplicate has no
    /// effect.
    Core::VmId orderSender;
    std::int64_t orderSequence { 0 };
    /// Active: the member that receives copies of the records.
    Core::VmId replicaPeer;
    bool isReplicaSynchronised { false };
    bool isSynchronisationSent { false };
    bool isActivationSent { false };
    /// Identifies the current replica peer: acknowledgements of copies to an earlier one carry an older generation.
    std::uint32_t replicaGeneration { 0 };
    std::uint32_t copiesInFlight { 0 };
    std::vector<FlowHash> pendingCopies;
    std::vector<Removal> pendingRemovals;

    /// Active: another member that also acts as owner, as after a partition, and the buckets for which it was sent a
    /// newer state.
    Core::VmId conflictingOwner;
    std::bitset<BucketCount> answeredBuckets;
    /// When a state of an owner that takes precedence over this one was last received.
    std::optional<Core::TimePoint> conflictSeenAt;

    /// Claiming: acted as owner before the process was paused.
    bool isResuming { false };
    Core::TimePoint claimStartedAt;
    Core::TimePoint claimSentAt;
    std::vector<Core::VmId> claimReplies;
    Core::VmId claimBackup;
    bool isGrantSent { false };

    absl::flat_hash_map<FlowHash, FlowRecord> records;
    std::array<BucketState, BucketCount> buckets;

    /// Queues a copy for the replica peer. Without a replica peer the record is confirmed at once.
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
