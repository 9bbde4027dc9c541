#include <LibPlacement/CoordinatorMessages.h>

#include <LibPlacement/Coordinator.h>

#include <algorithm>

namespace Chicorytally::Placement {

void Coordinator::processGroup(GroupContext const& context, DueMessages& due)
{
    auto& group = context.group;
    group.needsWork = false;
    if (group.role == GroupRole::Claiming) {
        group.needsWork = true;
        advanceClaim(context);
    }
    if (group.role == GroupRole::Claiming && context.now - group.claimSentAt >= ClaimInterval) {
        group.claimSentAt = context.now;
        for (auto const& [vm, peer] : m_peers.peers()) {
            bool hasReplied = std::ranges::find(group.claimReplies, vm) != group.claimReplies.end();
            if (m_peers.isReachable(vm) && !hasReplied)
                due.claims[vm].push_back(static_cast<std::uint32_t>(context.index));
        }
    }
    if (group.role == GroupRole::Frozen) {
        group.needsWork = true;
        if (context.now - group.frozenAt >= AcknowledgementTimeout) {
            // The receiver lost its copies or is unreachable; restart the handover.
            group.role = GroupRole::Active;
            group.replicaPeer = {};
            chooseReplicaPeer(context);
        }
    }
    if (group.role != GroupRole::Active)
        return;
    collectEntries(context, due);
    collectRecords(context, due);
    advanceReplication(context);
    bool isReplicated = !group.replicaPeer.isValid() || group.isReplicaSynchronised;
    if (!isReplicated || !group.pendingCopies.empty() || !group.pendingRemovals.empty())
        group.needsWork = true;
    if (group.owner != m_options.self && group.owner.isValid())
        group.needsWork = true;
}

void Coordinator::collectEntries(GroupContext const& context, DueMessages& due)
{
    auto& group = context.group;
    for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
        auto& bucket = group.buckets[i];
        auto index = context.bucketIndex(i);
        for (auto const& [vm, peer] : m_peers.peers()) {
            // An unreachable member receives all states when it is reachable again.
            if (!m_peers.isReachable(vm))
                continue;
            if (!m_notices.isSent(vm, context.id(), index, bucket.epoch)) {
                m_notices.markSent(vm, context.id(), index, bucket.epoch);
                due.entries[vm].push_back(
                    { index, bucket.epoch, bucket.baseline, bucket.isTracked, bucket.isBaselineClosed });
            }
            bool isProposalDue = bucket.proposal && vm == group.replicaPeer && group.isReplicaSynchronised;
            if (isProposalDue && !m_notices.isSent(vm, context.id(), index, bucket.proposal->epoch)) {
                m_notices.markSent(vm, context.id(), index, bucket.proposal->epoch);
                due.entries[vm].push_back(
                    { index, bucket.proposal->epoch, bucket.proposal->baseline, bucket.proposal->isTracked, false });
            }
        }
        if (bucket.isTracked)
            updatePermission(context, i);
        bool isUndecided = bucket.permission != OffBaselinePermission::Allowed || !bucket.acknowledgedAt;
        if (bucket.proposal || (bucket.isTracked && isUndecided))
            group.needsWork = true;
    }
}

void Coordinator::collectRecords(GroupContext const& context, DueMessages& due)
{
    auto& group = context.group;
    if (!group.replicaPeer.isValid()) {
        group.pendingCopies.clear();
        group.pendingRemovals.clear();
        return;
    }
    RecordTime now { context.now };
    // Newest first: new flows wait for their copies, whereas a backlog of older ones isn't urgent.
    while (!group.pendingCopies.empty() && m_copyBudget >= 1) {
        auto flow = group.pendingCopies.back();
        group.pendingCopies.pop_back();
        auto position = group.records.find(flow);
        if (position == group.records.end())
            continue;
        auto& record = position->second;
        record.isCopyQueued = false;
        m_copyBudget -= 1;
        ++group.copiesInFlight;
        due.records[group.replicaPeer].push_back({ context.bucketIndex(record.bucketInGroup), flow, record.upstream,
            record.opened.age(now), group.replicaGeneration, false });
    }
    // Removals only save memory. They wait for copies in flight so as not to overtake them.
    if (!group.pendingCopies.empty() || group.copiesInFlight > 0)
        return;
    while (!group.pendingRemovals.empty() && m_copyBudget >= 1) {
        auto removal = group.pendingRemovals.back();
        group.pendingRemovals.pop_back();
        if (group.records.contains(removal.flow))
            continue;
        m_copyBudget -= 1;
        ++group.copiesInFlight;
        due.records[group.replicaPeer].push_back({ context.bucketIndex(removal.bucketInGroup), removal.flow,
            NoUpstreamIndex, {}, group.replicaGeneration, true });
    }
}

void Coordinator::sendDueMessages(Service& service, DueMessages const& due, Core::TimePoint now)
{
    for (auto const& [vm, entries] : due.entries)
        sendEntries(service, vm, entries, false, now);
    for (auto const& [vm, records] : due.records)
        sendRecords(service, vm, records, now);
    for (auto const& [vm, groups] : due.claims) {
        for (std::size_t i = 0; i < groups.size(); i += GroupsPerClaim) {
            Messages::GroupClaim claim;
            claim.serviceId = static_cast<std::int64_t>(service.view.state->id().value());
            for (std::size_t j = i; j < std::min(groups.size(), i + GroupsPerClaim); ++j)
                claim.groups.push_back(static_cast<std::int32_t>(groups[j]));
            Messages::PlacementMessage message;
            message.__set_groupClaim(claim);
            m_outgoing.push_back({ vm, std::move(message) });
        }
    }
}

namespace {

    /// Assigns the upstreams of one message their indexes within the message.
    class ReferenceList {
    public:
        explicit ReferenceList(std::vector<IndexedUpstream> const& entries)
            : m_entries(entries)
        {
        }

        std::int32_t add(UpstreamIndex index)
        {
            if (index >= m_entries.size())
                return -1;
            auto position = std::ranges::find(m_used, index);
            if (position == m_used.end()) {
                m_used.push_back(index);
                references.push_back(toReference(m_entries[index]));
                return static_cast<std::int32_t>(m_used.size() - 1);
            }
            return static_cast<std::int32_t>(position - m_used.begin());
        }

        std::vector<Messages::UpstreamReference> references;

    private:
        std::vector<IndexedUpstream> const& m_entries;
        std::vector<UpstreamIndex> m_used;
    };

}

void Coordinator::sendEntries(
    Service& service, Core::VmId vm, std::span<BucketStateEntry const> entries, bool isCorrection, Core::TimePoint now)
{
    auto id = service.view.state->id();
    for (std::size_t i = 0; i < entries.size(); i += EntriesPerMessage) {
        auto part = entries.subspan(i, std::min(EntriesPerMessage, entries.size() - i));
        ReferenceList references { service.directory.entries() };
        Messages::BucketNotice notice;
        Outbox::Content content { id, {} };
        notice.serviceId = static_cast<std::int64_t>(id.value());
        notice.sequence = isCorrection ? 0 : m_outbox.nextSequence();
        if (isCorrection)
            notice.__set_correction(true);
        for (auto const& entry : part) {
            Messages::BucketEntry item;
            item.bucket = static_cast<std::int32_t>(entry.bucket);
            item.epoch = static_cast<std::int64_t>(entry.epoch);
            item.baseline = references.add(entry.baseline);
            if (entry.isTracked)
                item.__set_tracked(true);
            if (entry.isBaselineClosed)
                item.__set_baselineClosed(true);
            notice.entries.push_back(item);
            content.items.push_back({ entry.bucket, entry.epoch });
        }
        notice.upstreams = std::move(references.references);
        Messages::PlacementMessage message;
        message.__set_bucketNotice(notice);
        if (isCorrection)
            m_outgoing.push_back({ vm, std::move(message) });
        else
            m_outbox.add(notice.sequence, { vm, std::move(message) }, std::move(content), now, m_outgoing);
    }
}

void Coordinator::sendRecords(
    Service& service, Core::VmId vm, std::span<RecordUpdate const> records, Core::TimePoint now)
{
    auto id = service.view.state->id();
    for (std::size_t i = 0; i < records.size(); i += RecordsPerMessage) {
        auto part = records.subspan(i, std::min(RecordsPerMessage, records.size() - i));
        ReferenceList references { service.directory.entries() };
        Messages::RecordBatch batch;
        Outbox::Content content { id, {} };
        batch.serviceId = static_cast<std::int64_t>(id.value());
        batch.sequence = m_outbox.nextSequence();
        for (auto const& record : part) {
            Messages::FlowRecordCopy copy;
            copy.flow = static_cast<std::int64_t>(record.flow);
            copy.bucket = static_cast<std::int32_t>(record.bucket);
            copy.upstream = references.add(record.upstream);
            if (record.isRemoval)
                copy.__set_removed(true);
            else if (record.age >= std::chrono::seconds { 1 })
                copy.__set_ageMilliseconds(static_cast<std::int32_t>(record.age.count()));
            batch.records.push_back(copy);
            auto group = static_cast<std::uint32_t>(record.bucket / BucketGroup::BucketCount);
            content.items.push_back({ group, record.flow, record.generation, record.isRemoval });
        }
        batch.upstreams = std::move(references.references);
        Messages::PlacementMessage message;
        message.__set_recordBatch(batch);
        m_outbox.add(batch.sequence, { vm, std::move(message) }, std::move(content), now, m_outgoing);
    }
}

void Coordinator::queueOrder(GroupContext const& context, Core::VmId receiver, Messages::GroupOrderKind::type kind)
{
    m_dueOrders[{ context.id(), receiver, kind }].push_back(
        { static_cast<std::uint32_t>(context.index), 0, context.group.replicaGeneration });
}

void Coordinator::sendOrders(Core::TimePoint now)
{
    for (auto const& [key, items] : m_dueOrders) {
        for (std::size_t i = 0; i < items.size(); i += GroupsPerOrder) {
            std::span part { items.data() + i, std::min(GroupsPerOrder, items.size() - i) };
            Messages::GroupOrder order;
            order.serviceId = static_cast<std::int64_t>(key.service.value());
            order.sequence = m_outbox.nextSequence();
            order.kind = key.kind;
            for (auto const& item : part)
                order.groups.push_back(static_cast<std::int32_t>(item.index));
            Messages::PlacementMessage message;
            message.__set_groupOrder(order);
            m_outbox.add(order.sequence, { key.receiver, std::move(message) },
                { key.service, { part.begin(), part.end() } }, now, m_outgoing);
        }
    }
    m_dueOrders.clear();
}

void Coordinator::requestStates(Core::TimePoint now)
{
    if (now - m_statesRequestedAt < StateRequestInterval)
        return;
    std::vector<Core::VmId> owners;
    forEachGroup(now, [&](GroupContext const& context) {
        auto const& group = context.group;
        auto isKnown = [](BucketState const& bucket) { return bucket.isKnown; };
        if (group.role != GroupRole::None || std::ranges::all_of(group.buckets, isKnown))
            return;
        if (std::ranges::find(owners, group.owner) == owners.end())
            owners.push_back(group.owner);
    });
    m_statesRequestedAt = now;
    for (auto owner : owners) {
        Messages::PlacementMessage message;
        message.__set_bucketStateRequest({});
        m_outgoing.push_back({ owner, std::move(message) });
    }
}

}
