#include <LibPlacement/Coordinator.h>

#include <LibPlacement/CoordinatorMessages.h>

#include <algorithm>

namespace Chicorytally::Placement {

void Coordinator::reconcileAll(Core::TimePoint now)
{
    forEachGroup(now, [&](GroupContext const& context) {
        m_lock.AssertHeld();
        reconcile(context);
    });
}

void Coordinator::reconcile(GroupContext const& context)
{
    auto& group = context.group;
    auto ownership = Ownership::of(m_peers.view(), m_options.self, m_isLeaving, context.id(), context.index);
    group.needsWork = true;
    group.owner = ownership.owner;
    group.backup = ownership.backup;
    bool isOwner = ownership.owner == m_options.self;

    auto hasRestarted = [&](Core::VmId vm) { return std::ranges::find(m_restarted, vm) != m_restarted.end(); };
    bool isIdle = group.role == GroupRole::None || group.role == GroupRole::Claiming;
    bool hasLostOwner = group.backupOf.isValid() && !m_peers.isReachable(group.backupOf);
    if (isIdle && isOwner && hasLostOwner && !group.isResuming) {
        activate(context, false);
    } else if (group.role == GroupRole::None && isOwner) {
        startClaim(context, false);
    } else if (group.role == GroupRole::Claiming && !isOwner && !group.isResuming) {
        group.role = GroupRole::None;
    } else if (group.role == GroupRole::Frozen
        && (!m_peers.isReachable(group.handoverTo) || hasRestarted(group.handoverTo))) {
        // The new owner is lost; this balancer still has the records.
        group.role = GroupRole::Active;
        group.replicaPeer = {};
    }
    if (group.role == GroupRole::Active) {
        if (hasRestarted(group.replicaPeer))
            group.replicaPeer = {};
        chooseReplicaPeer(context);
        updateOwnedBuckets(context);
    }
}

void Coordinator::startClaim(GroupContext const& context, bool isResuming)
{
    auto& group = context.group;
    group.role = GroupRole::Claiming;
    group.isResuming = isResuming;
    group.activePeer = {};
    group.claimBackup = {};
    group.isGrantSent = false;
    group.claimReplies.clear();
    group.claimStartedAt = context.now;
    group.claimSentAt = {};
    group.needsWork = true;
    advanceClaim(context);
}

void Coordinator::advanceClaim(GroupContext const& context)
{
    auto& group = context.group;
    auto isWaitedFor = [&](PeerList::Peer const& peer) {
        bool isReachable = peer.isPresent && peer.member.status != MemberStatus::Unreachable;
        return isReachable && std::ranges::find(group.claimReplies, peer.member.vm) == group.claimReplies.end();
    };
    bool isAnyMissing
        = std::ranges::any_of(m_peers.peers(), [&](auto const& entry) { return isWaitedFor(entry.second); });
    if (isAnyMissing && context.now - group.claimStartedAt < AcknowledgementTimeout)
        return;
    bool hasActivePeer = group.activePeer.isValid() && m_peers.isReachable(group.activePeer);
    bool hasBackup = group.claimBackup.isValid() && m_peers.isReachable(group.claimBackup);
    if (!hasActivePeer && (group.isResuming || !hasBackup)) {
        activate(context, true);
        chooseReplicaPeer(context);
        updateOwnedBuckets(context);
        return;
    }
    if (hasActivePeer && group.isResuming) {
        // Another member took over during the pause; its records are newer.
        discardRecords(context);
        group.isResuming = false;
        if (group.owner != m_options.self) {
            group.role = GroupRole::None;
            return;
        }
    }
    if (hasBackup && !hasActivePeer && !group.isGrantSent) {
        group.isGrantSent = true;
        queueOrder(context, group.claimBackup, Messages::GroupOrderKind::Grant);
    }
    // Waiting for the handover. Ask again in case the other member fails before it.
    if (context.now - group.claimStartedAt >= std::chrono::seconds { 1 }) {
        auto peer = group.activePeer;
        group.claimReplies.clear();
        group.claimStartedAt = context.now;
        group.claimBackup = {};
        group.isGrantSent = false;
        group.activePeer = {};
        // Packets go to the previously active member until new replies arrive.
        if (m_peers.isReachable(peer))
            group.backup = peer;
    }
}

void Coordinator::activate(GroupContext const& context, bool isClaimed)
{
    auto& group = context.group;
    bool wasResuming = std::exchange(group.isResuming, false);
    bool isNew = std::ranges::all_of(group.buckets, [](BucketState const& bucket) { return bucket.epoch == 0; });
    group.role = GroupRole::Active;
    group.activeSince = context.now;
    group.isFirstActivation = isClaimed && isNew;
    group.backupOf = {};
    group.activePeer = {};
    group.replicaPeer = {};
    group.conflictingOwner = {};
    group.conflictSeenAt.reset();
    group.needsWork = true;
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        auto& bucket = group.buckets[i];
        if (bucket.epoch == 0) {
            bucket.baseline = bucket.target;
            bucket.epoch = nextEpoch(0, m_options.self);
        } else if (bucket.isTracked) {
            bucket.track(bucket.epoch, context.now);
        }
        bucket.isKnown = true;
        context.publish(i);
    }
    for (auto& [flow, record] : group.records) {
        record.isConfirmed = true;
        record.isCopied = false;
        record.isCopyQueued = false;
        if (!wasResuming)
            record.lastSeen = RecordTime { context.now };
        if (!record.isCounted && !record.isClosing && m_hooks.flowOpened) {
            if (auto const* upstream = context.upstream(record.upstream))
                m_hooks.flowOpened(context.id(), upstream->id);
            record.isCounted = true;
        }
    }
}

void Coordinator::discardRecords(GroupContext const& context)
{
    auto& group = context.group;
    for (auto const& [flow, record] : group.records) {
        auto const* upstream = context.upstream(record.upstream);
        if (record.isCounted && upstream && m_hooks.flowClosed)
            m_hooks.flowClosed(context.id(), upstream->id);
    }
    m_shared.recordCount.fetch_sub(group.records.size(), std::memory_order_relaxed);
    group.records.clear();
    group.pendingCopies.clear();
    group.pendingRemovals.clear();
}

void Coordinator::chooseReplicaPeer(GroupContext const& context)
{
    auto& group = context.group;
    auto peer = group.owner == m_options.self ? group.backup : group.owner;
    if (peer == m_options.self)
        peer = {};
    if (peer == group.replicaPeer && peer.isValid())
        return;
    auto previous = std::exchange(group.replicaPeer, peer);
    if (previous.isValid() && m_peers.isReachable(previous))
        queueOrder(context, previous, Messages::GroupOrderKind::BackupReleased);
    ++group.replicaGeneration;
    group.isReplicaSynchronised = false;
    group.isSynchronisationSent = false;
    group.isActivationSent = false;
    group.copiesInFlight = 0;
    group.pendingCopies.clear();
    group.pendingRemovals.clear();
    for (auto& [flow, record] : group.records) {
        record.isCopied = false;
        record.isCopyQueued = false;
        auto const& bucket = group.buckets[record.bucketInGroup];
        bool mayDiffer = bucket.proposal || group.differsFromBaseline(record);
        // A new owner also needs the recent opens of a tracked bucket to recognise retransmissions.
        bool isHandover = group.owner != m_options.self;
        if (mayDiffer || !record.isConfirmed || (isHandover && bucket.isTracked))
            group.queueCopy(flow, record);
    }
    for (auto& bucket : group.buckets) {
        // The previous peer may have applied the proposal; the state must be newer than that.
        if (bucket.proposal)
            bucket.proposal->epoch = nextEpoch(bucket.proposal->epoch, m_options.self);
    }
}

void Coordinator::advanceReplication(GroupContext const& context)
{
    auto& group = context.group;
    auto peer = group.replicaPeer;
    if (!peer.isValid() || !group.pendingCopies.empty() || group.copiesInFlight > 0)
        return;
    auto isAcknowledged = [&](std::size_t i) {
        m_lock.AssertHeld();
        auto epoch = group.buckets[i].epoch;
        return m_notices.isAcknowledged(peer, context.id(), context.bucketIndex(i), epoch);
    };
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        if (!isAcknowledged(i))
            return;
    }
    if (!group.isSynchronisationSent) {
        group.isSynchronisationSent = true;
        queueOrder(context, peer, Messages::GroupOrderKind::BackupSynchronised);
    }
    auto hasProposal = [](BucketState const& bucket) { return bucket.proposal.has_value(); };
    bool isHandover = group.owner != m_options.self && peer == group.owner;
    if (!isHandover || !group.isReplicaSynchronised || std::ranges::any_of(group.buckets, hasProposal))
        return;
    // The receiver has all records and states, which don't change from here on.
    group.role = GroupRole::Frozen;
    group.handoverTo = peer;
    group.frozenAt = context.now;
    queueOrder(context, peer, Messages::GroupOrderKind::Activate);
}

}
