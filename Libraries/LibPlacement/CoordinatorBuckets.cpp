#include <LibPlacement/Coordinator.h>

#include <LibPlacement/CoordinatorMessages.h>

#include <algorithm>

namespace Chicorytally::Placement {

void Coordinator::refreshTargets(Work const& work)
{
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        auto const* target = work.service.view.table->target(work.bucketIndex(i));
        work.group.buckets[i].target = target ? work.service.directory.indexOf(target->id) : NoUpstreamIndex;
        work.publish(i);
    }
}

void Coordinator::updateOwnBuckets(Work const& work)
{
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        auto& bucket = work.group.buckets[i];
        auto newest = bucket.proposal ? std::max(bucket.epoch, bucket.proposal->epoch) : bucket.epoch;
        auto const* baseline = work.upstream(bucket.baseline);
        if (!baseline) {
            // No upstream was there before, so no flow can be.
            if (bucket.target == NoUpstreamIndex)
                continue;
            bucket.baseline = bucket.target;
            bucket.epoch = nextEpoch(newest, m_options.self);
            work.publish(i);
            continue;
        }
        bool isClosed = !baseline->takesNewFlows;
        bool isMoving = bucket.baseline != bucket.target && !bucket.isTracked;
        if (isClosed == bucket.isBaselineClosed && !isMoving)
            continue;
        bucket.closeBaseline(isClosed, work.now);
        if (isMoving || bucket.proposal)
            bucket.track(nextEpoch(newest, m_options.self), work.now);
        else
            bucket.epoch = nextEpoch(newest, m_options.self);
        work.publish(i);
    }
}

void Coordinator::updatePermission(Work const& work, std::size_t inGroup)
{
    auto& bucket = work.group.buckets[inGroup];
    bool isWaiting = false;
    bool isAnyMissing = false;
    for (auto const& [vm, peer] : m_peers.peers()) {
        if (!m_peers.mayForward(peer, work.now))
            continue;
        if (m_notices.isAcknowledged(vm, work.id(), work.bucketIndex(inGroup), bucket.epoch))
            continue;
        isAnyMissing = true;
        auto since = std::max(bucket.trackedAt, peer.enteredAt);
        isWaiting = isWaiting || work.now - since < AcknowledgementDeadline;
    }
    bool refuses = work.service.view.service->partition == Model::PartitionPolicy::Refuse;
    bool isDoubtful = isAnyMissing || m_peers.isAnyUnreachable();
    bool isSplit = work.group.splitAt
        && (work.group.owner != m_options.self || work.now - *work.group.splitAt < AcknowledgementDeadline);
    if (isWaiting || isSplit)
        bucket.permission = OffBaselinePermission::Waiting;
    else if (isDoubtful && refuses)
        bucket.permission = OffBaselinePermission::Refused;
    else
        bucket.permission = OffBaselinePermission::Allowed;
    if (!isAnyMissing && !bucket.acknowledgedAt)
        bucket.acknowledgedAt = work.now;
}

void Coordinator::sweep(Work const& work)
{
    auto& group = work.group;
    if (group.role != GroupRole::Active)
        return;
    expireRecords(work);
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        if (group.buckets[i].isTracked && !group.buckets[i].proposal)
            settle(work, i);
    }
}

void Coordinator::expireRecords(Work const& work)
{
    auto& group = work.group;
    RecordTime now { work.now };
    std::chrono::milliseconds idleTimeout { work.service.view.service->idleTimeout };
    for (auto position = group.records.begin(); position != group.records.end();) {
        auto const& record = position->second;
        auto const& bucket = group.buckets[record.bucketInGroup];
        auto age = record.lastSeen.age(now);
        bool isExpired = false;
        if (record.isClosing)
            isExpired = age >= (group.differsFromBaseline(record) ? ClosingLinger : RepeatWindow);
        else if (!bucket.isTracked)
            isExpired = age >= SteadyRecordLimit;
        else if (bucket.acknowledgedAt)
            isExpired = age >= idleTimeout && work.now - *bucket.acknowledgedAt >= idleTimeout;
        if (!isExpired) {
            ++position;
            continue;
        }
        auto const* upstream = work.upstream(record.upstream);
        if (record.isCounted && upstream && m_hooks.flowClosed)
            m_hooks.flowClosed(work.id(), upstream->id);
        if (record.isCopied || record.isCopyQueued) {
            group.pendingRemovals.push_back({ position->first, record.bucketInGroup });
            group.needsWork = true;
        }
        m_shared.recordCount.fetch_sub(1, std::memory_order_relaxed);
        group.records.erase(position++);
    }
}

void Coordinator::settle(Work const& work, std::size_t inGroup)
{
    auto& group = work.group;
    auto& bucket = group.buckets[inGroup];
    // While a member can't be told, baselines of the two sides must not grow apart.
    if (!bucket.acknowledgedAt || bucket.target == NoUpstreamIndex || m_peers.isAnyUnreachable())
        return;
    if (work.now - bucket.trackedAt < UdpSettlingTime)
        return;
    std::size_t offTarget = 0;
    std::size_t offBaseline = 0;
    std::size_t uncopied = 0;
    for (auto const& [flow, record] : group.records) {
        if (record.bucketInGroup != inGroup)
            continue;
        offBaseline += record.upstream != bucket.baseline ? 1 : 0;
        if (record.upstream == bucket.target)
            continue;
        ++offTarget;
        uncopied += record.isCopied ? 0 : 1;
    }
    if (bucket.target == bucket.baseline) {
        if (offBaseline == 0)
            propose(work, inGroup, bucket.baseline, false);
        return;
    }
    // All live flows have sent a packet to the owner by now, and so have a record.
    bool isComplete = work.now - *bucket.acknowledgedAt >= work.service.view.service->idleTimeout;
    if (!isComplete || offTarget > offBaseline)
        return;
    if (uncopied == 0 || !group.replicaPeer.isValid()) {
        propose(work, inGroup, bucket.target, offTarget > 0);
        return;
    }
    for (auto& [flow, record] : group.records) {
        if (record.bucketInGroup == inGroup && record.upstream != bucket.target)
            group.queueCopy(flow, record);
    }
    group.needsWork = true;
}

void Coordinator::propose(Work const& work, std::size_t inGroup, UpstreamIndex baseline, bool isTracked)
{
    auto& bucket = work.group.buckets[inGroup];
    bucket.proposal = { nextEpoch(bucket.epoch, m_options.self), baseline, isTracked };
    work.group.needsWork = true;
    if (!work.group.replicaPeer.isValid())
        applyProposal(work, inGroup);
}

void Coordinator::applyProposal(Work const& work, std::size_t inGroup)
{
    auto& group = work.group;
    auto& bucket = group.buckets[inGroup];
    auto proposal = *bucket.proposal;
    bucket.proposal.reset();
    bucket.epoch = proposal.epoch;
    if (bucket.baseline != proposal.baseline)
        bucket.isBaselineClosed = false;
    bucket.baseline = proposal.baseline;
    bucket.isTracked = proposal.isTracked;
    if (proposal.isTracked)
        bucket.track(proposal.epoch, work.now);
    for (auto& [flow, record] : group.records) {
        bool isOff = record.bucketInGroup == inGroup && record.upstream != bucket.baseline;
        if (isOff)
            group.queueCopy(flow, record);
        // Opened while the proposal was out, or on a steady bucket before the state was known.
        if (isOff && !bucket.isTracked)
            bucket.track(nextEpoch(bucket.epoch, m_options.self), work.now);
    }
    work.publish(inGroup);
    updateOwnBuckets(work);
    group.needsWork = true;
}

void Coordinator::merge(Work const& work, std::size_t inGroup, DueEntry const& entry, Epoch epoch)
{
    auto& bucket = work.group.buckets[inGroup];
    bool isDifferent = entry.isTracked || entry.baseline != bucket.baseline;
    if (bucket.isTracked || isDifferent)
        bucket.track(epoch, work.now);
    else
        bucket.epoch = epoch;
    work.publish(inGroup);
    work.group.needsWork = true;
}

Coordinator::EntryResult Coordinator::applyEntryToOwned(
    Work const& work, std::size_t inGroup, DueEntry const& entry, Core::VmId sender, bool isCorrection)
{
    auto& group = work.group;
    auto& bucket = group.buckets[inGroup];
    bool isNewer = entry.epoch > bucket.epoch;
    if (!m_peers.isReachable(sender))
        return EntryResult::Ignored;
    if (isCorrection || group.owner != m_options.self) {
        // The other owner decides; this one hands over and meanwhile opens nothing off the baseline. It doesn't
        // acknowledge, because it still decides packets by its own records.
        // A correction that isn't newer answers a notice that was superseded meanwhile.
        if (isCorrection ? isNewer : sender == group.owner)
            group.splitAt = work.now;
        if (isNewer)
            merge(work, inGroup, entry, entry.epoch);
        return EntryResult::Ignored;
    }
    if (group.splitWith != sender || !group.splitBuckets.test(inGroup)) {
        // The first word of another owner is always answered by a newer state, so that it learns of this one.
        if (group.splitWith != sender)
            group.splitBuckets.reset();
        group.splitWith = sender;
        group.splitBuckets.set(inGroup);
        merge(work, inGroup, entry, nextEpoch(std::max(bucket.epoch, entry.epoch), m_options.self));
        return EntryResult::Outdated;
    }
    if (entry.epoch < bucket.epoch)
        return EntryResult::Outdated;
    if (isNewer)
        merge(work, inGroup, entry, entry.epoch);
    return EntryResult::Applied;
}

Coordinator::EntryResult Coordinator::applyEntry(
    Work const& work, std::size_t inGroup, DueEntry const& entry, Core::VmId sender, bool isCorrection)
{
    auto& group = work.group;
    auto& bucket = group.buckets[inGroup];
    if (group.role == GroupRole::Active)
        return applyEntryToOwned(work, inGroup, entry, sender, isCorrection);
    if (entry.epoch < bucket.epoch)
        return EntryResult::Outdated;
    if (entry.epoch > bucket.epoch)
        bucket.trackedAt = work.now;
    bucket.epoch = entry.epoch;
    bucket.baseline = entry.baseline;
    bucket.isTracked = entry.isTracked;
    bucket.closeBaseline(entry.isBaselineClosed, work.now);
    // A claim collects states of members that aren't owners; they don't tell that nothing newer exists.
    bucket.isKnown = bucket.isKnown || (!isCorrection && group.role != GroupRole::Claiming);
    work.publish(inGroup);
    return EntryResult::Applied;
}

}
