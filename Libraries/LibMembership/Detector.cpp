#include <LibMembership/Detector.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace Chicorytally::Membership {

using namespace std::chrono_literals;

/// Members that are asked to probe on behalf of this process (SWIM's k).
static constexpr std::size_t HelperCount = 3;
/// Bounds a message to less than 500 bytes.
static constexpr std::size_t MaximumUpdates = 5;
/// Bounds a SyncReply to less than 1,000 bytes.
static constexpr std::size_t PageSize = 11;
static constexpr std::size_t RelaysPerZone = 2;
static constexpr std::chrono::milliseconds ReconnectInterval { 1000 };
static constexpr std::chrono::milliseconds SeedInterval { 10'000 };
/// After a start all seeds are tried at the faster ReconnectInterval, so that processes that start together and first
/// meet different seeds don't stay apart.
static constexpr std::chrono::milliseconds StartTime { 10'000 };
/// Bounds the extra probes when a whole availability zone falls silent.
static constexpr std::size_t MaximumSuspectProbes { 3 };
/// Least time between two reports of changed members, and between two rebuilds of the lists for random choices.
static constexpr std::chrono::milliseconds RebuildInterval { 50 };
static constexpr std::chrono::milliseconds ForgetInterval { 10'000 };
/// An update needs about this long to reach everyone; only views that differ for longer are synchronised.
static constexpr std::chrono::milliseconds ViewSettlingTime { 2000 };
static constexpr std::chrono::milliseconds SessionPause { 5000 };
static constexpr std::chrono::milliseconds PagePause { 1000 };
static constexpr int MaximumSessionAttempts { 3 };
/// How often an update is sent that most members know.
static constexpr unsigned OldNewsSends { 2 };
/// How long a process hears nobody before it serves alone.
static constexpr std::chrono::milliseconds AloneTime { 3000 };
/// A change of this process itself is pushed to a few members at once, a few times.
static constexpr int PushRounds { 3 };
static constexpr std::chrono::milliseconds PushInterval { 100 };
/// Bounds the extra probes when two parts of a partition meet.
static constexpr std::chrono::milliseconds DisputedInterval { 100 };
static constexpr std::size_t PushFanout { 3 };

static Messages::MembershipMessage wrap(Messages::Ping const& ping)
{
    Messages::MembershipMessage message;
    message.__set_ping(ping);
    return message;
}

static Messages::MembershipMessage wrap(Messages::Ack const& acknowledgement)
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
    , m_relayOrder(m_random())
    // A random start keeps answers to an earlier process on the VM apart.
    , m_sequence(static_cast<std::int64_t>(m_random() >> 32))
    , m_startedAt(clock.now())
    , m_unconfirmedSince(clock.now())
    , m_confirmingSequence(m_sequence)
{
    // A random phase spreads the probes of processes that start together.
    m_nextProbe = now() + m_options.probeInterval * random(100) / 100;
    m_nextReconnect = now();
    m_nextSeedPing = now();
    m_nextForget = now() + ForgetInterval;
    m_nextSession = now();
    if (m_options.seeds.empty())
        m_isConfirmed = true;
    queueSelf();
}

std::size_t Detector::random(std::size_t below) { return below == 0 ? 0 : m_random() % below; }

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

void Detector::queue(Core::VmId vm)
{
    m_updates.add(vm);
    m_areOrdersStale = true;
    m_hasMembersChanged = true;
}

void Detector::queueSelf()
{
    m_updates.add(m_options.self);
    m_hasMembersChanged = true;
    m_pushesLeft = PushRounds;
}

Messages::MemberUpdate Detector::selfUpdate() const
{
    Entry entry;
    entry.vm = m_options.self;
    entry.endpoint = m_options.endpoint;
    entry.dataPort = m_options.dataPort;
    entry.zone = m_options.zone;
    entry.incarnation = m_incarnation;
    entry.refutation = m_refutation;
    entry.condition = m_isLeaving ? Condition::Leaving : Condition::Alive;
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
    // Half of the hash is enough to notice a difference and saves bytes in each message.
    return toWire(digest >> 32);
}

// --- Receiving ---

void Detector::receive(Core::VmId sender, Core::Incarnation incarnation, Messages::MembershipMessage const& message,
    Core::Endpoint const& from)
{
    if (sender == m_options.self || !sender.isValid())
        return;
    m_heardAt = now();
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

void Detector::mergeAll(std::vector<Messages::MemberUpdate> const& updates, bool isOldNews)
{
    for (auto const& update : updates) {
        Core::VmId vm { fromWire(update.vm) };
        if (vm == m_options.self) {
            mergeSelf(update);
            continue;
        }
        auto outcome = m_table.merge(update, now());
        if (outcome == MergeOutcome::Known)
            m_updates.noteHeard(vm);
        if (outcome == MergeOutcome::Known || outcome == MergeOutcome::Ignored)
            continue;
        m_areOrdersStale = true;
        m_hasMembersChanged = true;
        if (isOldNews)
            m_updates.addOldNews(vm, sendLimit() - OldNewsSends);
        else
            m_updates.add(vm);
        if (outcome == MergeOutcome::Disputed)
            m_disputed.push_back(vm);
        if (m_table.find(vm)->suspectSince)
            m_suspects.insert(vm);
    }
}

void Detector::mergeSelf(Messages::MemberUpdate const& update)
{
    auto incarnation = fromWire(update.incarnation);
    if (incarnation < m_incarnation.value())
        return;
    bool isOwn = incarnation == m_incarnation.value();
    auto refutation = update.__isset.refutation ? static_cast<std::uint32_t>(update.refutation) : 0;
    bool isEnded = update.state == Messages::MemberState::Dead
        || (update.state == Messages::MemberState::Leaving && !m_isLeaving);
    if (!isOwn || isEnded) {
        // Either an earlier process on this VM had a greater incarnation, or this one was declared dead.
        takeGreaterIncarnation(incarnation);
        return;
    }
    if (update.state == Messages::MemberState::Suspect && !m_isLeaving && refutation >= m_refutation) {
        m_refutation = refutation + 1;
        queueSelf();
    }
}

bool Detector::isOutdated(Messages::MemberUpdate const& update) const
{
    if (Core::VmId { fromWire(update.vm) } != m_options.self)
        return false;
    auto refutation = update.__isset.refutation ? static_cast<std::uint32_t>(update.refutation) : 0;
    return fromWire(update.incarnation) != m_incarnation.value() || refutation != m_refutation;
}

void Detector::takeGreaterIncarnation(std::uint64_t than)
{
    m_incarnation = Core::Incarnation { than + 1 };
    m_refutation = 0;
    m_newIncarnation = m_incarnation;
    // While other members confirmed the old incarnation until now, this is the far side of a healed partition, and the
    // process kept serving with its own side. Otherwise it was cut off and has to start again.
    bool hasKeptServing = m_isConfirmed && m_confirmedAt && now() - *m_confirmedAt < m_options.pauseLimit;
    if (!hasKeptServing) {
        m_isConfirmed = false;
        m_unconfirmedSince = now();
        m_confirmingSequence = m_sequence;
    }
    queueSelf();
}

void Detector::noteContact(Core::VmId sender, Core::Revision revision)
{
    m_table.clearSilence(sender);
    if (m_table.noteRevision(sender, revision))
        m_hasMembersChanged = true;
}

void Detector::compareView(Core::VmId sender, Core::Endpoint const& from, std::int64_t digest)
{
    if (digest == viewDigest()) {
        m_viewDiffersSince = std::nullopt;
        return;
    }
    if (!m_viewDiffersSince)
        m_viewDiffersSince = now();
    if (m_session || now() < m_nextSession || now() - *m_viewDiffersSince < ViewSettlingTime)
        return;
    m_session = Session { .peer = sender, .endpoint = from, .nextRequest = now() };
}

void Detector::receivePing(
    Core::VmId sender, Core::Incarnation incarnation, Messages::Ping const& ping, Core::Endpoint const& from)
{
    mergeAll(ping.updates);
    // A sender with an outdated view of this process has to learn the refutation from this answer, however many other
    // updates are queued.
    if (std::any_of(
            ping.updates.begin(), ping.updates.end(), [this](auto const& update) { return isOutdated(update); }))
        m_introductions.insert(sender);
    auto const* entry = m_table.find(sender);
    bool isKnown = entry && entry->incarnation >= incarnation;
    if (isKnown && ping.__isset.revision)
        noteContact(sender, Core::Revision { fromWire(ping.revision) });
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
    send(sender, from, wrap(acknowledgement));
}

bool Detector::forwardAck(Core::VmId target, std::int64_t sequence)
{
    auto found = m_relays.find(sequence);
    if (found == m_relays.end())
        return false;
    auto relay = found->second;
    m_relays.erase(found);
    Messages::Ack acknowledgement;
    acknowledgement.sequence = relay.requesterSequence;
    acknowledgement.__set_onBehalfOf(toWire(target.value()));
    // The target's own update goes along, because it may refute the requester's suspicion.
    auto updates = updatesFor(relay.requester, target);
    if (auto const* entry = m_table.find(target); entry && entry->condition == Condition::Alive)
        updates.insert(updates.begin(), toUpdate(*entry));
    acknowledgement.__set_updates(updates);
    send(relay.requester, relay.requesterEndpoint, wrap(acknowledgement));
    return true;
}

void Detector::receiveAck(
    Core::VmId sender, Core::Incarnation incarnation, Messages::Ack const& acknowledgement, Core::Endpoint const& from)
{
    mergeAll(acknowledgement.updates);
    auto const* entry = m_table.find(sender);
    bool isKnown = entry && entry->incarnation >= incarnation;
    if (isKnown && acknowledgement.__isset.revision)
        noteContact(sender, Core::Revision { fromWire(acknowledgement.revision) });
    if (isKnown && acknowledgement.__isset.viewDigest)
        compareView(sender, from, acknowledgement.viewDigest);
    if (acknowledgement.__isset.isReceiverUnknown && acknowledgement.isReceiverUnknown) {
        m_introductions.insert(sender);
        sendPing(sender, from);
    }
    bool confirms = acknowledgement.__isset.confirmedIncarnation
        && fromWire(acknowledgement.confirmedIncarnation) == m_incarnation.value()
        && acknowledgement.sequence > m_confirmingSequence;
    if (confirms) {
        m_isConfirmed = true;
        m_confirmedAt = now();
        m_introductions.erase(sender);
    }
    if (forwardAck(sender, acknowledgement.sequence))
        return;
    if (auto probe = m_probes.find(acknowledgement.sequence); probe != m_probes.end()) {
        m_table.clearSilence(probe->second.target);
        m_probes.erase(probe);
    }
    if (!m_hasJoined && !m_session && !acknowledgement.__isset.onBehalfOf)
        m_session = Session { .peer = sender, .endpoint = from, .isWhole = true, .nextRequest = now() };
}

void Detector::receivePingRequest(Core::VmId sender, Messages::PingRequest const& request, Core::Endpoint const& from)
{
    // A flood of requests must not grow the memory; the requester has other helpers.
    static constexpr std::size_t MaximumRelays = 1000;
    mergeAll(request.updates);
    auto const* target = m_table.find(Core::VmId { fromWire(request.target) });
    if (!target || m_relays.size() >= MaximumRelays)
        return;
    sendPing(++m_sequence, target->vm, target->endpoint, sender);
    m_relays[m_sequence] = { sender, from, request.sequence, now() };
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
    for (; entry != entries.end() && reply.updates.size() < PageSize; ++entry) {
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
    bool isExpected = m_session && m_session->peer == sender;
    // What a newcomer learns from the whole list is news to few others.
    mergeAll(reply.updates, isExpected && m_session->isWhole);
    if (!isExpected)
        return;
    if (!reply.__isset.nextAfterVm) {
        m_hasJoined = true;
        m_nextSession = now() + SessionPause;
        m_viewDiffersSince = std::nullopt;
        m_session = std::nullopt;
        return;
    }
    m_session->cursor = reply.nextAfterVm;
    m_session->attempts = 0;
    m_session->nextRequest = m_session->isWhole ? now() : now() + PagePause;
}

// --- Sending ---

std::vector<Messages::MemberUpdate> Detector::updatesFor(Core::VmId receiver, Core::VmId about)
{
    std::vector<Messages::MemberUpdate> updates;
    // A member that others think ill of learns it first, so that it can refute.
    auto const* entry = m_table.find(about);
    if (entry && (entry->condition != Condition::Alive || entry->hearsay != Hearsay::None)) {
        updates.push_back(toUpdate(*entry));
        if (entry->hearsay != Hearsay::None)
            updates.back().state = Messages::MemberState::Dead;
    }
    bool isSelfIncluded = !m_isConfirmed || m_introductions.contains(receiver);
    if (isSelfIncluded)
        updates.push_back(selfUpdate());
    for (auto vm : m_updates.take(MaximumUpdates - updates.size(), sendLimit())) {
        if (vm == m_options.self) {
            if (!isSelfIncluded)
                updates.push_back(selfUpdate());
        } else if (auto const* queued = m_table.find(vm); queued && vm != about) {
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
    send(receiver, endpoint, wrap(ping));
}

std::int64_t Detector::sendPing(Core::VmId receiver, Core::Endpoint const& endpoint)
{
    sendPing(++m_sequence, receiver, endpoint, std::nullopt);
    return m_sequence;
}

// --- Ticking ---

std::vector<OutgoingMessage> Detector::tick()
{
    // A rebuild costs time in proportion to the members, so many changes in a row share one.
    if (m_areOrdersStale && (m_reachable.empty() || now() >= m_nextRebuild))
        rebuildOrders();
    if (m_lastTick && now() - *m_lastTick > m_options.pauseLimit)
        resume();
    m_lastTick = now();
    expireProbes();
    startProbes();
    expireSuspicions();
    probeDisputed();
    reconnect();
    pushToMembers();
    continueSession();
    confirmWhenAlone();
    forget();
    return std::exchange(m_outgoing, {});
}

void Detector::resume()
{
    // The answers that were due during the pause are no sign of the others' silence.
    m_probes.clear();
    m_relays.clear();
    m_outgoing.clear();
    m_table.restartSuspicions(now());
    m_isConfirmed = m_options.seeds.empty() && m_table.entries().empty();
    m_unconfirmedSince = now();
    m_confirmingSequence = m_sequence;
    m_confirmedAt = std::nullopt;
    m_nextProbe = now();
    m_pushesLeft = PushRounds;
}

void Detector::rebuildOrders()
{
    m_areOrdersStale = false;
    m_nextRebuild = now() + RebuildInterval;
    m_reachable.clear();
    m_zoneReachable.clear();
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
            m_zoneReachable.push_back(vm);
        else
            otherZones[entry.zone].push_back(vm);
    }
    m_zoneOrder.assign(m_zoneReachable);
    m_relayOrder.assign(relayedMembers(otherZones));
}

std::vector<Core::VmId> Detector::relayedMembers(
    absl::flat_hash_map<Core::ZoneId, std::vector<Core::VmId>> const& otherZones) const
{
    std::vector<Core::VmId> relayed;
    for (auto const& [zone, members] : otherZones) {
        auto key = Core::hashPair(m_options.zone.value(), zone.value());
        auto ownScore = Core::hashPair(key, m_options.self.value());
        auto better = std::count_if(m_zoneReachable.begin(), m_zoneReachable.end(),
            [&](Core::VmId vm) { return Core::hashPair(key, vm.value()) > ownScore; });
        if (static_cast<std::size_t>(better) < RelaysPerZone)
            relayed.insert(relayed.end(), members.begin(), members.end());
    }
    return relayed;
}

void Detector::startProbes()
{
    if (now() < m_nextProbe)
        return;
    m_nextProbe = std::max(m_nextProbe + m_options.probeInterval, now());
    if (auto target = m_zoneOrder.next())
        probe(*target);
    if (auto target = m_relayOrder.next())
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
    std::vector<Entry const*> accused;
    for (auto vm : m_suspects) {
        auto const* entry = m_table.find(vm);
        if (!entry || !entry->suspectSince)
            continue;
        // A suspicion that is only hearsay is verified before this process acts on it.
        bool isLate = now() - *entry->suspectSince >= suspicionTimeout() / 2;
        if (entry->isAccused || isLate)
            accused.push_back(entry);
    }
    // Many suspects at once are a lost zone or a partition, where helpers would only multiply the messages.
    auto stage = accused.size() > MaximumSuspectProbes ? ProbeStage::Helped : ProbeStage::Direct;
    std::shuffle(accused.begin(), accused.end(), m_random);
    accused.resize(std::min(accused.size(), MaximumSuspectProbes));
    for (auto const* entry : accused) {
        auto sequence = sendPing(entry->vm, entry->endpoint);
        m_probes[sequence] = { entry->vm, now(), stage };
    }
}

std::vector<Core::VmId> Detector::pickHelpers(Core::VmId target)
{
    std::vector<Core::VmId> helpers;
    // Twice as many attempts as helpers are enough for a large fleet; a small one is tried whole.
    auto start = random(m_reachable.size());
    for (std::size_t i = 0; i < m_reachable.size() && helpers.size() < HelperCount; ++i) {
        auto index
            = m_reachable.size() > 4 * HelperCount ? random(m_reachable.size()) : (start + i) % m_reachable.size();
        auto vm = m_reachable[index];
        bool isChosen = std::find(helpers.begin(), helpers.end(), vm) != helpers.end();
        if (vm != target && !isChosen)
            helpers.push_back(vm);
    }
    return helpers;
}

void Detector::repeatProbe(std::int64_t sequence, Probe& probe)
{
    // A repeated ping costs little and makes a lost datagram a much rarer reason for a suspicion.
    probe.stage = ProbeStage::Repeated;
    if (auto const* entry = m_table.find(probe.target))
        sendPing(sequence, entry->vm, entry->endpoint, std::nullopt);
}

void Detector::askHelpers(std::int64_t sequence, Probe& probe)
{
    repeatProbe(sequence, probe);
    probe.stage = ProbeStage::Helped;
    for (auto helper : pickHelpers(probe.target)) {
        Messages::PingRequest request;
        request.sequence = sequence;
        request.target = toWire(probe.target.value());
        auto updates = updatesFor(helper, probe.target);
        if (!updates.empty())
            request.__set_updates(updates);
        Messages::MembershipMessage message;
        message.__set_pingRequest(request);
        send(helper, m_table.find(helper)->endpoint, std::move(message));
    }
}

void Detector::expireProbes()
{
    std::vector<Core::VmId> silent;
    for (auto& [sequence, probe] : m_probes) {
        auto age = now() - probe.startedAt;
        if (probe.stage == ProbeStage::Direct && age >= m_options.acknowledgementTimeout)
            askHelpers(sequence, probe);
        if (probe.stage == ProbeStage::Helped && age >= 2 * m_options.acknowledgementTimeout)
            repeatProbe(sequence, probe);
        if (age >= m_options.probeInterval)
            silent.push_back(probe.target);
    }
    absl::erase_if(
        m_probes, [this](auto const& item) { return now() - item.second.startedAt >= m_options.probeInterval; });
    absl::erase_if(
        m_relays, [this](auto const& item) { return now() - item.second.startedAt >= m_options.probeInterval; });
    for (auto vm : silent) {
        auto const* entry = m_table.find(vm);
        if (!entry || !entry->isReachable())
            continue;
        bool wasSuspect = entry->suspectSince.has_value();
        m_table.suspect(vm, now());
        m_suspects.insert(vm);
        if (!wasSuspect)
            queue(vm);
    }
}

void Detector::expireSuspicions()
{
    std::vector<Core::VmId> settled;
    for (auto vm : m_suspects) {
        auto const* entry = m_table.find(vm);
        if (!entry || !entry->suspectSince) {
            settled.push_back(vm);
            continue;
        }
        if (now() - *entry->suspectSince < suspicionTimeout())
            continue;
        m_table.declareDead(vm, now());
        queue(vm);
        settled.push_back(vm);
    }
    for (auto vm : settled)
        m_suspects.erase(vm);
}

void Detector::probeDisputed()
{
    if (m_disputed.empty() || now() < m_nextDisputed)
        return;
    m_nextDisputed = now() + DisputedInterval;
    auto vm = m_disputed.back();
    m_disputed.pop_back();
    auto const* entry = m_table.find(vm);
    if (entry && entry->isReachable() && entry->hearsay != Hearsay::None)
        probe(vm);
}

void Detector::reconnect()
{
    if (now() < m_nextReconnect)
        return;
    m_nextReconnect = now() + ReconnectInterval;
    if (!m_unreachable.empty()) {
        auto const* entry = m_table.find(m_unreachable[random(m_unreachable.size())]);
        if (entry)
            sendPing(entry->vm, entry->endpoint);
    }
    // Parts that never knew each other, or have forgotten each other, meet through the seeds.
    bool isStarting = now() - m_startedAt < StartTime;
    if (m_reachable.empty() || isStarting || now() >= m_nextSeedPing) {
        m_nextSeedPing = now() + SeedInterval;
        pingSeed();
    }
}

void Detector::pingSeed()
{
    std::vector<Core::Endpoint> unknown;
    absl::flat_hash_set<Core::Endpoint> known { m_options.endpoint };
    for (auto vm : m_reachable)
        known.insert(m_table.find(vm)->endpoint);
    for (auto const* seeds : { &m_options.seeds, &m_listSeeds }) {
        for (auto const& seed : *seeds) {
            if (!known.contains(seed))
                unknown.push_back(seed);
        }
    }
    if (!unknown.empty())
        sendPing({}, unknown[random(unknown.size())]);
}

std::optional<Core::VmId> Detector::pickReachable()
{
    if (m_reachable.empty())
        return std::nullopt;
    return m_reachable[random(m_reachable.size())];
}

void Detector::pushToMembers()
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

void Detector::continueSession()
{
    if (!m_session || now() < m_session->nextRequest)
        return;
    if (++m_session->attempts > MaximumSessionAttempts) {
        m_session = std::nullopt;
        m_nextSession = now() + SessionPause;
        return;
    }
    m_session->nextRequest = now() + PagePause;
    Messages::SyncRequest request;
    request.afterVm = m_session->cursor;
    if (!m_session->isWhole) {
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
    send(m_session->peer, m_session->endpoint, std::move(message));
}

void Detector::confirmWhenAlone()
{
    // A process that reaches no member has to serve alone. One that still hears others may be dead to them, and waits.
    auto silentSince = std::max(m_unconfirmedSince, m_heardAt);
    if (!m_isConfirmed && m_reachable.empty() && now() - silentSince >= AloneTime)
        m_isConfirmed = true;
}

void Detector::forget()
{
    if (now() < m_nextForget)
        return;
    m_nextForget = now() + ForgetInterval;
    std::vector<Core::VmId> forgotten;
    for (auto const& [vm, entry] : m_table.entries()) {
        auto retention = entry.isConfirmedDead ? m_options.deadRetention : m_options.unreachableRetention;
        if (!entry.isReachable() && now() - entry.changedAt >= retention)
            forgotten.push_back(vm);
    }
    if (forgotten.empty())
        return;
    for (auto vm : forgotten)
        m_table.erase(vm);
    rebuildOrders();
    m_hasMembersChanged = true;
}

// --- Views and settings ---

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
            entry.incarnation, stateOf(entry), entry.revision });
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
    m_hasMembersChanged = true;
}

void Detector::applyVmList(std::vector<PlatformVm> const& vms)
{
    // The process itself runs on a VM, so an empty list is wrong.
    if (vms.empty())
        return;
    m_listSeeds.clear();
    for (auto const& vm : vms) {
        m_table.markListed(vm.vm, now());
        if (!vm.isLeaving && vm.vm != m_options.self)
            m_listSeeds.push_back(vm.endpoint);
    }
    std::vector<Core::VmId> gone;
    for (auto const& [vm, entry] : m_table.entries()) {
        bool isUnlisted = entry.listedAt && now() - *entry.listedAt >= m_options.unlistedConfirmationTime;
        if (isUnlisted && !entry.isReachable() && !entry.isConfirmedDead)
            gone.push_back(vm);
    }
    for (auto vm : gone) {
        m_table.confirmDead(vm, now());
        queue(vm);
    }
}

void Detector::announceLeave()
{
    if (m_isLeaving)
        return;
    m_isLeaving = true;
    queueSelf();
}

bool Detector::isConfirmed() const
{
    // A thread may ask before the first tick after a pause.
    bool isPaused = m_lastTick && now() - *m_lastTick > m_options.pauseLimit;
    return m_isConfirmed && !isPaused;
}

bool Detector::takeMembersChanged()
{
    // The list is long in a large fleet, so many changes in a row are reported together.
    if (!m_hasMembersChanged || now() < m_nextReport)
        return false;
    m_nextReport = now() + RebuildInterval;
    m_hasMembersChanged = false;
    return true;
}

std::optional<Core::Incarnation> Detector::takeNewIncarnation()
{
    return std::exchange(m_newIncarnation, std::nullopt);
}

}
