#pragma once

#include <LibDistribution/Budget.h>
#include <LibDistribution/Controller.h>
#include <LibDistribution/ReaderRole.h>
#include <LibDistribution/Transfer.h>
#include <LibDistribution/VersionedFiles.h>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <random>

namespace Chicorytally::Distribution {

/// A complete file set that is newer than the one in force and still to be validated.
struct Candidate {
    Core::Revision revision;
    std::uint64_t digest { 0 };
    FileSet files;
};

/// The state behind Distribution::Controller. Not thread-safe.
///
/// A new revision spreads as a rumour within the zone (Demers et al. 1987): a member that has just accepted it tells
/// two random members per round until it has heard of it from enough others. A member that is behind asks the teller
/// for a delta. A digest to a random member each second repairs what the rumour missed, and the readers do the same
/// across zones.
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
        /// Newest revision that the peer is known to have.
        Core::Revision revision;
        bool hasAnswered { false };
    };

    /// The newest revision that peers have and this process lacks.
    struct Target {
        Core::Revision revision;
        std::uint64_t digest { 0 };
        std::vector<Core::VmId> sources;
    };

    /// An encoded delta, kept while receivers fetch its chunks, also after a newer revision came into force.
    struct Blob {
        Core::Revision revision;
        std::uint64_t digest { 0 };
        /// As the receiver asked.
        Core::Revision askedFrom;
        Core::Revision fromRevision;
        std::string bytes;
        Core::TimePoint usedAt;
    };

    void receiveDigest(Core::VmId, Messages::RevisionDigest const&);
    void receiveDeltaRequest(Core::VmId, Messages::DeltaRequest const&);
    void receiveDelta(Messages::Delta const&);
    void receiveCopyRequest(Core::VmId, Messages::CopyRequest const&);
    void receiveCopyChunk(Core::VmId, Messages::CopyChunk const&);
    void noteTarget(Core::VmId, Core::Revision, std::uint64_t digest);
    void dropSource(Core::VmId);
    void offer(Core::Revision, FileSet, std::uint64_t digest);
    void applyDelta(Messages::Delta const&);

    void releaseHeldCopy();
    void askAsNewcomer();
    void spreadRumour();
    void compareWithPeers();
    void pull();
    void continueTransfer();
    void dropOldBlobs();

    Blob* findBlob(Core::Revision, Core::Revision askedFrom);
    Blob& makeBlob(Core::Revision askedFrom);
    void sendChunk(Core::VmId, Blob const&, std::size_t index);
    enum class DigestKind : std::uint8_t {
        Statement,
        Question,
        Busy,
    };

    void sendDigest(Core::VmId, DigestKind = DigestKind::Statement);
    /// Whether the receiver may fetch the blob now.
    bool admitReceiver(Core::VmId, Blob const&);
    void send(Core::VmId, Messages::DistributionMessage);
    std::optional<Core::VmId> pick(std::vector<Core::VmId> const&);
    bool isRefused(Core::Revision, std::uint64_t digest) const;
    bool isPlausible(Core::Revision, FileSet const&);
    Core::TimePoint now() const { return m_clock.now(); }

    Core::Clock const& m_clock;
    Options m_options;
    std::mt19937_64 m_random;
    ReaderRole m_role;
    VersionedFiles m_files;
    Counters m_counters;
    std::string m_lastRefusal;
    std::vector<std::pair<Core::Revision, std::uint64_t>> m_refused;
    std::optional<Candidate> m_candidate;

    std::vector<Peer> m_members;
    absl::btree_map<Core::VmId, PeerState> m_peers;
    std::vector<Core::VmId> m_zonePeers;
    std::vector<Core::VmId> m_otherPeers;

    Core::TimePoint m_startedAt;
    std::optional<Core::TimePoint> m_peersSince;
    /// What the platform gave while this process still asked its peers.
    std::optional<Candidate> m_heldCopy;
    Core::Revision m_platformRevision;
    Core::TimePoint m_nextQuestion;

    std::optional<Target> m_target;
    std::optional<Transfer> m_transfer;
    std::optional<Core::TimePoint> m_requestedAt;
    /// The last delta didn't fit, so a full copy is needed.
    bool m_needsFullCopy { false };
    Budget m_pullBudget;
    Budget m_newcomerBudget;
    Budget m_serveBudget;
    std::vector<Blob> m_blobs;
    /// Receivers of large blobs and when they last asked.
    absl::flat_hash_map<Core::VmId, Core::TimePoint> m_receivers;

    unsigned m_rumourRounds { 0 };
    unsigned m_rumourHeard { 0 };
    Core::TimePoint m_nextRumour;
    Core::TimePoint m_nextComparison;
    std::vector<OutgoingMessage> m_outgoing;
};

}
