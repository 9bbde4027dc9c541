#include <LibDistribution/Distributor.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <bit>

namespace Chicorytally::Distribution {

using namespace std::chrono_literals;

/// Content of a chunk; with its fields, the envelope and the headers it fits in 1,200 bytes.
static constexpr std::size_t ChunkSize = 1000;
static constexpr std::size_t MaximumChunksPerRequest = 16;
static constexpr std::size_t MaximumBlobs = 4;
static constexpr std::size_t MaximumSources = 4;
static constexpr std::size_t MaximumRefused = 16;
/// Answers of this many peers are enough to trust the platform's copy.
static constexpr std::size_t QuestionFanout = 3;
static constexpr unsigned RumourFanout = 2;
static constexpr unsigned RumourExtraRounds = 2;
/// A member that has heard the rumour from this many others stops telling it.
static constexpr unsigned RumourHeardEnough = 3;
static constexpr std::chrono::milliseconds RumourInterval { 200 };
static constexpr std::chrono::milliseconds ComparisonInterval { 1000 };
static constexpr std::chrono::milliseconds QuestionInterval { 500 };
static constexpr std::chrono::milliseconds RequestTimeout { 500 };
/// A transfer without progress ends after this time; its sources may have been busy with others.
static constexpr std::chrono::seconds TransferTimeout { 30 };
/// Only so many receivers of large blobs are served at a time. When many processes start at once, the first ones then
/// finish early and serve others, so that the time grows with the logarithm of their number.
static constexpr std::size_t MaximumReceivers = 2;
static constexpr std::size_t LargeBlob = 50 * ChunkSize;
static constexpr std::chrono::milliseconds ReceiverTimeout { 1500 };
static constexpr std::chrono::seconds BlobTime { 30 };
static constexpr std::chrono::milliseconds PullBurst { 2000 };
static constexpr std::chrono::milliseconds NewcomerBurst { 200 };
static constexpr std::chrono::milliseconds ServeBurst { 1000 };
/// A newcomer that can't get the newer copy of its peers uses the platform's after this many times its peer wait.
static constexpr int HeldCopyPatience = 4;

static std::int64_t toWire(std::uint64_t value) { return static_cast<std::int64_t>(value); }
static Core::Revision revisionFrom(std::int64_t value) { return Core::Revision { static_cast<std::uint64_t>(value) }; }

Distributor::Distributor(Core::Clock const& clock, Options options)
    : m_clock(clock)
    , m_options(options)
    , m_random(m_options.randomSeed)
    , m_role(m_options, clock.now(), m_random)
    , m_startedAt(clock.now())
    , m_pullBudget(m_options.deltaBytesPerSecond, PullBurst)
    , m_newcomerBudget(m_options.bootstrapBytesPerSecond, NewcomerBurst)
    , m_serveBudget(m_options.serveBytesPerSecond, ServeBurst)
{
    m_nextComparison = now() + ComparisonInterval * (m_random() % 100) / 100;
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

void Distributor::offer(Core::Revision revision, FileSet files, std::uint64_t digest)
{
    bool isNewest = revision > m_files.revision() && (!m_candidate || revision > m_candidate->revision);
    if (isNewest && !isRefused(revision, digest))
        m_candidate = Candidate { revision, digest, std::move(files) };
}

void Distributor::offerPlatformCopy(Core::Revision revision, FileSet files)
{
    m_role.succeeded(now());
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
        offer(revision, std::move(files), digest);
        return;
    }
    if (!m_heldCopy || revision > m_heldCopy->revision)
        m_heldCopy = Candidate { revision, digest, std::move(files) };
    releaseHeldCopy();
}

void Distributor::releaseHeldCopy()
{
    if (!m_heldCopy)
        return;
    bool isNewer = !m_target || m_target->revision < m_heldCopy->revision;
    auto answers = static_cast<std::size_t>(
        std::count_if(m_peers.begin(), m_peers.end(), [](auto const& item) { return item.second.hasAnswered; }));
    bool haveEnoughAnswered = !m_peers.empty() && answers >= std::min(QuestionFanout, m_peers.size());
    auto waitedSince = m_peersSince.value_or(m_startedAt);
    bool hasWaited = now() - waitedSince >= m_options.peerTimeout;
    bool isOutOfPatience = now() - waitedSince >= HeldCopyPatience * m_options.peerTimeout;
    if (!(isNewer && (haveEnoughAnswered || hasWaited)) && !isOutOfPatience)
        return;
    auto copy = *std::exchange(m_heldCopy, std::nullopt);
    offer(copy.revision, std::move(copy.files), copy.digest);
}

void Distributor::platformUnchanged() { m_role.succeeded(now()); }

void Distributor::platformFailed()
{
    ++m_counters.platformFailures;
    m_role.failed(now());
}

bool Distributor::tryStartPlatformRead()
{
    if (!m_role.shouldRead(now()))
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
    m_rumourRounds = static_cast<unsigned>(std::bit_width(m_zonePeers.size())) + RumourExtraRounds;
    m_rumourHeard = 0;
    m_nextRumour = now();
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
    // Most reports of members change nothing that matters here.
    if (peers == m_members)
        return;
    m_members = peers;
    absl::btree_map<Core::VmId, PeerState> next;
    std::vector<Core::VmId> zoneMembers;
    m_zonePeers.clear();
    m_otherPeers.clear();
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
        (peer.zone == m_options.zone ? m_zonePeers : m_otherPeers).push_back(peer.vm);
    }
    m_peers = std::move(next);
    m_role.applyZone(zoneMembers);
    if (!m_peersSince && !m_peers.empty())
        m_peersSince = now();
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
            m_role.noteAnswer(now() - std::chrono::milliseconds { message.platformAgeMilliseconds });
    }
    auto own = m_files.revision();
    if (revision == own && own.isValid()) {
        ++m_rumourHeard;
        m_counters.conflictingCopies += digest != m_files.digest() ? 1 : 0;
    }
    if (message.__isset.isBusy && message.isBusy) {
        dropSource(sender);
        return;
    }
    if (revision > own)
        noteTarget(sender, revision, digest);
    if (isQuestion || revision < own)
        sendDigest(sender);
    if (m_transfer && revision == m_transfer->revision() && digest == m_transfer->digest()
        && !m_transfer->fromRevision().isValid() && m_transfer->sources().size() < MaximumSources)
        m_transfer->addSource(sender);
}

void Distributor::dropSource(Core::VmId source)
{
    if (m_target)
        std::erase(m_target->sources, source);
    if (m_transfer)
        m_transfer->removeSource(source);
    m_requestedAt = std::nullopt;
}

void Distributor::noteTarget(Core::VmId sender, Core::Revision revision, std::uint64_t digest)
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

Distributor::Blob* Distributor::findBlob(Core::Revision revision, Core::Revision askedFrom)
{
    for (auto& blob : m_blobs) {
        if (blob.revision == revision && blob.askedFrom == askedFrom)
            return &blob;
    }
    return nullptr;
}

Distributor::Blob& Distributor::makeBlob(Core::Revision askedFrom)
{
    if (auto* blob = findBlob(m_files.revision(), askedFrom))
        return *blob;
    if (m_blobs.size() >= MaximumBlobs) {
        auto oldest = std::min_element(m_blobs.begin(), m_blobs.end(),
            [](Blob const& first, Blob const& second) { return first.usedAt < second.usedAt; });
        m_blobs.erase(oldest);
    }
    auto delta = m_files.deltaFrom(askedFrom);
    m_blobs.push_back(
        { m_files.revision(), m_files.digest(), askedFrom, revisionFrom(delta.fromRevision), encode(delta), now() });
    return m_blobs.back();
}

bool Distributor::admitReceiver(Core::VmId receiver, Blob const& blob)
{
    if (blob.bytes.size() <= LargeBlob)
        return true;
    absl::erase_if(m_receivers, [this](auto const& item) { return now() - item.second >= ReceiverTimeout; });
    if (!m_receivers.contains(receiver) && m_receivers.size() >= MaximumReceivers)
        return false;
    m_receivers[receiver] = now();
    return true;
}

void Distributor::receiveDeltaRequest(Core::VmId sender, Messages::DeltaRequest const& request)
{
    auto from = revisionFrom(request.fromRevision);
    if (from >= m_files.revision()) {
        sendDigest(sender);
        return;
    }
    auto& blob = makeBlob(from);
    blob.usedAt = now();
    if (!admitReceiver(sender, blob)) {
        sendDigest(sender, DigestKind::Busy);
        return;
    }
    if (!m_serveBudget.take(static_cast<double>(std::min(blob.bytes.size(), ChunkSize)), now()))
        return;
    if (blob.bytes.size() > ChunkSize) {
        sendChunk(sender, blob, 0);
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
    auto* blob = findBlob(revision, from);
    if (!blob && revision == m_files.revision())
        blob = &makeBlob(from);
    if (!blob) {
        sendDigest(sender);
        return;
    }
    blob->usedAt = now();
    if (!admitReceiver(sender, *blob)) {
        sendDigest(sender, DigestKind::Busy);
        return;
    }
    auto wanted = request.__isset.chunkCount ? static_cast<std::size_t>(std::max(request.chunkCount, 0)) : 1;
    auto first = static_cast<std::size_t>(std::max(request.firstChunk, 0));
    for (std::size_t i = 0; i < std::min(wanted, MaximumChunksPerRequest); ++i) {
        bool isWithin = (first + i) * ChunkSize < blob->bytes.size();
        if (!isWithin || !m_serveBudget.take(ChunkSize, now()))
            return;
        sendChunk(sender, *blob, first + i);
    }
}

void Distributor::sendChunk(Core::VmId receiver, Blob const& blob, std::size_t index)
{
    Messages::CopyChunk chunk;
    chunk.revision = toWire(blob.revision.value());
    chunk.digest = toWire(blob.digest);
    chunk.index = static_cast<std::int32_t>(index);
    chunk.count = static_cast<std::int32_t>((blob.bytes.size() + ChunkSize - 1) / ChunkSize);
    chunk.content = blob.bytes.substr(index * ChunkSize, ChunkSize);
    chunk.__set_fromRevision(toWire(blob.fromRevision.value()));
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
        offer(revision, std::move(*files), static_cast<std::uint64_t>(delta.toDigest));
}

void Distributor::receiveDelta(Messages::Delta const& delta)
{
    auto from = revisionFrom(delta.fromRevision);
    bool isUsable = !from.isValid() || from == m_files.revision();
    // A late answer to an earlier request says nothing about the files in force.
    if (!isUsable || revisionFrom(delta.toRevision) <= m_files.revision())
        return;
    m_requestedAt = std::nullopt;
    applyDelta(delta);
}

void Distributor::receiveCopyChunk(Core::VmId sender, Messages::CopyChunk const& chunk)
{
    auto from = revisionFrom(chunk.__isset.fromRevision ? chunk.fromRevision : 0);
    bool isUsable = !from.isValid() || from == m_files.revision();
    if (!isUsable || revisionFrom(chunk.revision) <= m_files.revision())
        return;
    if (!m_transfer) {
        m_transfer = Transfer::create(chunk, sender, now());
        if (!m_transfer)
            return;
        // Chunks of a full copy are the same on all peers.
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

// --- Ticking ---

std::vector<OutgoingMessage> Distributor::tick()
{
    releaseHeldCopy();
    askAsNewcomer();
    spreadRumour();
    compareWithPeers();
    pull();
    dropOldBlobs();
    return std::exchange(m_outgoing, {});
}

void Distributor::askAsNewcomer()
{
    if (m_files.revision().isValid() || now() < m_nextQuestion || m_peers.empty())
        return;
    m_nextQuestion = now() + QuestionInterval;
    for (std::size_t i = 0; i < QuestionFanout; ++i) {
        // Most questions stay in the zone; one in three also finds another zone when the own one has nothing.
        bool isOutside = m_zonePeers.empty() || (i == 0 && !m_otherPeers.empty());
        if (auto peer = pick(isOutside ? m_otherPeers : m_zonePeers))
            sendDigest(*peer, DigestKind::Question);
    }
}

void Distributor::spreadRumour()
{
    if (m_rumourRounds == 0 || now() < m_nextRumour)
        return;
    m_nextRumour = now() + RumourInterval;
    --m_rumourRounds;
    if (m_rumourHeard >= RumourHeardEnough)
        m_rumourRounds = 0;
    auto tell = [this](std::vector<Core::VmId> const& peers) {
        auto peer = pick(peers);
        if (peer && m_peers[*peer].revision < m_files.revision())
            sendDigest(*peer);
    };
    for (unsigned i = 0; i < RumourFanout; ++i)
        tell(m_zonePeers);
    // Other zones have readers of their own; this serves zones that are cut off from the platform.
    if (m_role.isReader(now()))
        tell(m_otherPeers);
}

void Distributor::compareWithPeers()
{
    if (now() < m_nextComparison)
        return;
    m_nextComparison = now() + ComparisonInterval;
    if (auto peer = pick(m_zonePeers))
        sendDigest(*peer);
    if (m_role.isReader(now())) {
        if (auto peer = pick(m_otherPeers))
            sendDigest(*peer);
    }
}

void Distributor::pull()
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
    auto source = pick(m_target->sources);
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
    if (now() - m_transfer->progressAt() >= TransferTimeout) {
        m_transfer = std::nullopt;
        m_requestedAt = std::nullopt;
        return;
    }
    if (m_transfer->sources().empty())
        return;
    auto& budget = m_files.revision().isValid() ? m_pullBudget : m_newcomerBudget;
    while (auto first = m_transfer->nextMissing(now())) {
        std::size_t count = 0;
        while (count < MaximumChunksPerRequest && m_transfer->isMissing(*first + count, now())
            && budget.take(ChunkSize, now())) {
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

void Distributor::dropOldBlobs()
{
    std::erase_if(m_blobs, [this](Blob const& blob) { return now() - blob.usedAt >= BlobTime; });
}

std::optional<Core::VmId> Distributor::pick(std::vector<Core::VmId> const& peers)
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
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - m_role.answeredAt());
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
