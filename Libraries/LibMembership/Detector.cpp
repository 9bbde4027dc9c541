#include <LibMembership/Detector.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Chicorytally::Membership {

using namespace std::chrono_literals;

/// Number of members that are asked to probe on behalf of this process (k in SWIM).
static constexpr std::size_t IndirectProbeCount = 3;
/// Keeps a message below 500 bytes.
static constexpr std::size_t MaximumUpdatesPerMessage = 5;
/// Keeps a SyncReply below 1,000 bytes.
static constexpr std::size_t SyncPageSize = 11;
static constexpr std::size_t CrossZoneProbersPerZone = 2;
static constexpr std::chrono::milliseconds ReconnectInterval { 1000 };
static constexpr std::chrono::milliseconds SeedPingInterval { 10'000 };
/// During this time after the start, seeds are pinged at the shorter ReconnectInterval. Otherwise processes that start
/// together and first reach different seeds could remain in separate groups.
static constexpr std::chrono::milliseconds StartupPeriod { 10'000 };
/// Bounds the extra probes per interval when a whole availability zone fails.
static constexpr std::size_t MaximumSuspectProbes { 3 };
/// Minimum time between two notifications of changed members, and between two rebuilds of the member lists.
static constexpr std::chrono::milliseconds RebuildInterval { 50 };
static constexpr std::chrono::milliseconds ExpiryInterval { 10'000 };
/// Approximate time until an update has reached all members; only views that differ for longer are synchronised.
static constexpr std::chrono::milliseconds ViewConvergenceTime { 2000 };
static constexpr std::chrono::milliseconds SyncSessionInterval { 5000 };
static constexpr std::chrono::milliseconds SyncPageInterval { 1000 };
static constexpr int MaximumSyncPageAttempts { 3 };
/// How often an update is sent that most members already have.
static constexpr unsigned WidelyKnownUpdateSends { 2 };
/// Time without any received message after which a process that reaches no member serves alone.
static constexpr std::chrono::milliseconds IsolationTimeout { 3000 };
/// A change of this process itself is pushed to PushFanout members in each of PushRounds rounds.
static constexpr int PushRounds { 3 };
static constexpr std::chrono::milliseconds PushInterval { 100 };
/// Bounds the extra probes when two parts of a partition merge.
static constexpr std::chrono::milliseconds DisputedProbeInterval { 100 };
static constexpr std::size_t PushFanout { 3 };

static Messages::MembershipMessage toMessage(Messages::Ping const& ping)
{
    Messages::MembershipMessage message;
    message.__set_ping(ping);
    return message;
}

static Messages::MembershipMessage toMessage(Messages::Ack const& acknowledgement)
{
    Messages::MembershipMessage message;
    message.__set_ack(acknowledgement);
    return message;
}

static std::int64_t toWire(std::uint64_t value) { return static_cast<std::int64_t>(value); }
static std::uint64_t fromWire(std::int64_t value) { return static_cast<std::uint64_t>(value); }

Detector::Detector(Core::Clock const& clock, Options options)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_random(m_options.randomSeed)
    , m_incarnation(m_options.incarnation)
    , m_zoneOrder(m_random())
    , m_crossZoneOrder(m_random())
    // A random start value distinguishes acks to an earlier process on the VM.
    , m_sequence(static_cast<std::int64_t>(m_random() >> 32))
    , m_startedAt(clock.now())
    , m_unconfirmedSince(clock.now())
    , m_confirmationSequenceThreshold(m_sequence)
{
    // A random delay spreads the probes of processes that start together.
    m_nextProbe = now() + m_options.probeInterval * randomBelow(100) / 100;
    m_nextReconnect = now();
    m_nextSeedPing = now();
    m_nextExpiry = now() + ExpiryInterval;
    m_nextSyncSession = now();
    if (m_options.seeds.empty())
        m_isConfirmed = true;
    queueSelfUpdate();
}

std::size_t Detector::randomBelow(std::size_t bound) { return bound == 0 ? 0 : m_random() % bound; }

std::chrono::nanoseconds Detector::suspicionTimeout() const
{
    // A refutation needs a number of probe intervals that grows with the logarithm of the number of members.
    auto rounds = std::bit_width(m_reachable.size() + 1);
    return std::max<std::chrono::nanoseconds>(m_options.minimumSuspicionTimeout, m_options.probeInterval * rounds);
}

unsigned Detector::sendLimit() const
{
    return 4 * static_cast<unsigned>(std::ceil(std::log10(static_cast<double>(m_reachable.size() + 2))));
}

void Detector::queueUpdate(Core::VmId vm)
{
    m_updates.add(vm);
    m_areMemberListsStale = true;
    m_haveMembersChanged = true;
}

void Detector::queueSelfUpdate()
{
    m_updates.add(m_options.self);
    m_haveMembersChanged = true;
    m_pushesLeft = PushRounds;
}

Messages::MemberUpdate Detector::selfUpdate() const
{
    MemberEntry entry;
    entry.vm = m_options.self;
    entry.endpoint = m_options.endpoint;
    entry.dataPort = m_options.dataPort;
    entry.zone = m_options.zone;
    entry.incarnation = m_incarnation;
    entry.refutation = m_refutation;
    entry.incarnationState = m_isLeaving ? IncarnationState::Leaving : IncarnationState::Alive;
    return toUpdate(entry);
}

std::uint32_t Detector::selfDigest() const { return MemberTable::digestOf(m_options.self, m_incarnation, m_isLeaving); }

std::int64_t Detector::viewDigest() const
{
    auto groups = m_table.groupDigests();
    groups[MemberTable::groupOf(m_options.self)] ^= selfDigest();
    std::uint64_t digest = 0;
    for (auto group : groups)
        digest = Core::hashPair(digest, group);
    // Half of the hash is enough to detect a difference and saves bytes in each message.
    return toWire(digest >> 32);
}

void Detector::receive(Core::VmId sender, Core::Incarnation incarnation, Messages::MembershipMessage const& message,
    Core::Endpoint const& from)
{
    if (sender == m_options.self || !sender.isValid())
        return;
    m_lastReceivedAt = now();
    if (message.__isset.ping)
        receivePing(sender, incarnation, message.ping, from);
    else if (message.__isset.ack)
        receiveAck(sender, incarnation, message.ack, from);
    else if (message.__isset.pingRequest)
        receivePingRequest(sender, message.pingRequest, from);
    else if (message.__isset.syncRequest)
        receiveSyncRequest(sender, message.syncRequest, from);
    else if (message.__isset.syncReply)
        receiveSyncReply(sender, message.syncReply);
}

void Detector::mergeUpdates(std::vector<Messages::MemberUpdate> const& updates, bool areWidelyKnown)
{
    for (auto const& update : updates) {
        Core::VmId vm { fromWire(update.vm) };
        if (vm == m_options.self) {
            mergeUpdateAboutSelf(update);
            continue;
        }
        auto outcome = m_table.merge(update, now());
        if (outcome == MergeOutcome::AlreadyKnown)
            m_updates.recordReceipt(vm);
        if (outcome == MergeOutcome::AlreadyKnown || outcome == MergeOutcome::Ignored)
            continue;
        m_areMemberListsStale = true;
        m_haveMembersChanged = true;
        if (areWidelyKnown)
            m_updates.addIfAbsent(vm, sendLimit() - WidelyKnownUpdateSends);
        else
            m_updates.add(vm);
        if (outcome == MergeOutcome::Disputed)
            m_disputed.push_back(vm);
        if (m_table.find(vm)->suspectSince)
            m_suspects.insert(vm);
    }
}

void Detector::mergeUpdateAboutSelf(Messages::MemberUpdate const& update)
{
    auto incarnation = fromWire(update.incarnation);
    if (incarnation < m_incarnation.value())
        return;
    bool isCurrentIncarnation = incarnation == m_incarnation.value();
    auto refutation = update.__isset.refutation ? static_cast<std::uint32_t>(update.refutation) : 0;
    bool endsIncarnation = update.state == Messages::MemberState::Dead
        || (update.state == Messages::MemberState::Leaving && !m_isLeaving);
    if (!isCurrentIncarnation || endsIncarnation) {
        // Either an earlier process on this VM had a greater incarnation, or this process was declared dead.
        adoptIncarnationAbove(incarnation);
        return;
    }
    if (update.state == Messages::MemberState::Suspect && !m_isLeaving && refutation >= m_refutation) {
        m_refutation = refutation + 1;
        queueSelfUpdate();
    }
}

bool Detector::isOutdatedAboutSelf(Messages::MemberUpdate const& update) const
{
    if (Core::VmId { fromWire(update.vm) } != m_options.self)
        return false;
    auto refutation = update.__isset.refutation ? static_cast<std::uint32_t>(update.refutation) : 0;
    return fromWire(update.incarnation) != m_incarnation.value() || refutation != m_refutation;
}

void Detector::adoptIncarnationAbove(std::uint64_t superseded)
{
    m_incarnation = Core::Incarnation { superseded + 1 };
    m_refutation = 0;
    m_newIncarnation = m_incarnation;
    // If a member confirmed the old incarnation recently, a partition has healed and this process kept serving in its
    // own part, so it stays confirmed. Otherwise it was cut off and must be confirmed again.
    bool hasKeptServing = m_isConfirmed && m_confirmedAt && now() - *m_confirmedAt < m_options.pauseLimit;
    if (!hasKeptServing) {
        m_isConfirmed = false;
        m_unconfirmedSince = now();
        m_confirmationSequenceThreshold = m_sequence;
    }
    queueSelfUpdate();
}

void Detector::recordContact(Core::VmId sender, Core::Revision revision)
{
    m_table.clearLeavingSuspicion(sender);
    if (m_table.recordRevision(sender, revision))
        m_haveMembersChanged = true;
}

void Detector::compareView(Core::VmId sender, Core::Endpoint const& from, std::int64_t digest)
{
    if (digest == viewDigest()) {
        m_viewDiffersSince = std::nullopt;
        return;
    }
    if (!m_viewDiffersSince)
        m_viewDiffersSince = now();
    if (m_syncSession || now() < m_nextSyncSession || now() - *m_viewDiffersSince < ViewConvergenceTime)
        return;
    m_syncSession = SyncSession { .peer = sender, .endpoint = from, .nextRequest = now() };
}

void Detector::receivePing(
    Core::VmId sender, Core::Incarnation incarnation, Messages::Ping const& ping, Core::Endpoint const& from)
{
    mergeUpdates(ping.updates);
    // A sender with outdated information about this process must get the refutation with this ack, however many other
    // updates are queued.
    if (std::any_of(ping.updates.begin(), ping.updates.end(),
            [this](auto const& update) { return isOutdatedAboutSelf(update); }))
        m_membersNeedingSelfUpdate.insert(sender);
    auto const* entry = m_table.find(sender);
    bool isKnown = entry && entry->incarnation >= incarnation;
    if (isKnown && ping.__isset.revision)
        recordContact(sender, Core::Revision { fromWire(ping.revision) });
    if (isKnown && ping.__isset.viewDigest)
        compareView(sender, from, ping.viewDigest);

    Messages::Ack acknowledgement;
    acknowledgement.sequence = ping.sequence;
    acknowledgement.__set_revision(toWire(m_revision.value()));
    acknowledgement.__set_viewDigest(viewDigest());
    if (entry && entry->isReachable())
        acknowledgement.__set_confirmedIncarnation(toWire(entry->incarnation.value()));
    if (!isKnown)
        acknowledgement.__set_isReceiverUnknown(true);
    auto updates = updatesFor(sender, sender);
    if (!updates.empty())
        acknowledgement.__set_updates(updates);
    send(sender, from, toMessage(acknowledgement));
}

bool Detector::forwardAck(Core::VmId target, std::int64_t sequence)
{
    auto found = m_indirectProbes.find(sequence);
    if (found == m_indirectProbes.end())
        return false;
    auto indirectProbe = found->second;
    m_indirectProbes.erase(found);
    Messages::Ack acknowledgement;
    acknowledgement.sequence = indirectProbe.requesterSequence;
    acknowledgement.__set_onBehalfOf(toWire(target.value()));
    // Includes the update about the target, because it may refute the requester's suspicion.
    auto updates = updatesFor(indirectProbe.requester, target);
    if (auto const* entry = m_table.find(target); entry && entry->incarnationState == IncarnationState::Alive)
        updates.insert(updates.begin(), toUpdate(*entry));
    acknowledgement.__set_updates(updates);
    send(indirectProbe.requester, indirectProbe.requesterEndpoint, toMessage(acknowledgement));
    return true;
}

void Detector::receiveAck(
    Core::VmId sender, Core::Incarnation incarnation, Messages::Ack const& acknowledgement, Core::Endpoint const& from)
{
    mergeUpdates(acknowledgement.updates);
    auto const* entry = m_table.find(sender);
    bool isKnown = entry && entry->incarnation >= incarnation;
    if (isKnown && acknowledgement.__isset.revision)
        recordContact(sender, Core::Revision { fromWire(acknowledgement.revision) });
    if (isKnown && acknowledgement.__isset.viewDigest)
        compareView(sender, from, acknowledgement.viewDigest);
    if (acknowledgement.__isset.isReceiverUnknown && acknowledgement.isReceiverUnknown) {
        m_membersNeedingSelfUpdate.insert(sender);
        sendPing(sender, from);
    }
    bool confirmsIncarnation = acknowledgement.__isset.confirmedIncarnation
        && fromWire(acknowledgement.confirmedIncarnation) == m_incarnation.value()
        && acknowledgement.sequence > m_confirmationSequenceThreshold;
    if (confirmsIncarnation) {
        m_isConfirmed = true;
        m_confirmedAt = now();
        m_membersNeedingSelfUpdate.erase(sender);
    }
    if (forwardAck(sender, acknowledgement.sequence))
        return;
    if (auto probe = m_probes.find(acknowledgement.sequence); probe != m_probes.end()) {
        m_table.clearLeavingSuspicion(probe->second.target);
        m_probes.erase(probe);
    }
    if (!m_hasJoined && !m_syncSession && !acknowledgement.__isset.onBehalfOf)
        m_syncSession = SyncSession { .peer = sender, .endpoint = from, .isFullSync = true, .nextRequest = now() };
}

void Detector::receivePingRequest(Core::VmId sender, Messages::PingRequest const& request, Core::Endpoint const& from)
{
    // Bounds the memory that a flood of requests can use; the requester also asks other members.
    static constexpr std::size_t MaximumIndirectProbes = 1000;
    mergeUpdates(request.updates);
    auto const* target = m_table.find(Core::VmId { fromWire(request.target) });
    if (!target || m_indirectProbes.size() >= MaximumIndirectProbes)
        return;
    sendPing(++m_sequence, target->vm, target->endpoint, sender);
    m_indirectProbes[m_sequence] = { sender, from, request.sequence, now() };
}

void Detector::receiveSyncRequest(Core::VmId sender, Messages::SyncRequest const& request, Core::Endpoint const& from)
{
    auto groups = m_table.groupDigests();
    groups[MemberTable::groupOf(m_options.self)] ^= selfDigest();
    auto differs = [&](Core::VmId vm) {
        if (!request.__isset.groupDigests || request.groupDigests.size() != sizeof(groups))
            return true;
        auto group = MemberTable::groupOf(vm);
        std::uint32_t other = 0;
        for (std::size_t i = 0; i < sizeof(other); ++i)
            other |= std::uint32_t { static_cast<std::uint8_t>(request.groupDigests[group * sizeof(other) + i]) }
                << (8 * i);
        return other != groups[group];
    };

    Messages::SyncReply reply;
    Core::VmId after { fromWire(request.afterVm) };
    if (!after.isValid())
        reply.updates.push_back(selfUpdate());
    auto const& entries = m_table.entries();
    auto entry = entries.upper_bound(after);
    for (; entry != entries.end() && reply.updates.size() < SyncPageSize; ++entry) {
        if (differs(entry->first))
            reply.updates.push_back(toUpdate(entry->second));
    }
    if (entry != entries.end())
        reply.__set_nextAfterVm(toWire(std::prev(entry)->first.value()));
    Messages::MembershipMessage message;
    message.__set_syncReply(reply);
    send(sender, from, std::move(message));
}

void Detector::receiveSyncReply(Core::VmId sender, Messages::SyncReply const& reply)
{
    bool isExpected = m_syncSession && m_syncSession->peer == sender;
    // Most other members already have the updates that a new process gets from the full list.
    mergeUpdates(reply.updates, isExpected && m_syncSession->isFullSync);
    if (!isExpected)
        return;
    if (!reply.__isset.nextAfterVm) {
        m_hasJoined = true;
        m_nextSyncSession = now() + SyncSessionInterval;
        m_viewDiffersSince = std::nullopt;
        m_syncSession = std::nullopt;
        return;
    }
    m_syncSession->cursor = reply.nextAfterVm;
    m_syncSession->attempts = 0;
    m_syncSession->nextRequest = m_syncSession->isFullSync ? now() : now() + SyncPageInterval;
}

std::vector<Messages::MemberUpdate> Detector::updatesFor(Core::VmId receiver, Core::VmId subject)
{
    std::vector<Messages::MemberUpdate> updates;
    // A member that is suspected or declared dead is told so first, so that it can refute.
    auto const* entry = m_table.find(subject);
    if (entry && (entry->incarnationState != IncarnationState::Alive || entry->deathReport != DeathReport::None)) {
        updates.push_back(toUpdate(*entry));
        if (entry->deathReport != DeathReport::None)
            updates.back().state = Messages::MemberState::Dead;
    }
    bool isSelfIncluded = !m_isConfirmed || m_membersNeedingSelfUpdate.contains(receiver);
    if (isSelfIncluded)
        updates.push_back(selfUpdate());
    for (auto vm : m_updates.take(MaximumUpdatesPerMessage - updates.size(), sendLimit())) {
        if (vm == m_options.self) {
            if (!isSelfIncluded)
                updates.push_back(selfUpdate());
        } else if (auto const* queued = m_table.find(vm); queued && vm != subject) {
            updates.push_back(toUpdate(*queued));
        }
    }
    return updates;
}

void Detector::send(Core::VmId receiver, Core::Endpoint const& endpoint, Messages::MembershipMessage message)
{
    m_outgoing.push_back({ endpoint, receiver, std::move(message) });
}

void Detector::sendPing(
    std::int64_t sequence, Core::VmId receiver, Core::Endpoint const& endpoint, std::optional<Core::VmId> onBehalfOf)
{
    Messages::Ping ping;
    ping.sequence = sequence;
    ping.__set_revision(toWire(m_revision.value()));
    ping.__set_viewDigest(viewDigest());
    if (onBehalfOf)
        ping.__set_onBehalfOf(toWire(onBehalfOf->value()));
    auto updates = updatesFor(receiver, receiver);
    if (!updates.empty())
        ping.__set_updates(updates);
    send(receiver, endpoint, toMessage(ping));
}

std::int64_t Detector::sendPing(Core::VmId receiver, Core::Endpoint const& endpoint)
{
    sendPing(++m_sequence, receiver, endpoint, std::nullopt);
    return m_sequence;
}

std::vector<OutgoingMessage> Detector::tick()
{
    // A rebuild takes time linear in the number of members, so consecutive changes share one.
    if (m_areMemberListsStale && (m_reachable.empty() || now() >= m_nextRebuild))
        rebuildMemberLists();
    if (m_lastTick && now() - *m_lastTick > m_options.pauseLimit)
        resumeAfterPause();
    m_lastTick = now();
    expireProbes();
    startProbes();
    expireSuspicions();
    probeDisputed();
    reconnect();
    pushSelfUpdate();
    continueSync();
    confirmWhenIsolated();
    removeExpiredMembers();
    return std::exchange(m_outgoing, {});
}

void Detector::resumeAfterPause()
{
    // Acks that were due during the pause may have been lost, so pending probes say nothing about their targets.
    m_probes.clear();
    m_indirectProbes.clear();
    m_outgoing.clear();
    m_table.restartSuspicions(now());
    m_isConfirmed = m_options.seeds.empty() && m_table.entries().empty();
    m_unconfirmedSince = now();
    m_confirmationSequenceThreshold = m_sequence;
    m_confirmedAt = std::nullopt;
    m_nextProbe = now();
    m_pushesLeft = PushRounds;
}

void Detector::rebuildMemberLists()
{
    m_areMemberListsStale = false;
    m_nextRebuild = now() + RebuildInterval;
    m_reachable.clear();
    m_reachableInZone.clear();
    m_unreachable.clear();
    absl::flat_hash_map<Core::ZoneId, std::vector<Core::VmId>> otherZones;
    for (auto const& [vm, entry] : m_table.entries()) {
        if (!entry.isReachable()) {
            if (!entry.isConfirmedDead)
                m_unreachable.push_back(vm);
            continue;
        }
        m_reachable.push_back(vm);
        if (entry.zone == m_options.zone)
            m_reachableInZone.push_back(vm);
        else
            otherZones[entry.zone].push_back(vm);
    }
    m_zoneOrder.assign(m_reachableInZone);
    m_crossZoneOrder.assign(crossZoneTargets(otherZones));
}

std::vector<Core::VmId> Detector::crossZoneTargets(
    absl::flat_hash_map<Core::ZoneId, std::vector<Core::VmId>> const& otherZones) const
{
    std::vector<Core::VmId> targets;
    for (auto const& [zone, members] : otherZones) {
        auto key = Core::hashPair(m_options.zone.value(), zone.value());
        auto ownScore = Core::hashPair(key, m_options.self.value());
        auto higherScores = std::count_if(m_reachableInZone.begin(), m_reachableInZone.end(),
            [&](Core::VmId vm) { return Core::hashPair(key, vm.value()) > ownScore; });
        if (static_cast<std::size_t>(higherScores) < CrossZoneProbersPerZone)
            targets.insert(targets.end(), members.begin(), members.end());
    }
    return targets;
}

void Detector::startProbes()
{
    if (now() < m_nextProbe)
        return;
    m_nextProbe = std::max(m_nextProbe + m_options.probeInterval, now());
    if (auto target = m_zoneOrder.next())
        probe(*target);
    if (auto target = m_crossZoneOrder.next())
        probe(*target);
    probeSuspects();
}

void Detector::probe(Core::VmId vm)
{
    auto const* entry = m_table.find(vm);
    if (!entry || !entry->isReachable())
        return;
    auto sequence = sendPing(vm, entry->endpoint);
    m_probes[sequence] = { vm, now() };
}

void Detector::probeSuspects()
{
    std::vector<MemberEntry const*> candidates;
    for (auto vm : m_suspects) {
        auto const* entry = m_table.find(vm);
        if (!entry || !entry->suspectSince)
            continue;
        // A suspicion that only other members reported is verified before its timeout expires.
        bool isHalfElapsed = now() - *entry->suspectSince >= suspicionTimeout() / 2;
        if (entry->isLocallySuspected || isHalfElapsed)
            candidates.push_back(entry);
    }
    // Many suspects at once indicate a lost zone or a partition, where indirect probes would only multiply the
    // messages.
    auto stage = candidates.size() > MaximumSuspectProbes ? ProbeStage::Indirect : ProbeStage::Direct;
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    candidates.resize(std::min(candidates.size(), MaximumSuspectProbes));
    for (auto const* entry : candidates) {
        auto sequence = sendPing(entry->vm, entry->endpoint);
        m_probes[sequence] = { entry->vm, now(), stage };
    }
}

std::vector<Core::VmId> Detector::pickIndirectProbers(Core::VmId target)
{
    std::vector<Core::VmId> probers;
    // Random picks suffice in a large fleet; in a small one, all members are tried from a random start.
    auto start = randomBelow(m_reachable.size());
    for (std::size_t i = 0; i < m_reachable.size() && probers.size() < IndirectProbeCount; ++i) {
        auto index = m_reachable.size() > 4 * IndirectProbeCount ? randomBelow(m_reachable.size())
                                                                 : (start + i) % m_reachable.size();
        auto vm = m_reachable[index];
        bool isChosen = std::find(probers.begin(), probers.end(), vm) != probers.end();
        if (vm != target && !isChosen)
            probers.push_back(vm);
    }
    return probers;
}

void Detector::repeatProbe(std::int64_t sequence, Probe& probe)
{
    // Repeating the ping costs little and makes it much less likely that packet loss alone causes a suspicion.
    probe.stage = ProbeStage::Repeated;
    if (auto const* entry = m_table.find(probe.target))
        sendPing(sequence, entry->vm, entry->endpoint, std::nullopt);
}

void Detector::requestIndirectProbes(std::int64_t sequence, Probe& probe)
{
    repeatProbe(sequence, probe);
    probe.stage = ProbeStage::Indirect;
    for (auto prober : pickIndirectProbers(probe.target)) {
        Messages::PingRequest request;
        request.sequence = sequence;
        request.target = toWire(probe.target.value());
        auto updates = updatesFor(prober, probe.target);
        if (!updates.empty())
            request.__set_updates(updates);
        Messages::MembershipMessage message;
        message.__set_pingRequest(request);
        send(prober, m_table.find(prober)->endpoint, std::move(message));
    }
}

void Detector::expireProbes()
{
    std::vector<Core::VmId> unanswered;
    for (auto& [sequence, probe] : m_probes) {
        auto age = now() - probe.startedAt;
        if (probe.stage == ProbeStage::Direct && age >= m_options.acknowledgementTimeout)
            requestIndirectProbes(sequence, probe);
        if (probe.stage == ProbeStage::Indirect && age >= 2 * m_options.acknowledgementTimeout)
            repeatProbe(sequence, probe);
        if (age >= m_options.probeInterval)
            unanswered.push_back(probe.target);
    }
    absl::erase_if(
        m_probes, [this](auto const& item) { return now() - item.second.startedAt >= m_options.probeInterval; });
    absl::erase_if(m_indirectProbes,
        [this](auto const& item) { return now() - item.second.startedAt >= m_options.probeInterval; });
    for (auto vm : unanswered) {
        auto const* entry = m_table.find(vm);
        if (!entry || !entry->isReachable())
            continue;
        bool wasSuspect = entry->suspectSince.has_value();
        m_table.markSuspect(vm, now());
        m_suspects.insert(vm);
        if (!wasSuspect)
            queueUpdate(vm);
    }
}

void Detector::expireSuspicions()
{
    std::vector<Core::VmId> resolved;
    for (auto vm : m_suspects) {
        auto const* entry = m_table.find(vm);
        if (!entry || !entry->suspectSince) {
            resolved.push_back(vm);
            continue;
        }
        if (now() - *entry->suspectSince < suspicionTimeout())
            continue;
        m_table.declareDead(vm, now());
        queueUpdate(vm);
        resolved.push_back(vm);
    }
    for (auto vm : resolved)
        m_suspects.erase(vm);
}

void Detector::probeDisputed()
{
    if (m_disputed.empty() || now() < m_nextDisputedProbe)
        return;
    m_nextDisputedProbe = now() + DisputedProbeInterval;
    auto vm = m_disputed.back();
    m_disputed.pop_back();
    auto const* entry = m_table.find(vm);
    if (entry && entry->isReachable() && entry->deathReport != DeathReport::None)
        probe(vm);
}

void Detector::reconnect()
{
    if (now() < m_nextReconnect)
        return;
    m_nextReconnect = now() + ReconnectInterval;
    if (!m_unreachable.empty()) {
        auto const* entry = m_table.find(m_unreachable[randomBelow(m_unreachable.size())]);
        if (entry)
            sendPing(entry->vm, entry->endpoint);
    }
    // Parts that never knew each other, or have removed each other's members, reconnect through the seeds.
    bool isStarting = now() - m_startedAt < StartupPeriod;
    if (m_reachable.empty() || isStarting || now() >= m_nextSeedPing) {
        m_nextSeedPing = now() + SeedPingInterval;
        pingSeed();
    }
}

void Detector::pingSeed()
{
    std::vector<Core::Endpoint> unknown;
    absl::flat_hash_set<Core::Endpoint> known { m_options.endpoint };
    for (auto vm : m_reachable)
        known.insert(m_table.find(vm)->endpoint);
    for (auto const* seeds : { &m_options.seeds, &m_platformSeeds }) {
        for (auto const& seed : *seeds) {
            if (!known.contains(seed))
                unknown.push_back(seed);
        }
    }
    if (!unknown.empty())
        sendPing({}, unknown[randomBelow(unknown.size())]);
}

std::optional<Core::VmId> Detector::pickReachable()
{
    if (m_reachable.empty())
        return std::nullopt;
    return m_reachable[randomBelow(m_reachable.size())];
}

void Detector::pushSelfUpdate()
{
    if (m_pushesLeft == 0 || m_reachable.empty() || now() < m_nextPush)
        return;
    --m_pushesLeft;
    m_nextPush = now() + PushInterval;
    for (std::size_t i = 0; i < PushFanout; ++i) {
        auto const* entry = m_table.find(*pickReachable());
        if (entry)
            sendPing(entry->vm, entry->endpoint);
    }
}

void Detector::continueSync()
{
    if (!m_syncSession || now() < m_syncSession->nextRequest)
        return;
    if (++m_syncSession->attempts > MaximumSyncPageAttempts) {
        m_syncSession = std::nullopt;
        m_nextSyncSession = now() + SyncSessionInterval;
        return;
    }
    m_syncSession->nextRequest = now() + SyncPageInterval;
    Messages::SyncRequest request;
    request.afterVm = m_syncSession->cursor;
    if (!m_syncSession->isFullSync) {
        auto groups = m_table.groupDigests();
        groups[MemberTable::groupOf(m_options.self)] ^= selfDigest();
        std::string bytes;
        for (auto group : groups) {
            for (std::size_t i = 0; i < sizeof(group); ++i)
                bytes.push_back(static_cast<char>(group >> (8 * i)));
        }
        request.__set_groupDigests(bytes);
    }
    Messages::MembershipMessage message;
    message.__set_syncRequest(request);
    send(m_syncSession->peer, m_syncSession->endpoint, std::move(message));
}

void Detector::confirmWhenIsolated()
{
    // A process that reaches no member must serve alone. One that still receives messages may have been declared dead
    // by their senders, so it stays unconfirmed.
    auto isolatedSince = std::max(m_unconfirmedSince, m_lastReceivedAt);
    if (!m_isConfirmed && m_reachable.empty() && now() - isolatedSince >= IsolationTimeout)
        m_isConfirmed = true;
}

void Detector::removeExpiredMembers()
{
    if (now() < m_nextExpiry)
        return;
    m_nextExpiry = now() + ExpiryInterval;
    std::vector<Core::VmId> expired;
    for (auto const& [vm, entry] : m_table.entries()) {
        auto retention = entry.isConfirmedDead ? m_options.deadRetention : m_options.unreachableRetention;
        if (!entry.isReachable() && now() - entry.changedAt >= retention)
            expired.push_back(vm);
    }
    if (expired.empty())
        return;
    for (auto vm : expired)
        m_table.erase(vm);
    rebuildMemberLists();
    m_haveMembersChanged = true;
}

std::vector<Member> Detector::members() const
{
    std::vector<Member> members;
    members.reserve(m_table.entries().size() + 1);
    Member self { m_options.self, m_options.endpoint, { m_options.endpoint.address, m_options.dataPort },
        m_options.zone, m_incarnation, m_isLeaving ? MemberState::Leaving : MemberState::Alive, m_revision };
    bool hasSelf = false;
    for (auto const& [vm, entry] : m_table.entries()) {
        if (!hasSelf && vm > self.vm) {
            members.push_back(self);
            hasSelf = true;
        }
        members.push_back({ vm, entry.endpoint, { entry.endpoint.address, entry.dataPort }, entry.zone,
            entry.incarnation, toMemberState(entry), entry.revision });
    }
    if (!hasSelf)
        members.push_back(self);
    return members;
}

std::optional<Core::Endpoint> Detector::endpointOf(Core::VmId vm) const
{
    auto const* entry = m_table.find(vm);
    if (!entry)
        return std::nullopt;
    return entry->endpoint;
}

std::optional<Core::Endpoint> Detector::dataEndpointOf(Core::VmId vm) const
{
    auto const* entry = m_table.find(vm);
    if (!entry || entry->dataPort == 0)
        return std::nullopt;
    return Core::Endpoint { entry->endpoint.address, entry->dataPort };
}

void Detector::setRevision(Core::Revision revision)
{
    if (revision == m_revision)
        return;
    m_revision = revision;
    m_haveMembersChanged = true;
}

void Detector::applyVmList(std::vector<PlatformVm> const& vms)
{
    // This process itself runs on a VM, so an empty list must be wrong.
    if (vms.empty())
        return;
    m_platformSeeds.clear();
    for (auto const& vm : vms) {
        m_table.markListed(vm.vm, now());
        if (!vm.isLeaving && vm.vm != m_options.self)
            m_platformSeeds.push_back(vm.endpoint);
    }
    std::vector<Core::VmId> unlisted;
    for (auto const& [vm, entry] : m_table.entries()) {
        bool isUnlisted = entry.listedAt && now() - *entry.listedAt >= m_options.unlistedConfirmationTime;
        if (isUnlisted && !entry.isReachable() && !entry.isConfirmedDead)
            unlisted.push_back(vm);
    }
    for (auto vm : unlisted) {
        m_table.confirmDead(vm, now());
        queueUpdate(vm);
    }
}

void Detector::announceLeave()
{
    if (m_isLeaving)
        return;
    m_isLeaving = true;
    queueSelfUpdate();
}

bool Detector::isConfirmed() const
{
    // Another thread may call this before the first tick after a pause.
    bool isPaused = m_lastTick && now() - *m_lastTick > m_options.pauseLimit;
    return m_isConfirmed && !isPaused;
}

bool Detector::takeMembersChanged()
{
    // The list is long in a large fleet, so consecutive changes share one notification.
    if (!m_haveMembersChanged || now() < m_nextMembersNotification)
        return false;
    m_nextMembersNotification = now() + RebuildInterval;
    m_haveMembersChanged = false;
    return true;
}

std::optional<Core::Incarnation> Detector::takeNewIncarnation()
{
    return std::exchange(m_newIncarnation, std::nullopt);
}

}
