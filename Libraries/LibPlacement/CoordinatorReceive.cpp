#include <LibPlacement/Coordinator.h>

#include <algorithm>

namespace Chicorytally::Placement {

void Coordinator::receive(Core::VmId sender, Messages::PlacementMessage const& message)
{
    absl::MutexLock lock { &m_lock };
    m_shared.requestTick();
    if (message.__isset.bucketNotice)
        receiveNotice(sender, message.bucketNotice);
    if (message.__isset.recordBatch)
        receiveRecords(sender, message.recordBatch);
    if (message.__isset.groupClaim)
        receiveClaim(sender, message.groupClaim);
    if (message.__isset.groupClaimReply)
        receiveClaimReply(sender, message.groupClaimReply);
    if (message.__isset.groupOrder)
        receiveOrder(sender, message.groupOrder);
    if (message.__isset.bucketStateRequest) {
        m_notices.reset(sender);
        forEachGroup(m_clock.now(), [](GroupContext const& context) { context.group.needsWork = true; });
    }
    if (message.__isset.acknowledgement) {
        for (auto sequence : message.acknowledgement.sequences)
            receiveAcknowledgement(sender, sequence);
    }
}

void Coordinator::receiveNotice(Core::VmId sender, Messages::BucketNotice const& notice)
{
    auto* service = findService(notice.serviceId);
    if (!service) {
        // The service is unknown here, so no outdated state is held. The owners are asked for their states once it is
        // configured.
        m_acknowledgements[sender].push_back(notice.sequence);
        return;
    }
    auto indexes = intern(*service, notice.upstreams);
    auto& state = *service->view.state;
    auto now = m_clock.now();
    bool isCurrent = true;
    std::vector<BucketStateEntry> newer;
    for (auto const& entry : notice.entries) {
        auto bucket = static_cast<std::size_t>(entry.bucket);
        if (entry.bucket < 0 || bucket >= state.bucketCount() || entry.baseline >= static_cast<int>(indexes.size()))
            continue;
        auto& group = state.groupOf(bucket);
        absl::MutexLock lock { &group.lock };
        GroupContext context { *service, bucket / BucketGroup::BucketCount, group, now };
        auto bucketInGroup = ServiceState::bucketInGroup(bucket);
        auto baseline = entry.baseline >= 0 ? indexes[static_cast<std::size_t>(entry.baseline)] : NoUpstreamIndex;
        BucketStateEntry received { static_cast<std::uint32_t>(bucket), static_cast<Epoch>(entry.epoch), baseline,
            entry.__isset.tracked && entry.tracked, entry.__isset.baselineClosed && entry.baselineClosed };
        auto result = applyEntry(context, bucketInGroup, received, sender, notice.correction);
        isCurrent = isCurrent && result == EntryResult::Applied;
        if (result != EntryResult::Outdated)
            continue;
        auto const& own = group.buckets[bucketInGroup];
        newer.push_back({ received.bucket, own.epoch, own.baseline, own.isTracked, own.isBaselineClosed });
    }
    if (notice.correction)
        return;
    // An owner must not rely on a member that holds a state other than that of the notice.
    if (isCurrent)
        m_acknowledgements[sender].push_back(notice.sequence);
    else if (!newer.empty())
        sendEntries(*service, sender, newer, true, now);
}

void Coordinator::receiveRecords(Core::VmId sender, Messages::RecordBatch const& batch)
{
    auto* service = findService(batch.serviceId);
    if (!service)
        return;
    auto indexes = intern(*service, batch.upstreams);
    auto& state = *service->view.state;
    auto now = m_clock.now();
    bool isAccepted = true;
    for (auto const& copy : batch.records) {
        auto bucket = static_cast<std::size_t>(copy.bucket);
        if (copy.bucket < 0 || bucket >= state.bucketCount() || copy.upstream >= static_cast<int>(indexes.size()))
            continue;
        auto& group = state.groupOf(bucket);
        absl::MutexLock lock { &group.lock };
        GroupContext context { *service, bucket / BucketGroup::BucketCount, group, now };
        if (group.role == GroupRole::Frozen) {
            // The records are cleared once the handover is acknowledged; copies are only accepted after that.
            isAccepted = false;
            continue;
        }
        auto upstream = copy.upstream >= 0 ? indexes[static_cast<std::size_t>(copy.upstream)] : NoUpstreamIndex;
        receiveRecord(context, copy, upstream);
    }
    if (isAccepted)
        m_acknowledgements[sender].push_back(batch.sequence);
}

void Coordinator::receiveRecord(
    GroupContext const& context, Messages::FlowRecordCopy const& copy, UpstreamIndex upstream)
{
    auto& group = context.group;
    auto flow = static_cast<FlowHash>(copy.flow);
    auto position = group.records.find(flow);
    bool isActive = group.role == GroupRole::Active;
    if (copy.removed || upstream == NoUpstreamIndex) {
        if (isActive || position == group.records.end())
            return;
        group.records.erase(position);
        m_shared.recordCount.fetch_sub(1, std::memory_order_relaxed);
        return;
    }
    auto opened = RecordTime { context.now - std::chrono::milliseconds { copy.ageMilliseconds } };
    if (position != group.records.end() && isActive) {
        // Both sides of a partition have a record: the earlier open wins, then the lower upstream id.
        auto& own = position->second;
        RecordTime now { context.now };
        auto ownAge = own.opened.age(now);
        auto otherAge = opened.age(now);
        bool isLower = context.upstream(upstream)->id < context.upstream(own.upstream)->id;
        if (own.upstream == upstream || otherAge < ownAge || (otherAge == ownAge && !isLower))
            return;
    } else if (position == group.records.end()) {
        m_shared.recordCount.fetch_add(1, std::memory_order_relaxed);
    }
    auto& record = group.records[flow];
    record = FlowRecord {};
    record.upstream = upstream;
    record.bucketInGroup = static_cast<std::uint8_t>(static_cast<std::size_t>(copy.bucket) % BucketGroup::BucketCount);
    record.isConfirmed = true;
    record.lastSeen = RecordTime { context.now };
    record.opened = opened;
    if (isActive && group.differsFromBaseline(record)) {
        group.queueCopy(flow, record);
        group.needsWork = true;
    }
}

void Coordinator::receiveClaim(Core::VmId sender, Messages::GroupClaim const& claim)
{
    Messages::GroupClaimReply reply;
    reply.serviceId = claim.serviceId;
    reply.groups = claim.groups;
    auto* service = findService(claim.serviceId);
    std::vector<UpstreamIndex> used;
    for (auto index : claim.groups) {
        if (!service || index < 0 || static_cast<std::size_t>(index) >= service->view.state->groupCount())
            continue;
        auto& group = service->view.state->group(static_cast<std::size_t>(index));
        absl::MutexLock lock { &group.lock };
        if (group.role == GroupRole::Active || group.role == GroupRole::Frozen)
            reply.activeGroups.push_back(index);
        if (group.backupOf.isValid())
            reply.backupGroups.push_back(index);
        for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
            auto const& bucket = group.buckets[i];
            if (bucket.epoch == 0)
                continue;
            Messages::BucketEntry entry;
            entry.bucket = static_cast<std::int32_t>(static_cast<std::size_t>(index) * BucketGroup::BucketCount + i);
            entry.epoch = static_cast<std::int64_t>(bucket.epoch);
            entry.baseline = -1;
            if (bucket.baseline != NoUpstreamIndex) {
                auto position = std::ranges::find(used, bucket.baseline);
                entry.baseline = static_cast<std::int32_t>(position - used.begin());
                if (position == used.end()) {
                    used.push_back(bucket.baseline);
                    reply.upstreams.push_back(toReference(service->directory.entries()[bucket.baseline]));
                }
            }
            if (bucket.isTracked)
                entry.__set_tracked(true);
            if (bucket.isBaselineClosed)
                entry.__set_baselineClosed(true);
            reply.entries.push_back(entry);
        }
    }
    Messages::PlacementMessage message;
    message.__set_groupClaimReply(reply);
    m_outgoing.push_back({ sender, std::move(message) });
}

void Coordinator::receiveClaimReply(Core::VmId sender, Messages::GroupClaimReply const& reply)
{
    auto* service = findService(reply.serviceId);
    if (!service)
        return;
    auto indexes = intern(*service, reply.upstreams);
    auto& state = *service->view.state;
    auto now = m_clock.now();
    for (auto const& entry : reply.entries) {
        auto bucket = static_cast<std::size_t>(entry.bucket);
        if (entry.bucket < 0 || bucket >= state.bucketCount() || entry.baseline >= static_cast<int>(indexes.size()))
            continue;
        auto& group = state.groupOf(bucket);
        absl::MutexLock lock { &group.lock };
        if (group.role != GroupRole::Claiming)
            continue;
        GroupContext context { *service, bucket / BucketGroup::BucketCount, group, now };
        auto baseline = entry.baseline >= 0 ? indexes[static_cast<std::size_t>(entry.baseline)] : NoUpstreamIndex;
        applyEntry(context, ServiceState::bucketInGroup(bucket),
            { static_cast<std::uint32_t>(bucket), static_cast<Epoch>(entry.epoch), baseline,
                entry.__isset.tracked && entry.tracked, entry.__isset.baselineClosed && entry.baselineClosed },
            sender, true);
    }
    auto contains = [](std::vector<std::int32_t> const& groups, std::int32_t index) {
        return std::ranges::find(groups, index) != groups.end();
    };
    for (auto index : reply.groups) {
        if (index < 0 || static_cast<std::size_t>(index) >= state.groupCount())
            continue;
        auto& group = state.group(static_cast<std::size_t>(index));
        absl::MutexLock lock { &group.lock };
        if (group.role != GroupRole::Claiming)
            continue;
        if (!contains(reply.activeGroups, index) && contains(reply.backupGroups, index))
            group.claimBackup = sender;
        if (contains(reply.activeGroups, index))
            group.activePeer = sender;
        if (std::ranges::find(group.claimReplies, sender) == group.claimReplies.end())
            group.claimReplies.push_back(sender);
        group.needsWork = true;
    }
}

void Coordinator::receiveOrder(Core::VmId sender, Messages::GroupOrder const& order)
{
    auto* service = findService(order.serviceId);
    if (!service)
        return;
    auto& state = *service->view.state;
    bool isAccepted = true;
    for (auto index : order.groups) {
        if (index < 0 || static_cast<std::size_t>(index) >= state.groupCount())
            continue;
        auto& group = state.group(static_cast<std::size_t>(index));
        absl::MutexLock lock { &group.lock };
        GroupContext context { *service, static_cast<std::size_t>(index), group, m_clock.now() };
        bool isActive = group.role == GroupRole::Active;
        if (group.orderSender == sender && order.sequence <= group.orderSequence)
            continue;
        if (order.kind == Messages::GroupOrderKind::Activate && !isActive && group.backupOf != sender) {
            // The records were lost here in a pause; the sender must transfer them again.
            isAccepted = false;
            continue;
        }
        group.orderSender = sender;
        group.orderSequence = order.sequence;
        switch (order.kind) {
        case Messages::GroupOrderKind::BackupSynchronised:
            if (!isActive)
                group.backupOf = sender;
            break;
        case Messages::GroupOrderKind::BackupReleased:
            if (group.backupOf != sender)
                break;
            group.backupOf = {};
            if (group.role == GroupRole::None)
                discardRecords(context);
            break;
        case Messages::GroupOrderKind::Activate:
            if (!isActive)
                activate(context, false);
            group.conflictingOwner = {};
            group.conflictSeenAt.reset();
            reconcile(context);
            break;
        case Messages::GroupOrderKind::Grant:
            if (!isActive && group.backupOf.isValid()) {
                activate(context, false);
                reconcile(context);
            }
            break;
        }
    }
    if (isAccepted)
        m_acknowledgements[sender].push_back(order.sequence);
}

void Coordinator::receiveAcknowledgement(Core::VmId sender, std::int64_t sequence)
{
    auto pending = m_outbox.acknowledge(sender, sequence);
    if (!pending)
        return;
    auto position = m_services.find(pending->content.service);
    if (position == m_services.end())
        return;
    auto& service = position->second;
    auto& state = *service.view.state;
    auto const& message = pending->outgoing.message;
    for (auto const& item : pending->content.items) {
        bool isNotice = message.__isset.bucketNotice;
        auto index = isNotice ? item.index / BucketGroup::BucketCount : item.index;
        auto& group = state.group(index);
        absl::MutexLock lock { &group.lock };
        GroupContext context { service, index, group, m_clock.now() };
        group.needsWork = true;
        bool isCurrentPeer = sender == group.replicaPeer && item.generation == group.replicaGeneration;
        if (isNotice) {
            m_notices.acknowledge(sender, pending->content.service, item.index, item.value);
            auto bucketInGroup = ServiceState::bucketInGroup(item.index);
            auto const& proposal = group.buckets[bucketInGroup].proposal;
            bool isAccepted = proposal && proposal->epoch == item.value && sender == group.replicaPeer;
            if (isAccepted && group.role == GroupRole::Active)
                applyProposal(context, bucketInGroup);
        } else if (message.__isset.recordBatch) {
            auto record = group.records.find(item.value);
            bool isHeld = record != group.records.end() && !item.isRemoval && group.role == GroupRole::Active;
            if (isCurrentPeer && group.copiesInFlight > 0)
                --group.copiesInFlight;
            if (isHeld) {
                record->second.isConfirmed = true;
                record->second.isCopied = record->second.isCopied || isCurrentPeer;
            }
        } else if (message.groupOrder.kind == Messages::GroupOrderKind::BackupSynchronised) {
            group.isReplicaSynchronised = group.isReplicaSynchronised || isCurrentPeer;
        } else if (message.groupOrder.kind == Messages::GroupOrderKind::Activate) {
            if (group.role != GroupRole::Frozen || group.handoverTo != sender)
                continue;
            discardRecords(context);
            group.role = GroupRole::None;
            group.replicaPeer = {};
            reconcile(context);
        }
    }
}

}
