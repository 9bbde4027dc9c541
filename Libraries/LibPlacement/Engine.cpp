#include <LibPlacement/Engine.h>

#include <LibPlacement/Coordinator.h>
#include <LibPlacement/FlowPlacer.h>

namespace Chicorytally::Placement {

/// Maximum number of peer hops per packet.
static constexpr std::uint8_t MaximumHops = 2;

Engine::Engine(Core::Clock const& clock, EngineOptions options, EngineHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_shared { .tickRequested = m_hooks.tickRequested }
    , m_snapshots(std::make_unique<SnapshotHolder>())
    , m_placer(std::make_unique<FlowPlacer>(m_options, m_hooks, m_shared))
    , m_coordinator(std::make_unique<Coordinator>(m_clock, m_options, m_hooks, *m_snapshots, m_shared))
{
}

Engine::~Engine() = default;

Decision Engine::decide(PacketInfo const& packet)
{
    auto decision = decideUncounted(packet);
    m_counters.count(decision);
    return decision;
}

static Decision forwardToPeer(PacketInfo const& packet, Core::VmId self, Core::VmId peer, Reason reason)
{
    if (!peer.isValid() || peer == self || peer == packet.sender)
        return { .verdict = Verdict::Drop, .reason = Reason::NotSynchronised };
    if (packet.hopCount >= MaximumHops)
        return { .verdict = Verdict::Drop, .reason = Reason::HopLimit };
    return { .verdict = Verdict::ForwardToPeer, .reason = reason, .peer = peer };
}

/// A balancer that isn't the owner only decides packets whose result can't depend on states newer than its own.
static Decision decideAsNonOwner(PacketLookup const& lookup, BucketGroup const& group, Core::VmId self)
{
    auto const& packet = lookup.packet;
    if (group.role == GroupRole::Frozen) {
        auto record = group.records.find(lookup.flow);
        bool isHeld = record != group.records.end() && record->second.isConfirmed;
        if (isHeld && packet.kind == PacketKind::Data)
            return FlowPlacer::forward(lookup, record->second.upstream, Reason::Record);
        return forwardToPeer(packet, self, group.handoverTo, Reason::NotOwner);
    }
    auto const& bucket = group.buckets[ServiceState::bucketInGroup(lookup.bucket)];
    bool isBaselineCertain = bucket.isKnown && !bucket.isTracked && bucket.baseline < lookup.view.upstreams.size();
    if (isBaselineCertain && packet.hopCount == 0 && packet.kind == PacketKind::Data
        && lookup.view.upstreams[bucket.baseline].availability == UpstreamAvailability::ZoneOut)
        return FlowPlacer::forward(lookup, bucket.baseline, Reason::Steady);
    if (group.role == GroupRole::Claiming)
        return forwardToPeer(
            packet, self, group.activePeer.isValid() ? group.activePeer : group.backup, Reason::NotSynchronised);
    if (group.owner == self)
        return forwardToPeer(packet, self, group.backup, Reason::NotSynchronised);
    return forwardToPeer(packet, self, group.owner, Reason::NotOwner);
}

Decision Engine::decideUncounted(PacketInfo const& packet)
{
    auto const* snapshot = m_snapshots->current();
    auto const* view = snapshot->find(packet.service);
    if (!view)
        return { .verdict = Verdict::Drop, .reason = Reason::UnknownService };
    auto now = m_clock.now();
    if (m_coordinator->isPaused(now))
        return { .verdict = Verdict::Drop, .reason = Reason::NotSynchronised };

    auto hash = packet.flow.hash(m_options.hashKey);
    auto bucket = view->state->bucketOf(hash);
    PacketLookup lookup { packet, *snapshot, *view, bucket, hash.low, now };
    if (packet.kind == PacketKind::Data && packet.hopCount == 0) {
        auto baseline = view->state->steadyBaseline(bucket);
        if (baseline != NoUpstreamIndex)
            return FlowPlacer::forward(lookup, baseline, Reason::Steady);
    }
    auto& group = view->state->groupOf(bucket);
    absl::MutexLock lock { &group.lock };
    if (group.role == GroupRole::Active)
        return m_placer->decide(lookup, group);
    return decideAsNonOwner(lookup, group, m_options.self);
}

void Engine::applyConfiguration(std::shared_ptr<Model::Configuration const> configuration)
{
    m_coordinator->applyConfiguration(std::move(configuration));
}

void Engine::applyMembers(MemberView const& view) { m_coordinator->applyMembers(view); }

void Engine::receive(Core::VmId sender, Messages::PlacementMessage const& message)
{
    m_coordinator->receive(sender, message);
}

std::vector<OutgoingMessage> Engine::tick() { return m_coordinator->tick(); }

bool Engine::hasUrgentMessages() const { return m_shared.hasUrgentMessages.load(std::memory_order_relaxed); }

void Engine::prepareShutdown() { m_coordinator->prepareShutdown(); }

bool Engine::isDrained() const { return m_coordinator->isDrained(); }

bool Engine::isSynchronised() const { return m_coordinator->isSynchronised(); }

std::optional<Explanation> Engine::explain(Core::ServiceId service, Core::FlowKey const& flow)
{
    auto snapshot = m_snapshots->shared();
    auto const* view = snapshot->find(service);
    if (!view)
        return std::nullopt;
    auto idOf = [&](UpstreamIndex index) {
        return index < view->upstreams.size() ? view->upstreams[index].id : Core::UpstreamId {};
    };
    auto hash = flow.hash(m_options.hashKey);
    Explanation result;
    result.bucket = view->state->bucketOf(hash);
    PacketInfo packet { .flow = flow, .service = service };
    PacketLookup lookup { packet, *snapshot, *view, result.bucket, hash.low, m_clock.now() };
    auto& group = view->state->groupOf(result.bucket);
    absl::MutexLock lock { &group.lock };
    auto const& bucket = group.buckets[ServiceState::bucketInGroup(result.bucket)];
    result.epoch = bucket.epoch;
    result.isKnown = bucket.isKnown;
    result.isTracked = bucket.isTracked;
    result.baseline = idOf(bucket.baseline);
    result.target = idOf(bucket.target);
    result.owner = group.owner;
    result.backup = group.backup;
    result.isOwner = group.role == GroupRole::Active;
    auto record = group.records.find(hash.low);
    if (record != group.records.end())
        result.record = idOf(record->second.upstream);
    if (bucket.isSteady())
        result.decision = FlowPlacer::forward(lookup, bucket.baseline, Reason::Steady);
    else if (!result.isOwner)
        result.decision = decideAsNonOwner(lookup, group, m_options.self);
    else if (record != group.records.end())
        result.decision = FlowPlacer::forward(lookup, record->second.upstream, Reason::Record);
    else
        result.decision = FlowPlacer::forward(lookup, bucket.baseline, Reason::Baseline);
    return result;
}

EngineCounters Engine::counters() const
{
    EngineCounters result;
    m_counters.addTo(result);
    auto snapshot = m_snapshots->shared();
    for (auto const& [id, view] : snapshot->services) {
        result.buckets += view.state->bucketCount();
        for (std::size_t index = 0; index < view.state->groupCount(); ++index) {
            auto& group = view.state->group(index);
            absl::MutexLock lock { &group.lock };
            bool isOwner = group.role == GroupRole::Active || group.role == GroupRole::Frozen;
            for (auto const& bucket : group.buckets)
                result.trackedBuckets += bucket.isTracked ? 1 : 0;
            result.ownedBuckets += isOwner ? BucketGroup::BucketCount : 0;
            (isOwner ? result.records : result.copies) += group.records.size();
            for (auto const& [flow, record] : group.records)
                result.differingRecords += isOwner && group.differsFromBaseline(record) ? 1 : 0;
        }
    }
    return result;
}

}
