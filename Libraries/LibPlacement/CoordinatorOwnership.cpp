#include <LibPlacement/Coordinator.h>

#include <LibPlacement/CoordinatorMessages.h>

#include <algorithm>

namespace Chicorytally::Placement {

void Coordinator::reconcileAll(Core::TimePoint now)
{
    forEachGroup(now, [&](Work const& work) {
        m_lock.AssertHeld();
        reconcile(work);
    });
}

void Coordinator::reconcile(Work const& work)
{
    auto& group = work.group;
    auto ownership = Ownership::of(m_peers.view(), m_options.self, m_isLeaving, work.id(), work.index);
    group.needsWork = true;
    group.owner = ownership.owner;
    group.second = ownership.backup;
    bool isOwner = ownership.owner == m_options.self;

    auto hasRestarted = [&](Core::VmId vm) { return std::ranges::find(m_restarted, vm) != m_restarted.end(); };
    bool isIdle = group.role == GroupRole::None || group.role == GroupRole::Claiming;
    bool hasLostOwner = group.backupOf.isValid() && !m_peers.isReachable(group.backupOf);
    if (isIdle && isOwner && hasLostOwner && !group.isResuming) {
        activate(work, false);
    } else if (group.role == GroupRole::None && isOwner) {
        startClaim(work, false);
    } else if (group.role == GroupRole::Claiming && !isOwner && !group.isResuming) {
        group.role = GroupRole::None;
    } else if (group.role == GroupRole::Frozen
        && (!m_peers.isReachable(group.handoverTo) || hasRestarted(group.handoverTo))) {
        // The new owner is lost; the records are still here.
        group.role = GroupRole::Active;
        group.replicaPeer = {};
    }
    if (group.role == GroupRole::Active) {
        if (hasRestarted(group.replicaPeer))
            group.replicaPeer = {};
        chooseReplicaPeer(work);
        updateOwnBuckets(work);
    }
}

void Coordinator::startClaim(Work const& work, bool isResuming)
{
    auto& group = work.group;
    group.role = GroupRole::Claiming;
    group.isResuming = isResuming;
    group.activePeer = {};
    group.claimBackup = {};
    group.isGrantSent = false;
    group.claimReplies.clear();
    group.claimStartedAt = work.now;
    group.claimSentAt = {};
    group.needsWork = true;
    advanceClaim(work);
}

void Coordinator::advanceClaim(Work const& work)
{
    auto& group = work.group;
    auto isWaitedFor = [&](PeerList::Peer const& peer) {
        bool isReachable = peer.isPresent && peer.member.status != MemberStatus::Unreachable;
        return isReachable && std::ranges::find(group.claimReplies, peer.member.vm) == group.claimReplies.end();
    };
    bool isAnyMissing
        = std::ranges::any_of(m_peers.peers(), [&](auto const& entry) { return isWaitedFor(entry.second); });
    if (isAnyMissing && work.now - group.claimStartedAt < AcknowledgementDeadline)
        return;
    bool hasActivePeer = group.activePeer.isValid() && m_peers.isReachable(group.activePeer);
    bool hasBackup = group.claimBackup.isValid() && m_peers.isReachable(group.claimBackup);
    if (!hasActivePeer && (group.isResuming || !hasBackup)) {
        activate(work, true);
        chooseReplicaPeer(work);
        updateOwnBuckets(work);
        return;
    }
    if (hasActivePeer && group.isResuming) {
        // Another member took over during the pause; its records are newer.
        giveUpRecords(work);
        group.isResuming = false;
        if (group.owner != m_options.self) {
            group.role = GroupRole::None;
            return;
        }
    }
    if (hasBackup && !hasActivePeer && !group.isGrantSent) {
        group.isGrantSent = true;
        queueOrder(work, group.claimBackup, Messages::GroupOrderKind::Grant);
    }
    // The handover is awaited. Ask again in case that the other member dies before.
    if (work.now - group.claimStartedAt >= std::chrono::seconds { 1 }) {
        auto peer = group.activePeer;
        group.claimReplies.clear();
        group.claimStartedAt = work.now;
        group.claimBackup = {};
        group.isGrantSent = false;
        group.activePeer = {};
        // Packets go on to the former answer until the new replies are there.
        if (m_peers.isReachable(peer))
            group.second = peer;
    }
}

void Coordinator::activate(Work const& work, bool isClaimed)
{
    auto& group = work.group;
    bool wasResuming = std::exchange(group.isResuming, false);
    bool isNew = std::ranges::all_of(group.buckets, [](BucketState const& bucket) { return bucket.epoch == 0; });
    group.role = GroupRole::Active;
    group.activeSince = work.now;
    group.isCold = isClaimed && isNew;
    group.backupOf = {};
    group.activePeer = {};
    group.replicaPeer = {};
    group.splitWith = {};
    group.splitAt.reset();
    group.needsWork = true;
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        auto& bucket = group.buckets[i];
        if (bucket.epoch == 0) {
            bucket.baseline = bucket.target;
            bucket.epoch = nextEpoch(0, m_options.self);
        } else if (bucket.isTracked) {
            bucket.track(bucket.epoch, work.now);
        }
        bucket.isKnown = true;
        work.publish(i);
    }
    for (auto& [flow, record] : group.records) {
        record.isConfirmed = true;
        record.isCopied = false;
        record.isCopyQueued = false;
        if (!wasResuming)
            record.lastSeen = RecordTime { work.now };
        if (!record.isCounted && !record.isClosing && m_hooks.flowOpened) {
            if (auto const* upstream = work.upstream(record.upstream))
                m_hooks.flowOpened(work.id(), upstream->id);
            record.isCounted = true;
        }
    }
}

void Coordinator::giveUpRecords(Work const& work)
{
    auto& group = work.group;
    for (auto const& [flow, record] : group.records) {
        auto const* upstream = work.upstream(record.upstream);
        if (record.isCounted && upstream && m_hooks.flowClosed)
            m_hooks.flowClosed(work.id(), upstream->id);
    }
    m_shared.recordCount.fetch_sub(group.records.size(), std::memory_order_relaxed);
    group.records.clear();
    group.pendingCopies.clear();
    group.pendingRemovals.clear();
}

void Coordinator::chooseReplicaPeer(Work const& work)
{
    auto& group = work.group;
    auto peer = group.owner == m_options.self ? group.second : group.owner;
    if (peer == m_options.self)
        peer = {};
    if (peer == group.replicaPeer && peer.isValid())
        return;
    auto former = std::exchange(group.replicaPeer, peer);
    if (former.isValid() && m_peers.isReachable(former))
        queueOrder(work, former, Messages::GroupOrderKind::BackupReleased);
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
        // A new owner also needs the recent opens of a tracked bucket to recognise repeats.
        bool isHandover = group.owner != m_options.self;
        if (mayDiffer || !record.isConfirmed || (isHandover && bucket.isTracked))
            group.queueCopy(flow, record);
    }
    for (auto& bucket : group.buckets) {
        // The former peer may have the proposal in force; the state must be newer than that.
        if (bucket.proposal)
            bucket.proposal->epoch = nextEpoch(bucket.proposal->epoch, m_options.self);
    }
}

void Coordinator::advanceReplication(Work const& work)
{
    auto& group = work.group;
    auto peer = group.replicaPeer;
    if (!peer.isValid() || !group.pendingCopies.empty() || group.copiesInFlight > 0)
        return;
    auto isAcknowledged = [&](std::size_t i) {
        m_lock.AssertHeld();
        auto epoch = group.buckets[i].epoch;
        return m_notices.isAcknowledged(peer, work.id(), work.bucketIndex(i), epoch);
    };
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        if (!isAcknowledged(i))
            return;
    }
    if (!group.isSynchronisationSent) {
        group.isSynchronisationSent = true;
        queueOrder(work, peer, Messages::GroupOrderKind::BackupSynchronised);
    }
    auto hasProposal = [](BucketState const& bucket) { return bucket.proposal.has_value(); };
    bool isHandover = group.owner != m_options.self && peer == group.owner;
    if (!isHandover || !group.isReplicaSynchronised || std::ranges::any_of(group.buckets, hasProposal))
        return;
    // From here on nothing changes; the receiver has all records and states.
    group.role = GroupRole::Frozen;
    group.handoverTo = peer;
    group.frozenAt = work.now;
    queueOrder(work, peer, Messages::GroupOrderKind::Activate);
}

}
