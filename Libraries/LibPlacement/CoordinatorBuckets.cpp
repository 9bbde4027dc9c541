#include <LibPlacement/Coordinator.h>

#include <LibPlacement/CoordinatorMessages.h>

#include <algorithm>

namespace Chicorytally::Placement {

void Coordinator::refreshTargets(GroupContext const& context)
{
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        auto const* target = context.service.view.table->target(context.bucketIndex(i));
        context.group.buckets[i].target = target ? context.service.directory.indexOf(target->id) : NoUpstreamIndex;
        context.publish(i);
    }
}

void Coordinator::updateOwnedBuckets(GroupContext const& context)
{
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        auto& bucket = context.group.buckets[i];
        auto newest = bucket.proposal ? std::max(bucket.epoch, bucket.proposal->epoch) : bucket.epoch;
        auto const* baseline = context.upstream(bucket.baseline);
        if (!baseline) {
            // There was no upstream before, so there can be no flows.
            if (bucket.target == NoUpstreamIndex)
                continue;
            bucket.baseline = bucket.target;
            bucket.epoch = nextEpoch(newest, m_options.self);
            context.publish(i);
            continue;
        }
        bool isClosed = !baseline->takesNewFlows;
        bool isMoving = bucket.baseline != bucket.target && !bucket.isTracked;
        if (isClosed == bucket.isBaselineClosed && !isMoving)
            continue;
        bucket.setBaselineClosed(isClosed, context.now);
        if (isMoving || bucket.proposal)
            bucket.track(nextEpoch(newest, m_options.self), context.now);
        else
            bucket.epoch = nextEpoch(newest, m_options.self);
        context.publish(i);
    }
}

void Coordinator::updatePermission(GroupContext const& context, std::size_t bucketInGroup)
{
    auto& bucket = context.group.buckets[bucketInGroup];
    bool isWaiting = false;
    bool isAnyMissing = false;
    for (auto const& [vm, peer] : m_peers.peers()) {
        if (!m_peers.mayForward(peer, context.now))
            continue;
        if (m_notices.isAcknowledged(vm, context.id(), context.bucketIndex(bucketInGroup), bucket.epoch))
            continue;
        isAnyMissing = true;
        auto since = std::max(bucket.trackedAt, peer.joinedAt);
        isWaiting = isWaiting || context.now - since < AcknowledgementTimeout;
    }
    bool refuses = context.service.view.service->partition == Model::PartitionPolicy::Refuse;
    bool mayBePartitioned = isAnyMissing || m_peers.isAnyUnreachable();
    bool hasRecentConflict = context.group.conflictSeenAt
        && (context.group.owner != m_options.self
            || context.now - *context.group.conflictSeenAt < AcknowledgementTimeout);
    if (isWaiting || hasRecentConflict)
        bucket.permission = OffBaselinePermission::Waiting;
    else if (mayBePartitioned && refuses)
        bucket.permission = OffBaselinePermission::Refused;
    else
        bucket.permission = OffBaselinePermission::Allowed;
    if (!isAnyMissing && !bucket.acknowledgedAt)
        bucket.acknowledgedAt = context.now;
}

void Coordinator::sweep(GroupContext const& context)
{
    auto& group = context.group;
    if (group.role != GroupRole::Active)
        return;
    expireRecords(context);
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        if (group.buckets[i].isTracked && !group.buckets[i].proposal)
            advanceTrackedBucket(context, i);
    }
}

void Coordinator::expireRecords(GroupContext const& context)
{
    auto& group = context.group;
    RecordTime now { context.now };
    std::chrono::milliseconds idleTimeout { context.service.view.service->idleTimeout };
    for (auto position = group.records.begin(); position != group.records.end();) {
        auto const& record = position->second;
        auto const& bucket = group.buckets[record.bucketInGroup];
        auto age = record.lastSeen.age(now);
        bool isExpired = false;
        if (record.isClosing)
            isExpired = age >= (group.differsFromBaseline(record) ? ClosedFlowTimeout : RetransmissionWindow);
        else if (!bucket.isTracked)
            isExpired = age >= SteadyRecordTimeout;
        else if (bucket.acknowledgedAt)
            isExpired = age >= idleTimeout && context.now - *bucket.acknowledgedAt >= idleTimeout;
        if (!isExpired) {
            ++position;
            continue;
        }
        auto const* upstream = context.upstream(record.upstream);
        if (record.isCounted && upstream && m_hooks.flowClosed)
            m_hooks.flowClosed(context.id(), upstream->id);
        if (record.isCopied || record.isCopyQueued) {
            group.pendingRemovals.push_back({ position->first, record.bucketInGroup });
            group.needsWork = true;
        }
        m_shared.recordCount.fetch_sub(1, std::memory_order_relaxed);
        group.records.erase(position++);
    }
}

void Coordinator::advanceTrackedBucket(GroupContext const& context, std::size_t bucketInGroup)
{
    auto& group = context.group;
    auto& bucket = group.buckets[bucketInGroup];
    // The baselines on two sides of a partition must not diverge while a member can't be notified.
    if (!bucket.acknowledgedAt || bucket.target == NoUpstreamIndex || m_peers.isAnyUnreachable())
        return;
    if (context.now - bucket.trackedAt < UdpSettlingTime)
        return;
    std::size_t offTarget = 0;
    std::size_t offBaseline = 0;
    std::size_t uncopied = 0;
    for (auto const& [flow, record] : group.records) {
        if (record.bucketInGroup != bucketInGroup)
            continue;
        offBaseline += record.upstream != bucket.baseline ? 1 : 0;
        if (record.upstream == bucket.target)
            continue;
        ++offTarget;
        uncopied += record.isCopied ? 0 : 1;
    }
    if (bucket.target == bucket.baseline) {
        if (offBaseline == 0)
            propose(context, bucketInGroup, bucket.baseline, false);
        return;
    }
    // By then every live flow has sent a packet to the owner and so has a record.
    bool isComplete = context.now - *bucket.acknowledgedAt >= context.service.view.service->idleTimeout;
    if (!isComplete || offTarget > offBaseline)
        return;
    if (uncopied == 0 || !group.replicaPeer.isValid()) {
        propose(context, bucketInGroup, bucket.target, offTarget > 0);
        return;
    }
    for (auto& [flow, record] : group.records) {
        if (record.bucketInGroup == bucketInGroup && record.upstream != bucket.target)
            group.queueCopy(flow, record);
    }
    group.needsWork = true;
}

void Coordinator::propose(
    GroupContext const& context, std::size_t bucketInGroup, UpstreamIndex baseline, bool isTracked)
{
    auto& bucket = context.group.buckets[bucketInGroup];
    bucket.proposal = { nextEpoch(bucket.epoch, m_options.self), baseline, isTracked };
    context.group.needsWork = true;
    if (!context.group.replicaPeer.isValid())
        applyProposal(context, bucketInGroup);
}

void Coordinator::applyProposal(GroupContext const& context, std::size_t bucketInGroup)
{
    auto& group = context.group;
    auto& bucket = group.buckets[bucketInGroup];
    auto proposal = *bucket.proposal;
    bucket.proposal.reset();
    bucket.epoch = proposal.epoch;
    if (bucket.baseline != proposal.baseline)
        bucket.isBaselineClosed = false;
    bucket.baseline = proposal.baseline;
    bucket.isTracked = proposal.isTracked;
    if (proposal.isTracked)
        bucket.track(proposal.epoch, context.now);
    for (auto& [flow, record] : group.records) {
        bool isOff = record.bucketInGroup == bucketInGroup && record.upstream != bucket.baseline;
        if (isOff)
            group.queueCopy(flow, record);
        // Opened while the proposal was pending, or on a steady bucket before the state was known.
        if (isOff && !bucket.isTracked)
            bucket.track(nextEpoch(bucket.epoch, m_options.self), context.now);
    }
    context.publish(bucketInGroup);
    updateOwnedBuckets(context);
    group.needsWork = true;
}

void Coordinator::merge(
    GroupContext const& context, std::size_t bucketInGroup, BucketStateEntry const& entry, Epoch epoch)
{
    auto& bucket = context.group.buckets[bucketInGroup];
    bool isDifferent = entry.isTracked || entry.baseline != bucket.baseline;
    if (bucket.isTracked || isDifferent)
        bucket.track(epoch, context.now);
    else
        bucket.epoch = epoch;
    context.publish(bucketInGroup);
    context.group.needsWork = true;
}

Coordinator::EntryResult Coordinator::applyEntryToOwned(GroupContext const& context, std::size_t bucketInGroup,
    BucketStateEntry const& entry, Core::VmId sender, bool isCorrection)
{
    auto& group = context.group;
    auto& bucket = group.buckets[bucketInGroup];
    bool isNewer = entry.epoch > bucket.epoch;
    if (!m_peers.isReachable(sender))
        return EntryResult::Ignored;
    if (isCorrection || group.owner != m_options.self) {
        // The other owner takes precedence; this one hands over and until then opens nothing off the baseline. It
        // doesn't acknowledge, because it still decides packets by its own records. A correction that isn't newer
        // replies to a notice that has been superseded in the meantime.
        if (isCorrection ? isNewer : sender == group.owner)
            group.conflictSeenAt = context.now;
        if (isNewer)
            merge(context, bucketInGroup, entry, entry.epoch);
        return EntryResult::Ignored;
    }
    if (group.conflictingOwner != sender || !group.answeredBuckets.test(bucketInGroup)) {
        // The first entry from another owner is always answered with a newer state, so that it learns of this owner.
        if (group.conflictingOwner != sender)
            group.answeredBuckets.reset();
        group.conflictingOwner = sender;
        group.answeredBuckets.set(bucketInGroup);
        merge(context, bucketInGroup, entry, nextEpoch(std::max(bucket.epoch, entry.epoch), m_options.self));
        return EntryResult::Outdated;
    }
    if (entry.epoch < bucket.epoch)
        return EntryResult::Outdated;
    if (isNewer)
        merge(context, bucketInGroup, entry, entry.epoch);
    return EntryResult::Applied;
}

Coordinator::EntryResult Coordinator::applyEntry(GroupContext const& context, std::size_t bucketInGroup,
    BucketStateEntry const& entry, Core::VmId sender, bool isCorrection)
{
    auto& group = context.group;
    auto& bucket = group.buckets[bucketInGroup];
    if (group.role == GroupRole::Active)
        return applyEntryToOwned(context, bucketInGroup, entry, sender, isCorrection);
    if (entry.epoch < bucket.epoch)
        return EntryResult::Outdated;
    if (entry.epoch > bucket.epoch)
        bucket.trackedAt = context.now;
    bucket.epoch = entry.epoch;
    bucket.baseline = entry.baseline;
    bucket.isTracked = entry.isTracked;
    bucket.setBaselineClosed(entry.isBaselineClosed, context.now);
    // A claim collects states from members that aren't owners, so a newer state may exist elsewhere.
    bucket.isKnown = bucket.isKnown || (!isCorrection && group.role != GroupRole::Claiming);
    context.publish(bucketInGroup);
    return EntryResult::Applied;
}

}
