#include <LibPlacement/FlowPlacer.h>

namespace Chicorytally::Placement {

static Decision drop(Reason reason) { return { .verdict = Verdict::Drop, .reason = reason }; }

static Decision refuse(Reason reason) { return { .verdict = Verdict::Refuse, .reason = reason }; }

Decision FlowPlacer::forward(PacketLookup const& lookup, UpstreamIndex index, Reason reason)
{
    if (index >= lookup.view.upstreams.size())
        return drop(Reason::NotSynchronised);
    auto const& upstream = lookup.view.upstreams[index];
    // Refusing an open tells the caller that no upstream got it, which is unknown when the upstream is out; the open is
    // dropped instead.
    auto failureVerdict = lookup.packet.kind == PacketKind::Open ? Verdict::Drop : Verdict::Reset;
    switch (upstream.availability) {
    case UpstreamAvailability::Usable:
        break;
    case UpstreamAvailability::ZoneOut:
        return { .verdict = failureVerdict, .reason = Reason::AvailabilityZoneOut };
    case UpstreamAvailability::Gone:
        return { .verdict = failureVerdict, .reason = Reason::UpstreamGone };
    case UpstreamAvailability::Unknown:
        return drop(Reason::NotSynchronised);
    }
    return {
        .verdict = Verdict::Forward, .reason = reason, .upstream = upstream.id, .destination = upstream.destination
    };
}

Decision FlowPlacer::decide(PacketLookup const& lookup, BucketGroup& group)
{
    auto& bucket = group.buckets[ServiceState::bucketInGroup(lookup.bucket)];
    auto position = group.records.find(lookup.flow);
    if (position == group.records.end())
        return decideWithoutRecord(lookup, group, bucket);
    if (lookup.packet.kind == PacketKind::Open && position->second.isClosing) {
        // The caller reuses the port for a new flow.
        removeRecord(lookup, group, position->second);
        group.records.erase(position);
        return decideOpen(lookup, group, bucket);
    }
    return decideByRecord(lookup, group, position->second);
}

void FlowPlacer::removeRecord(PacketLookup const& lookup, BucketGroup& group, FlowRecord const& record)
{
    if (record.isCopied || record.isCopyQueued)
        group.pendingRemovals.push_back({ lookup.flow, record.bucketInGroup });
    m_shared.recordCount.fetch_sub(1, std::memory_order_relaxed);
}

Decision FlowPlacer::decideByRecord(PacketLookup const& lookup, BucketGroup&, FlowRecord& record)
{
    record.lastSeen = RecordTime { lookup.now };
    if (lookup.packet.kind == PacketKind::Open)
        return forward(lookup, record.upstream, Reason::Record);
    // The backup must have the record before packets depend on it.
    if (!record.isConfirmed)
        return drop(Reason::AwaitingAcknowledgement);
    if (lookup.packet.kind == PacketKind::Close && !record.isClosing) {
        record.isClosing = true;
        bool isInSnapshot = record.upstream < lookup.view.upstreams.size();
        if (record.isCounted && isInSnapshot && m_hooks.flowClosed)
            m_hooks.flowClosed(lookup.packet.service, lookup.view.upstreams[record.upstream].id);
        record.isCounted = false;
    }
    return forward(lookup, record.upstream, Reason::Record);
}

Decision FlowPlacer::decideWithoutRecord(PacketLookup const& lookup, BucketGroup& group, BucketState& bucket)
{
    if (lookup.packet.kind == PacketKind::Open)
        return decideOpen(lookup, group, bucket);
    bool isUdp = lookup.view.service->protocol == Core::Protocol::Udp;
    if (isUdp && bucket.isTracked && !lookup.packet.isKnownToSender) {
        // UDP has no opening packet, so a flow that was idle during the settling time can't be distinguished from a new
        // one.
        bool isSettled = bucket.acknowledgedAt && lookup.now - *bucket.acknowledgedAt >= UdpSettlingTime;
        if (isSettled)
            return decideOpen(lookup, group, bucket);
    }
    if (bucket.baseline == NoUpstreamIndex)
        return drop(Reason::NoUpstream);
    auto decision = forward(lookup, bucket.baseline, Reason::Baseline);
    bool isHeldAtBaseline = decision.verdict == Verdict::Forward && lookup.packet.kind == PacketKind::Data;
    if (bucket.isTracked && isHeldAtBaseline) {
        // The baseline may change once every live flow has a record. A flow that can't get one delays the change.
        if (auto* record = addRecord(lookup, group, bucket.baseline))
            record->isConfirmed = true;
        else
            bucket.acknowledgedAt.reset();
    }
    return decision;
}

FlowRecord* FlowPlacer::addRecord(PacketLookup const& lookup, BucketGroup& group, UpstreamIndex upstream)
{
    if (m_shared.recordCount.load(std::memory_order_relaxed) >= m_options.maximumRecords)
        return nullptr;
    m_shared.recordCount.fetch_add(1, std::memory_order_relaxed);
    auto& record = group.records[lookup.flow];
    record = FlowRecord {};
    record.upstream = upstream;
    record.bucketInGroup = static_cast<std::uint8_t>(ServiceState::bucketInGroup(lookup.bucket));
    record.lastSeen = record.opened = RecordTime { lookup.now };
    return &record;
}

Decision FlowPlacer::decideOpen(PacketLookup const& lookup, BucketGroup& group, BucketState& bucket)
{
    auto const& upstreams = lookup.view.upstreams;
    bool isClosedBeyondWindow = bucket.isBaselineClosed && lookup.now - bucket.closedAt >= RetransmissionWindow;
    bool mayBeRetransmission
        = !group.isFirstActivation && lookup.now - group.activeSince < RetransmissionWindow && !isClosedBeyondWindow;
    bool hasNoSelectHook = !m_hooks.select;

    UpstreamIndex chosen = bucket.target;
    // The snapshot of this thread may be older than the bucket's state and lack the upstream.
    bool isBaselineOpen = bucket.baseline < upstreams.size() && upstreams[bucket.baseline].takesNewFlows;
    if (mayBeRetransmission && !isBaselineOpen)
        return drop(Reason::AwaitingAcknowledgement);
    if (hasNoSelectHook) {
        if (mayBeRetransmission)
            chosen = bucket.baseline;
    } else {
        auto candidates = lookup.view.table->preferences(lookup.bucket);
        if (mayBeRetransmission)
            candidates = { lookup.view.service->findUpstream(upstreams[bucket.baseline].id) };
        auto selection = m_hooks.select({ *lookup.view.service, candidates });
        if (!selection.index || *selection.index >= candidates.size())
            return mayBeRetransmission ? drop(selection.refusal) : refuse(selection.refusal);
        chosen = NoUpstreamIndex;
        auto selectedId = candidates[*selection.index]->id;
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            if (upstreams[i].id == selectedId)
                chosen = static_cast<UpstreamIndex>(i);
        }
    }
    if (chosen == NoUpstreamIndex)
        return refuse(Reason::NoUpstream);
    return placeFlow(lookup, group, bucket, chosen);
}

Decision FlowPlacer::placeFlow(
    PacketLookup const& lookup, BucketGroup& group, BucketState& bucket, UpstreamIndex chosen)
{
    if (bucket.proposal && chosen != bucket.proposal->baseline)
        return drop(Reason::AwaitingAcknowledgement);
    if (chosen != bucket.baseline) {
        if (!bucket.isTracked) {
            bucket.track(nextEpoch(bucket.epoch, m_options.self), lookup.now);
            lookup.view.state->publish(lookup.bucket);
            group.needsWork = true;
            m_shared.requestTick();
        }
        if (bucket.permission == OffBaselinePermission::Waiting)
            return drop(Reason::AwaitingAcknowledgement);
        if (bucket.permission == OffBaselinePermission::Refused) {
            // The other side of the partition may have forwarded the open before it received the change.
            bool isCertain = lookup.now - bucket.trackedAt >= RefusalDelay;
            return isCertain ? refuse(Reason::Partitioned) : drop(Reason::Partitioned);
        }
    }
    auto decision = forward(lookup, chosen, Reason::NewFlow);
    if (decision.verdict != Verdict::Forward)
        return decision;
    auto* record = addRecord(lookup, group, chosen);
    if (!record)
        return drop(Reason::Overloaded);
    record->isCounted = true;
    // A flow at the baseline needs no copy of its record, unless a proposal is about to change the baseline.
    if (chosen == bucket.baseline && !bucket.proposal) {
        record->isConfirmed = true;
    } else {
        group.queueCopy(lookup.flow, *record);
        group.needsWork = true;
        m_shared.requestTick();
    }
    if (m_hooks.flowOpened)
        m_hooks.flowOpened(lookup.packet.service, lookup.view.upstreams[chosen].id);
    return decision;
}

}
