#pragma once

#include <LibDistribution/Controller.h>
#include <LibDistribution/PlatformReadScheduler.h>
#include <LibDistribution/TokenBucket.h>
#include <LibDistribution/Transfer.h>
#include <LibDistribution/VersionedFiles.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <random>

namespace Chicorytally::Distribution {

/// A complete file set that is newer than the one in force and awaits validation.
struct Candidate {
    Core::Revision revision;
    std::uint64_t digest { 0 };
    FileSet files;
};

/// The implementation of Distribution::Controller. Not thread-safe.
///
/// A new revision spreads within the zone by rumour mongering (Demers et al. 1987): a member that has just accepted it
/// sends its digest to two random members per round until it has received the revision from enough others. A member
/// that is behind requests a delta from the sender. Anti-entropy covers members that the rumour missed: each member
/// sends its digest to a random member of the zone once a second, and the readers also do so across zones.
class Distributor {
public:
    Distributor(Core::Clock const&, Options);

    void offerPlatformCopy(Core::Revision, FileSet);
    void platformUnchanged();
    void platformFailed();
    bool tryStartPlatformRead();
    void receive(Core::VmId sender, Messages::DistributionMessage const&);
    std::vector<OutgoingMessage> tick();
    void applyMembers(std::vector<Peer> const&);

    std::optional<Candidate> takeCandidate() { return std::exchange(m_candidate, std::nullopt); }
    void commit(Candidate);
    void refuse(Candidate const&, std::string reason);

    VersionedFiles const& files() const { return m_files; }
    Core::Revision platformRevision() const { return m_platformRevision; }
    Counters const& counters() const { return m_counters; }
    std::string const& lastRefusal() const { return m_lastRefusal; }

private:
    struct PeerState {
        Core::ZoneId zone;
        /// The newest revision that the peer is known to have.
        Core::Revision revision;
        bool hasAnswered { false };
    };

    /// A revision to fetch: the newest one that peers are known to have.
    struct Target {
        Core::Revision revision;
        std::uint64_t digest { 0 };
        std::vector<Core::VmId> sources;
    };

    /// An encoded delta, kept while receivers fetch its chunks, even if a newer revision is in force by then.
    struct EncodedDelta {
        Core::Revision revision;
        std::uint64_t digest { 0 };
        /// The base revision that the receiver requested. It differs from fromRevision if a full copy is served
        /// instead.
        Core::Revision requestedFrom;
        Core::Revision fromRevision;
        std::string bytes;
        Core::TimePoint lastUsedAt;
    };

    void receiveDigest(Core::VmId, Messages::RevisionDigest const&);
    void receiveDeltaRequest(Core::VmId, Messages::DeltaRequest const&);
    void receiveDelta(Messages::Delta const&);
    void receiveCopyRequest(Core::VmId, Messages::CopyRequest const&);
    void receiveCopyChunk(Core::VmId, Messages::CopyChunk const&);
    void updateTarget(Core::VmId, Core::Revision, std::uint64_t digest);
    void removeSource(Core::VmId);
    void setCandidate(Core::Revision, FileSet, std::uint64_t digest);
    void applyDelta(Messages::Delta const&);

    void releasePendingPlatformCopy();
    void sendBootstrapQuestions();
    void spreadRumour();
    void runAntiEntropy();
    void requestTarget();
    void continueTransfer();
    void expireEncodedDeltas();

    EncodedDelta* findEncodedDelta(Core::Revision, Core::Revision requestedFrom);
    EncodedDelta& findOrEncodeDelta(Core::Revision requestedFrom);
    void sendChunk(Core::VmId, EncodedDelta const&, std::size_t index);
    enum class DigestKind : std::uint8_t {
        Statement,
        Question,
        Busy,
    };

    void sendDigest(Core::VmId, DigestKind = DigestKind::Statement);
    /// Whether the receiver may fetch the delta now. Limits the number of concurrent receivers of large deltas.
    bool admitReceiver(Core::VmId, EncodedDelta const&);
    void send(Core::VmId, Messages::DistributionMessage);
    std::optional<Core::VmId> pickRandom(std::vector<Core::VmId> const&);
    bool isRefused(Core::Revision, std::uint64_t digest) const;
    bool isPlausible(Core::Revision, FileSet const&);
    Core::TimePoint now() const { return m_clock.now(); }

    Core::Clock const& m_clock;
    Options m_options;
    std::mt19937_64 m_random;
    PlatformReadScheduler m_readScheduler;
    VersionedFiles m_files;
    Counters m_counters;
    std::string m_lastRefusal;
    std::vector<std::pair<Core::Revision, std::uint64_t>> m_refused;
    std::optional<Candidate> m_candidate;

    std::vector<Peer> m_members;
    absl::btree_map<Core::VmId, PeerState> m_peers;
    std::vector<Core::VmId> m_zonePeers;
    std::vector<Core::VmId> m_otherZonePeers;

    Core::TimePoint m_startedAt;
    std::optional<Core::TimePoint> m_firstPeerAt;
    /// The copy that the platform returned while this process was still waiting for answers of its peers.
    std::optional<Candidate> m_pendingPlatformCopy;
    Core::Revision m_platformRevision;
    Core::TimePoint m_nextQuestionAt;

    std::optional<Target> m_target;
    std::optional<Transfer> m_transfer;
    std::optional<Core::TimePoint> m_requestedAt;
    /// Whether the last delta didn't apply, so that a full copy must be requested.
    bool m_needsFullCopy { false };
    TokenBucket m_deltaFetchBucket;
    TokenBucket m_bootstrapFetchBucket;
    TokenBucket m_serveBucket;
    std::vector<EncodedDelta> m_encodedDeltas;
    /// The receivers of large deltas and the time of their last request.
    absl::flat_hash_map<Core::VmId, Core::TimePoint> m_largeDeltaReceivers;

    unsigned m_rumourRoundsLeft { 0 };
    unsigned m_rumourHeardCount { 0 };
    Core::TimePoint m_nextRumourAt;
    Core::TimePoint m_nextAntiEntropyAt;
    std::vector<OutgoingMessage> m_outgoing;
};

}
