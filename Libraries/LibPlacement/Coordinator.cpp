#include <LibPlacement/Coordinator.h>

#include <LibPlacement/CoordinatorMessages.h>

#include <algorithm>

namespace Chicorytally::Placement {

static std::int64_t firstSequence(Core::Clock const& clock, EngineOptions const& options)
{
    if (options.incarnation.isValid())
        return static_cast<std::int64_t>(options.incarnation.value());
    return clock.now().time_since_epoch().count();
}

Coordinator::Coordinator(Core::Clock const& clock, EngineOptions const& options, EngineHooks const& hooks,
    SnapshotHolder& snapshots, SharedState& shared)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(hooks)
    , m_snapshots(snapshots)
    , m_shared(shared)
    , m_outbox(firstSequence(clock, options))
    , m_copyBudgetUpdatedAt(clock.now())
    , m_lastSweepAt(clock.now())
{
}

void Coordinator::applyConfiguration(std::shared_ptr<Model::Configuration const> configuration)
{
    absl::MutexLock lock { &m_lock };
    if (!configuration || (m_configuration && configuration->revision < m_configuration->revision))
        return;
    auto now = m_clock.now();
    m_configuration = std::move(configuration);
    std::erase_if(m_services, [&](auto const& entry) { return !m_configuration->findService(entry.first); });
    bool hasNewService = false;
    for (auto const& model : m_configuration->services) {
        auto& service = m_services[model.id];
        if (!service.view.state) {
            service.view.state = std::make_shared<ServiceState>(model.id, TargetTable::bucketCount(model));
            hasNewService = true;
        }
        service.view.service = &model;
        service.view.table = std::make_shared<TargetTable const>(*m_configuration, model);
        service.directory.update(*m_configuration, model, now);
    }
    // The packet path must see upstreams before it sees buckets that refer to them.
    publishSnapshot();
    forEachGroup(now, [&](GroupContext const& context) {
        m_lock.AssertHeld();
        refreshTargets(context);
    });
    reconcileAll(now);
    if (hasNewService)
        m_statesRequestedAt = {};
}

void Coordinator::applyMembers(MemberView const& view)
{
    absl::MutexLock lock { &m_lock };
    auto now = m_clock.now();
    m_restarted = m_peers.update(view, m_options.self, now);
    for (auto vm : m_restarted) {
        m_notices.reset(vm);
        m_outbox.removeReceiver(vm);
    }
    for (auto const& [vm, peer] : m_peers.peers()) {
        if (!m_peers.isReachable(vm))
            m_outbox.removeReceiver(vm);
    }
    reconcileAll(now);
    m_restarted.clear();
}

void Coordinator::prepareShutdown()
{
    absl::MutexLock lock { &m_lock };
    m_isLeaving = true;
    reconcileAll(m_clock.now());
}

bool Coordinator::isDrained() const
{
    absl::MutexLock lock { &m_lock };
    if (!m_isLeaving)
        return false;
    for (auto const& [id, service] : m_services) {
        auto& state = *service.view.state;
        for (std::size_t index = 0; index < state.groupCount(); ++index) {
            auto& group = state.group(index);
            absl::MutexLock groupLock { &group.lock };
            bool hasReceiver = group.owner.isValid() && group.owner != m_options.self;
            if (hasReceiver && (group.role == GroupRole::Active || group.role == GroupRole::Frozen))
                return false;
        }
    }
    return true;
}

bool Coordinator::isSynchronised() const
{
    absl::MutexLock lock { &m_lock };
    for (auto const& [id, service] : m_services) {
        auto& state = *service.view.state;
        for (std::size_t index = 0; index < state.groupCount(); ++index) {
            auto& group = state.group(index);
            absl::MutexLock groupLock { &group.lock };
            if (group.role == GroupRole::Claiming)
                return false;
            auto isKnown = [](BucketState const& bucket) { return bucket.isKnown; };
            if (group.role == GroupRole::None && !std::ranges::all_of(group.buckets, isKnown))
                return false;
        }
    }
    return m_configuration != nullptr;
}

bool Coordinator::isPaused(Core::TimePoint now) const
{
    auto last = m_lastTick.load(std::memory_order_relaxed);
    return last != 0 && now - Core::TimePoint { Core::TimePoint::duration { last } } > PauseLimit;
}

void Coordinator::publishSnapshot()
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->configuration = m_configuration;
    for (auto& [id, service] : m_services) {
        service.view.upstreams = service.directory.entries();
        snapshot->services.emplace(id, service.view);
    }
    m_snapshots.set(std::move(snapshot));
}

Coordinator::Service* Coordinator::findService(std::int64_t id)
{
    auto position = m_services.find(Core::ServiceId { static_cast<std::uint64_t>(id) });
    return position != m_services.end() ? &position->second : nullptr;
}

std::vector<UpstreamIndex> Coordinator::intern(
    Service& service, std::vector<Messages::UpstreamReference> const& references)
{
    auto count = service.directory.entries().size();
    bool hasNewAddress = false;
    std::vector<UpstreamIndex> result;
    for (auto const& reference : references) {
        auto index = service.directory.indexOf(Core::UpstreamId { static_cast<std::uint64_t>(reference.id) });
        bool wasUnknown = index == NoUpstreamIndex
            || service.directory.entries()[index].availability == UpstreamAvailability::Unknown;
        result.push_back(service.directory.intern(reference, *m_configuration));
        hasNewAddress = hasNewAddress || (wasUnknown && reference.__isset.address);
    }
    if (hasNewAddress || service.directory.entries().size() != count)
        publishSnapshot();
    return result;
}

void Coordinator::resynchroniseAfterPause(Core::TimePoint now)
{
    forEachGroup(now, [&](GroupContext const& context) {
        m_lock.AssertHeld();
        auto& group = context.group;
        group.needsWork = true;
        group.backupOf = {};
        for (std::size_t i = 0; i < BucketGroup::BucketCount; ++i) {
            group.buckets[i].isKnown = false;
            context.publish(i);
        }
        bool wasActive = group.role == GroupRole::Active;
        group.role = GroupRole::None;
        startClaim(context, wasActive);
    });
    m_statesRequestedAt = {};
}

std::vector<OutgoingMessage> Coordinator::tick()
{
    absl::MutexLock lock { &m_lock };
    auto now = m_clock.now();
    m_shared.hasUrgentMessages.store(false, std::memory_order_relaxed);
    bool isAlone = m_peers.view().members.size() <= 1;
    if (isPaused(now) && !isAlone) {
        resynchroniseAfterPause(now);
        reconcileAll(now);
    }
    m_lastTick.store(now.time_since_epoch().count(), std::memory_order_relaxed);

    auto seconds = std::chrono::duration<double>(now - m_copyBudgetUpdatedAt).count();
    m_copyBudget = std::min(CopiesPerSecond / 4, m_copyBudget + seconds * CopiesPerSecond);
    m_copyBudgetUpdatedAt = now;

    bool isSweepDue = now - m_lastSweepAt >= SweepInterval;
    if (isSweepDue)
        m_lastSweepAt = now;
    bool hasExpiredUpstream = false;
    for (auto& [id, service] : m_services) {
        if (isSweepDue)
            hasExpiredUpstream = service.directory.expire(now) || hasExpiredUpstream;
        DueMessages due;
        auto& state = *service.view.state;
        for (std::size_t index = 0; index < state.groupCount(); ++index) {
            auto& group = state.group(index);
            if (!isSweepDue && !group.needsWork)
                continue;
            absl::MutexLock groupLock { &group.lock };
            GroupContext context { service, index, group, now };
            if (isSweepDue)
                sweep(context);
            if (group.needsWork)
                processGroup(context, due);
        }
        sendDueMessages(service, due, now);
    }
    sendOrders(now);
    if (hasExpiredUpstream)
        publishSnapshot();
    requestStates(now);

    auto expiredReceivers = m_outbox.resend(now, m_outgoing);
    for (auto vm : expiredReceivers)
        m_notices.reset(vm);
    if (!expiredReceivers.empty())
        forEachGroup(now, [](GroupContext const& context) { context.group.needsWork = true; });
    for (auto const& [receiver, sequences] : m_acknowledgements) {
        for (std::size_t i = 0; i < sequences.size(); i += SequencesPerAcknowledgement) {
            auto end = std::min(sequences.size(), i + SequencesPerAcknowledgement);
            Messages::PlacementAcknowledgement content;
            content.sequences.assign(sequences.begin() + static_cast<std::ptrdiff_t>(i),
                sequences.begin() + static_cast<std::ptrdiff_t>(end));
            Messages::PlacementMessage message;
            message.__set_acknowledgement(content);
            m_outgoing.push_back({ receiver, std::move(message) });
        }
    }
    m_acknowledgements.clear();
    return std::exchange(m_outgoing, {});
}

}
