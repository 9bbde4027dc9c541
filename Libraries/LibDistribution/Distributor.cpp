#include <LibDistribution/Distributor.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <bit>

namespace Chicorytally::Distribution {

using namespace std::chrono_literals;

/// Bytes of content per chunk. With its other fields, the envelope and the packet headers, a chunk fits in 1,200 bytes.
static constexpr std::size_t ChunkSize = 1000;
static constexpr std::size_t MaximumChunksPerRequest = 16;
static constexpr std::size_t MaximumEncodedDeltas = 4;
static constexpr std::size_t MaximumSources = 4;
static constexpr std::size_t MaximumRefused = 16;
/// Number of peers to ask. Answers of this many peers are also enough to accept the platform's copy.
static constexpr std::size_t QuestionFanout = 3;
static constexpr unsigned RumourFanout = 2;
static constexpr unsigned RumourExtraRounds = 2;
/// A member stops spreading a rumour once it has received it this many times.
static constexpr unsigned RumourStopCount = 3;
static constexpr std::chrono::milliseconds RumourInterval { 200 };
static constexpr std::chrono::milliseconds AntiEntropyInterval { 1000 };
static constexpr std::chrono::milliseconds QuestionInterval { 500 };
static constexpr std::chrono::milliseconds RequestTimeout { 500 };
/// A transfer is abandoned after this time without progress. It is this long because the sources may be busy with other
/// receivers.
static constexpr std::chrono::seconds TransferTimeout { 30 };
/// Limits the number of receivers of large deltas that are served at a time. If many processes start together, the
/// first ones then finish early and serve others, so that the total time grows with the logarithm of their number.
static constexpr std::size_t MaximumReceivers = 2;
static constexpr std::size_t LargeDeltaSize = 50 * ChunkSize;
static constexpr std::chrono::milliseconds ReceiverTimeout { 1500 };
static constexpr std::chrono::seconds EncodedDeltaLifetime { 30 };
static constexpr std::chrono::milliseconds DeltaBurst { 2000 };
static constexpr std::chrono::milliseconds BootstrapBurst { 200 };
static constexpr std::chrono::milliseconds ServeBurst { 1000 };
/// A process without a configuration that can't fetch the newer copy of its peers accepts the platform's copy after
/// this many times the peer timeout.
static constexpr int PlatformCopyTimeoutFactor = 4;

static std::int64_t toWire(std::uint64_t value) { return static_cast<std::int64_t>(value); }
static Core::Revision revisionFrom(std::int64_t value) { return Core::Revision { static_cast<std::uint64_t>(value) }; }

Distributor::Distributor(Core::Clock const& clock, Options options)
    : m_clock(clock)
    , m_options(options)
    , m_random(m_options.randomSeed)
    , m_readScheduler(m_options, clock.now(), m_random)
    , m_startedAt(clock.now())
    , m_deltaFetchBucket(m_options.deltaBytesPerSecond, DeltaBurst)
    , m_bootstrapFetchBucket(m_options.bootstrapBytesPerSecond, BootstrapBurst)
    , m_serveBucket(m_options.serveBytesPerSecond, ServeBurst)
{
    m_nextAntiEntropyAt = now() + AntiEntropyInterval * (m_random() % 100) / 100;
}

// --- The platform ---

bool Distributor::isRefused(Core::Revision revision, std::uint64_t digest) const
{
    return std::find(m_refused.begin(), m_refused.end(), std::pair { revision, digest }) != m_refused.end();
}

bool Distributor::isPlausible(Core::Revision revision, FileSet const& files)
{
    std::size_t size = 0;
    for (auto const& [name, content] : files)
        size += name.size() + content.size();
    if (revision.isValid() && size <= MaximumFileSetSize)
        return true;
    ++m_counters.refused;
    m_lastRefusal = revision.isValid()
        ? absl::StrCat("the files have ", size, " bytes, at most ", MaximumFileSetSize, " are allowed")
        : "the revision is 0";
    return false;
}

void Distributor::setCandidate(Core::Revision revision, FileSet files, std::uint64_t digest)
{
    bool isNewest = revision > m_files.revision() && (!m_candidate || revision > m_candidate->revision);
    if (isNewest && !isRefused(revision, digest))
        m_candidate = Candidate { revision, digest, std::move(files) };
}

void Distributor::offerPlatformCopy(Core::Revision revision, FileSet files)
{
    m_readScheduler.readSucceeded(now());
    bool isRepeated = revision == m_platformRevision;
    m_platformRevision = revision;
    if (!isPlausible(revision, files))
        return;
    auto digest = digestOf(files);
    if (revision < m_files.revision()) {
        ++m_counters.olderCopiesIgnored;
        return;
    }
    if (revision == m_files.revision()) {
        m_counters.conflictingCopies += digest != m_files.digest() && !isRepeated ? 1 : 0;
        return;
    }
    bool mustAskPeers = !m_files.revision().isValid() && m_options.peerTimeout > 0ms;
    if (!mustAskPeers) {
        setCandidate(revision, std::move(files), digest);
        return;
    }
    if (!m_pendingPlatformCopy || revision > m_pendingPlatformCopy->revision)
        m_pendingPlatformCopy = Candidate { revision, digest, std::move(files) };
    releasePendingPlatformCopy();
}

void Distributor::releasePendingPlatformCopy()
{
    if (!m_pendingPlatformCopy)
        return;
    bool isNewer = !m_target || m_target->revision < m_pendingPlatformCopy->revision;
    auto answerCount = static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](auto const& item) { return item.second.hasAnswered; }));
    bool haveEnoughAnswered = !m_peers.empty() && answerCount >= std::min(QuestionFanout, m_peers.size());
    auto waitedSince = m_firstPeerAt.value_or(m_startedAt);
    bool hasWaited = now() - waitedSince >= m_options.peerTimeout;
    bool hasTimedOut = now() - waitedSince >= PlatformCopyTimeoutFactor * m_options.peerTimeout;
    if (!(isNewer && (haveEnoughAnswered || hasWaited)) && !hasTimedOut)
        return;
    auto copy = *std::exchange(m_pendingPlatformCopy, std::nullopt);
    setCandidate(copy.revision, std::move(copy.files), copy.digest);
}

void Distributor::platformUnchanged() { m_readScheduler.readSucceeded(now()); }

void Distributor::platformFailed()
{
    ++m_counters.platformFailures;
    m_readScheduler.readFailed(now());
}

bool Distributor::tryStartPlatformRead()
{
    if (!m_readScheduler.tryStartRead(now()))
        return false;
    ++m_counters.platformReads;
    return true;
}

void Distributor::commit(Candidate candidate)
{
    if (candidate.revision <= m_files.revision())
        return;
    m_files.replace(candidate.revision, std::move(candidate.files));
    ++m_counters.accepted;
    m_needsFullCopy = false;
    m_requestedAt = std::nullopt;
    m_rumourRoundsLeft = static_cast<unsigned>(std::bit_width(m_zonePeers.size())) + RumourExtraRounds;
    m_rumourHeardCount = 0;
    m_nextRumourAt = now();
}

void Distributor::refuse(Candidate const& candidate, std::string reason)
{
    ++m_counters.refused;
    m_lastRefusal = std::move(reason);
    if (m_refused.size() >= MaximumRefused)
        m_refused.erase(m_refused.begin());
    m_refused.emplace_back(candidate.revision, candidate.digest);
    m_requestedAt = std::nullopt;
}

// --- Peers ---

void Distributor::applyMembers(std::vector<Peer> const& peers)
{
    // Most membership updates change nothing that matters here.
    if (peers == m_members)
        return;
    m_members = peers;
    absl::btree_map<Core::VmId, PeerState> next;
    std::vector<Core::VmId> zoneMembers;
    m_zonePeers.clear();
    m_otherZonePeers.clear();
    for (auto const& peer : peers) {
        if (peer.zone == m_options.zone && peer.isAlive)
            zoneMembers.push_back(peer.vm);
        if (peer.vm == m_options.self)
            continue;
        auto known = m_peers.find(peer.vm);
        auto& state = next[peer.vm];
        if (known != m_peers.end())
            state = known->second;
        state.zone = peer.zone;
        (peer.zone == m_options.zone ? m_zonePeers : m_otherZonePeers).push_back(peer.vm);
    }
    m_peers = std::move(next);
    m_readScheduler.setZoneMembers(zoneMembers);
    if (!m_firstPeerAt && !m_peers.empty())
        m_firstPeerAt = now();
}

void Distributor::receive(Core::VmId sender, Messages::DistributionMessage const& message)
{
    if (sender == m_options.self)
        return;
    if (message.__isset.revisionDigest)
        receiveDigest(sender, message.revisionDigest);
    else if (message.__isset.deltaRequest)
        receiveDeltaRequest(sender, message.deltaRequest);
    else if (message.__isset.delta)
        receiveDelta(message.delta);
    else if (message.__isset.copyRequest)
        receiveCopyRequest(sender, message.copyRequest);
    else if (message.__isset.copyChunk)
        receiveCopyChunk(sender, message.copyChunk);
}

void Distributor::receiveDigest(Core::VmId sender, Messages::RevisionDigest const& message)
{
    auto revision = revisionFrom(message.revision);
    auto digest = static_cast<std::uint64_t>(message.digest);
    bool isQuestion = message.__isset.isQuestion && message.isQuestion;
    if (auto peer = m_peers.find(sender); peer != m_peers.end()) {
        peer->second.revision = revision;
        peer->second.hasAnswered |= !isQuestion;
        bool isSameZone = peer->second.zone == m_options.zone;
        if (isSameZone && message.__isset.platformAgeMilliseconds && message.platformAgeMilliseconds >= 0)
            m_readScheduler.recordAnswer(now() - std::chrono::milliseconds { message.platformAgeMilliseconds });
    }
    auto own = m_files.revision();
    if (revision == own && own.isValid()) {
        ++m_rumourHeardCount;
        m_counters.conflictingCopies += digest != m_files.digest() ? 1 : 0;
    }
    if (message.__isset.isBusy && message.isBusy) {
        removeSource(sender);
        return;
    }
    if (revision > own)
        updateTarget(sender, revision, digest);
    if (isQuestion || revision < own)
        sendDigest(sender);
    if (m_transfer && revision == m_transfer->revision() && digest == m_transfer->digest()
        && !m_transfer->fromRevision().isValid() && m_transfer->sources().size() < MaximumSources)
        m_transfer->addSource(sender);
}

void Distributor::removeSource(Core::VmId source)
{
    if (m_target)
        std::erase(m_target->sources, source);
    if (m_transfer)
        m_transfer->removeSource(source);
    m_requestedAt = std::nullopt;
}

void Distributor::updateTarget(Core::VmId sender, Core::Revision revision, std::uint64_t digest)
{
    if (isRefused(revision, digest))
        return;
    if (!m_target || revision > m_target->revision)
        m_target = Target { revision, digest, {} };
    if (revision != m_target->revision || digest != m_target->digest)
        return;
    auto& sources = m_target->sources;
    bool isKnown = std::find(sources.begin(), sources.end(), sender) != sources.end();
    if (!isKnown && sources.size() < MaximumSources)
        sources.push_back(sender);
}

Distributor::EncodedDelta* Distributor::findEncodedDelta(Core::Revision revision, Core::Revision requestedFrom)
{
    for (auto& encodedDelta : m_encodedDeltas) {
        if (encodedDelta.revision == revision && encodedDelta.requestedFrom == requestedFrom)
            return &encodedDelta;
    }
    return nullptr;
}

Distributor::EncodedDelta& Distributor::findOrEncodeDelta(Core::Revision requestedFrom)
{
    if (auto* encodedDelta = findEncodedDelta(m_files.revision(), requestedFrom))
        return *encodedDelta;
    if (m_encodedDeltas.size() >= MaximumEncodedDeltas) {
        auto oldest = std::min_element(m_encodedDeltas.begin(), m_encodedDeltas.end(),
            [](EncodedDelta const& first, EncodedDelta const& second) { return first.lastUsedAt < second.lastUsedAt; });
        m_encodedDeltas.erase(oldest);
    }
    auto delta = m_files.deltaFrom(requestedFrom);
    m_encodedDeltas.push_back({ m_files.revision(), m_files.digest(), requestedFrom, revisionFrom(delta.fromRevision),
        encode(delta), now() });
    return m_encodedDeltas.back();
}

bool Distributor::admitReceiver(Core::VmId receiver, EncodedDelta const& encodedDelta)
{
    if (encodedDelta.bytes.size() <= LargeDeltaSize)
        return true;
    absl::erase_if(m_largeDeltaReceivers, [this](auto const& item) { return now() - item.second >= ReceiverTimeout; });
    if (!m_largeDeltaReceivers.contains(receiver) && m_largeDeltaReceivers.size() >= MaximumReceivers)
        return false;
    m_largeDeltaReceivers[receiver] = now();
    return true;
}

void Distributor::receiveDeltaRequest(Core::VmId sender, Messages::DeltaRequest const& request)
{
    auto from = revisionFrom(request.fromRevision);
    if (from >= m_files.revision()) {
        sendDigest(sender);
        return;
    }
    auto& encodedDelta = findOrEncodeDelta(from);
    encodedDelta.lastUsedAt = now();
    if (!admitReceiver(sender, encodedDelta)) {
        sendDigest(sender, DigestKind::Busy);
        return;
    }
    if (!m_serveBucket.tryConsume(static_cast<double>(std::min(encodedDelta.bytes.size(), ChunkSize)), now()))
        return;
    if (encodedDelta.bytes.size() > ChunkSize) {
        sendChunk(sender, encodedDelta, 0);
        return;
    }
    Messages::DistributionMessage message;
    message.__set_delta(m_files.deltaFrom(from));
    send(sender, std::move(message));
}

void Distributor::receiveCopyRequest(Core::VmId sender, Messages::CopyRequest const& request)
{
    auto revision = revisionFrom(request.revision);
    auto from = revisionFrom(request.__isset.fromRevision ? request.fromRevision : 0);
    auto* encodedDelta = findEncodedDelta(revision, from);
    if (!encodedDelta && revision == m_files.revision())
        encodedDelta = &findOrEncodeDelta(from);
    if (!encodedDelta) {
        sendDigest(sender);
        return;
    }
    encodedDelta->lastUsedAt = now();
    if (!admitReceiver(sender, *encodedDelta)) {
        sendDigest(sender, DigestKind::Busy);
        return;
    }
    auto requestedCount = request.__isset.chunkCount ? static_cast<std::size_t>(std::max(request.chunkCount, 0)) : 1;
    auto first = static_cast<std::size_t>(std::max(request.firstChunk, 0));
    for (std::size_t i = 0; i < std::min(requestedCount, MaximumChunksPerRequest); ++i) {
        bool isWithin = (first + i) * ChunkSize < encodedDelta->bytes.size();
        if (!isWithin || !m_serveBucket.tryConsume(ChunkSize, now()))
            return;
        sendChunk(sender, *encodedDelta, first + i);
    }
}

void Distributor::sendChunk(Core::VmId receiver, EncodedDelta const& encodedDelta, std::size_t index)
{
    Messages::CopyChunk chunk;
    chunk.revision = toWire(encodedDelta.revision.value());
    chunk.digest = toWire(encodedDelta.digest);
    chunk.index = static_cast<std::int32_t>(index);
    chunk.count = static_cast<std::int32_t>((encodedDelta.bytes.size() + ChunkSize - 1) / ChunkSize);
    chunk.content = encodedDelta.bytes.substr(index * ChunkSize, ChunkSize);
    chunk.__set_fromRevision(toWire(encodedDelta.fromRevision.value()));
    Messages::DistributionMessage message;
    message.__set_copyChunk(chunk);
    send(receiver, std::move(message));
}

void Distributor::applyDelta(Messages::Delta const& delta)
{
    auto files = m_files.apply(delta);
    if (!files) {
        ++m_counters.mismatchedDeltas;
        m_needsFullCopy = true;
        return;
    }
    auto revision = revisionFrom(delta.toRevision);
    if (isPlausible(revision, *files))
        setCandidate(revision, std::move(*files), static_cast<std::uint64_t>(delta.toDigest));
}

void Distributor::receiveDelta(Messages::Delta const& delta)
{
    auto from = revisionFrom(delta.fromRevision);
    bool isApplicable = !from.isValid() || from == m_files.revision();
    // A late answer to an earlier request is ignored: it says nothing about the files in force.
    if (!isApplicable || revisionFrom(delta.toRevision) <= m_files.revision())
        return;
    m_requestedAt = std::nullopt;
    applyDelta(delta);
}

void Distributor::receiveCopyChunk(Core::VmId sender, Messages::CopyChunk const& chunk)
{
    auto from = revisionFrom(chunk.__isset.fromRevision ? chunk.fromRevision : 0);
    bool isApplicable = !from.isValid() || from == m_files.revision();
    if (!isApplicable || revisionFrom(chunk.revision) <= m_files.revision())
        return;
    if (!m_transfer) {
        m_transfer = Transfer::create(chunk, sender, now());
        if (!m_transfer)
            return;
        // All peers have the same chunks of a full copy, so any of them can serve it.
        if (m_target && m_target->revision == m_transfer->revision() && !from.isValid()) {
            for (auto source : m_target->sources)
                m_transfer->addSource(source);
        }
    }
    if (!m_transfer->matches(chunk))
        return;
    m_transfer->add(chunk, now());
    if (!m_transfer->isComplete())
        return;
    auto delta = decode(m_transfer->content());
    m_transfer = std::nullopt;
    m_requestedAt = std::nullopt;
    if (delta)
        applyDelta(*delta);
}

// --- Periodic work ---

std::vector<OutgoingMessage> Distributor::tick()
{
    releasePendingPlatformCopy();
    sendBootstrapQuestions();
    spreadRumour();
    runAntiEntropy();
    requestTarget();
    expireEncodedDeltas();
    return std::exchange(m_outgoing, {});
}

void Distributor::sendBootstrapQuestions()
{
    if (m_files.revision().isValid() || now() < m_nextQuestionAt || m_peers.empty())
        return;
    m_nextQuestionAt = now() + QuestionInterval;
    for (std::size_t i = 0; i < QuestionFanout; ++i) {
        // One of the three questions goes to another zone, in case no member of this zone has a configuration.
        bool isOtherZone = m_zonePeers.empty() || (i == 0 && !m_otherZonePeers.empty());
        if (auto peer = pickRandom(isOtherZone ? m_otherZonePeers : m_zonePeers))
            sendDigest(*peer, DigestKind::Question);
    }
}

void Distributor::spreadRumour()
{
    if (m_rumourRoundsLeft == 0 || now() < m_nextRumourAt)
        return;
    m_nextRumourAt = now() + RumourInterval;
    --m_rumourRoundsLeft;
    if (m_rumourHeardCount >= RumourStopCount)
        m_rumourRoundsLeft = 0;
    auto sendIfBehind = [this](std::vector<Core::VmId> const& peers) {
        auto peer = pickRandom(peers);
        if (peer && m_peers[*peer].revision < m_files.revision())
            sendDigest(*peer);
    };
    for (unsigned i = 0; i < RumourFanout; ++i)
        sendIfBehind(m_zonePeers);
    // Other zones have their own readers; this reaches zones that are cut off from the platform.
    if (m_readScheduler.isReader(now()))
        sendIfBehind(m_otherZonePeers);
}

void Distributor::runAntiEntropy()
{
    if (now() < m_nextAntiEntropyAt)
        return;
    m_nextAntiEntropyAt = now() + AntiEntropyInterval;
    if (auto peer = pickRandom(m_zonePeers))
        sendDigest(*peer);
    if (m_readScheduler.isReader(now())) {
        if (auto peer = pickRandom(m_otherZonePeers))
            sendDigest(*peer);
    }
}

void Distributor::requestTarget()
{
    if (m_transfer && m_transfer->revision() <= m_files.revision())
        m_transfer = std::nullopt;
    if (m_target && (m_target->revision <= m_files.revision() || isRefused(m_target->revision, m_target->digest)))
        m_target = std::nullopt;
    if (m_transfer) {
        continueTransfer();
        return;
    }
    if (!m_target || (m_requestedAt && now() - *m_requestedAt < RequestTimeout))
        return;
    std::erase_if(m_target->sources, [this](Core::VmId vm) { return !m_peers.contains(vm); });
    auto source = pickRandom(m_target->sources);
    if (!source) {
        m_target = std::nullopt;
        return;
    }
    m_requestedAt = now();
    Messages::DeltaRequest request;
    request.fromRevision = m_needsFullCopy ? 0 : toWire(m_files.revision().value());
    request.__set_fromDigest(toWire(m_files.digest()));
    Messages::DistributionMessage message;
    message.__set_deltaRequest(request);
    send(*source, std::move(message));
}

void Distributor::continueTransfer()
{
    if (now() - m_transfer->lastProgressAt() >= TransferTimeout) {
        m_transfer = std::nullopt;
        m_requestedAt = std::nullopt;
        return;
    }
    if (m_transfer->sources().empty())
        return;
    auto& budget = m_files.revision().isValid() ? m_deltaFetchBucket : m_bootstrapFetchBucket;
    while (auto first = m_transfer->nextChunkToRequest(now())) {
        std::size_t count = 0;
        while (count < MaximumChunksPerRequest && m_transfer->needsRequest(*first + count, now())
            && budget.tryConsume(ChunkSize, now())) {
            m_transfer->markRequested(*first + count, now());
            ++count;
        }
        if (count == 0)
            return;
        Messages::CopyRequest request;
        request.revision = toWire(m_transfer->revision().value());
        request.firstChunk = static_cast<std::int32_t>(*first);
        request.__set_chunkCount(static_cast<std::int32_t>(count));
        request.__set_fromRevision(toWire(m_transfer->fromRevision().value()));
        Messages::DistributionMessage message;
        message.__set_copyRequest(request);
        send(*m_transfer->nextSource(), std::move(message));
    }
}

void Distributor::expireEncodedDeltas()
{
    std::erase_if(m_encodedDeltas,
        [this](EncodedDelta const& encodedDelta) { return now() - encodedDelta.lastUsedAt >= EncodedDeltaLifetime; });
}

std::optional<Core::VmId> Distributor::pickRandom(std::vector<Core::VmId> const& peers)
{
    if (peers.empty())
        return std::nullopt;
    return peers[m_random() % peers.size()];
}

void Distributor::sendDigest(Core::VmId receiver, DigestKind kind)
{
    Messages::RevisionDigest digest;
    digest.revision = toWire(m_files.revision().value());
    digest.digest = toWire(m_files.digest());
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_readScheduler.lastAnswerAt());
    digest.__set_platformAgeMilliseconds(static_cast<std::int32_t>(std::min<std::int64_t>(age.count(), INT32_MAX)));
    if (kind == DigestKind::Question)
        digest.__set_isQuestion(true);
    if (kind == DigestKind::Busy)
        digest.__set_isBusy(true);
    Messages::DistributionMessage message;
    message.__set_revisionDigest(digest);
    send(receiver, std::move(message));
}

void Distributor::send(Core::VmId receiver, Messages::DistributionMessage message)
{
    m_outgoing.push_back({ receiver, std::move(message) });
}

}
