#pragma once

#include <LibMembership/Controller.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/ProbeOrder.h>
#include <LibMembership/UpdateQueue.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <random>

namespace Chicorytally::Membership {

/// The implementation of Membership::Controller. Not thread-safe.
///
/// In each probe interval, a process probes the next member of its availability zone in a random order. For each other
/// zone, two members of this zone are chosen by rendezvous hash. In each interval, a chosen member also probes one
/// member of the zones that it was chosen for. So the cost of a process depends on neither the number of members nor
/// the number of zones.
class Detector {
public:
    Detector(Core::Clock const&, Options);

    void receive(Core::VmId sender, Core::Incarnation, Messages::MembershipMessage const&, Core::Endpoint const& from);
    std::vector<OutgoingMessage> tick();

    std::vector<Member> members() const;
    std::optional<Core::Endpoint> endpointOf(Core::VmId) const;
    std::optional<Core::Endpoint> dataEndpointOf(Core::VmId) const;
    void setRevision(Core::Revision);
    void applyVmList(std::vector<PlatformVm> const&);
    void announceLeave();
    Core::Incarnation incarnation() const { return m_incarnation; }
    bool isConfirmed() const;

    /// Returns whether the result of members() changed since the last call that returned true.
    bool takeMembersChanged();
    /// Returns the incarnation that was adopted since the last call, if any.
    std::optional<Core::Incarnation> takeNewIncarnation();

private:
    enum class ProbeStage : std::uint8_t {
        Direct,
        /// Other members were asked to probe the target, and the direct ping was sent again.
        Indirect,
        /// The direct ping was sent a third time.
        Repeated,
    };

    struct Probe {
        Core::VmId target;
        Core::TimePoint startedAt;
        ProbeStage stage { ProbeStage::Direct };
    };

    /// A ping that was sent on behalf of another member.
    struct IndirectProbe {
        Core::VmId requester;
        Core::Endpoint requesterEndpoint;
        std::int64_t requesterSequence { 0 };
        Core::TimePoint startedAt;
    };

    /// A transfer of another member's list, page by page.
    struct SyncSession {
        Core::VmId peer;
        Core::Endpoint endpoint;
        std::int64_t cursor { 0 };
        /// The first synchronisation after the start fetches all members, without a delay between pages.
        bool isFullSync { false };
        Core::TimePoint nextRequest;
        int attempts { 0 };
    };

    void receivePing(Core::VmId, Core::Incarnation, Messages::Ping const&, Core::Endpoint const& from);
    void receiveAck(Core::VmId, Core::Incarnation, Messages::Ack const&, Core::Endpoint const& from);
    void receivePingRequest(Core::VmId, Messages::PingRequest const&, Core::Endpoint const& from);
    void receiveSyncRequest(Core::VmId, Messages::SyncRequest const&, Core::Endpoint const& from);
    void receiveSyncReply(Core::VmId, Messages::SyncReply const&);
    void mergeUpdates(std::vector<Messages::MemberUpdate> const&, bool areWidelyKnown = false);
    void mergeUpdateAboutSelf(Messages::MemberUpdate const&);
    bool isOutdatedAboutSelf(Messages::MemberUpdate const& update) const;
    void adoptIncarnationAbove(std::uint64_t superseded);
    void recordContact(Core::VmId, Core::Revision);
    void compareView(Core::VmId, Core::Endpoint const&, std::int64_t digest);
    bool forwardAck(Core::VmId target, std::int64_t sequence);

    void resumeAfterPause();
    void expireProbes();
    void requestIndirectProbes(std::int64_t sequence, Probe&);
    void repeatProbe(std::int64_t sequence, Probe&);
    void startProbes();
    void probe(Core::VmId);
    void probeSuspects();
    void expireSuspicions();
    void probeDisputed();
    void reconnect();
    void pingSeed();
    void pushSelfUpdate();
    void continueSync();
    void confirmWhenIsolated();
    void removeExpiredMembers();

    void rebuildMemberLists();
    std::vector<Core::VmId> crossZoneTargets(absl::flat_hash_map<Core::ZoneId, std::vector<Core::VmId>> const&) const;
    std::vector<Core::VmId> pickIndirectProbers(Core::VmId target);
    std::optional<Core::VmId> pickReachable();

    std::int64_t sendPing(Core::VmId, Core::Endpoint const&);
    void sendPing(std::int64_t sequence, Core::VmId, Core::Endpoint const&, std::optional<Core::VmId> onBehalfOf);
    void send(Core::VmId, Core::Endpoint const&, Messages::MembershipMessage);
    std::vector<Messages::MemberUpdate> updatesFor(Core::VmId receiver, Core::VmId subject);
    Messages::MemberUpdate selfUpdate() const;
    std::uint32_t selfDigest() const;
    std::int64_t viewDigest() const;
    std::chrono::nanoseconds suspicionTimeout() const;
    unsigned sendLimit() const;
    void queueUpdate(Core::VmId);
    void queueSelfUpdate();
    std::size_t randomBelow(std::size_t bound);
    Core::TimePoint now() const { return m_clock.now(); }

    Core::Clock const& m_clock;
    Options m_options;
    std::mt19937_64 m_random;
    Core::Incarnation m_incarnation;
    std::uint32_t m_refutation { 0 };
    Core::Revision m_revision;
    bool m_isLeaving { false };

    MemberTable m_table;
    UpdateQueue m_updates;
    ProbeOrder m_zoneOrder;
    ProbeOrder m_crossZoneOrder;
    std::vector<Core::VmId> m_reachable;
    std::vector<Core::VmId> m_reachableInZone;
    std::vector<Core::VmId> m_unreachable;
    bool m_areMemberListsStale { true };

    absl::flat_hash_map<std::int64_t, Probe> m_probes;
    absl::flat_hash_map<std::int64_t, IndirectProbe> m_indirectProbes;
    absl::flat_hash_set<Core::VmId> m_suspects;
    /// Members that don't know this process, or have outdated information about it.
    absl::flat_hash_set<Core::VmId> m_membersNeedingSelfUpdate;
    /// Members that others declared dead and that this process has yet to probe.
    std::vector<Core::VmId> m_disputed;
    std::vector<Core::Endpoint> m_platformSeeds;
    std::optional<SyncSession> m_syncSession;
    bool m_hasJoined { false };

    std::int64_t m_sequence;
    Core::TimePoint m_startedAt;
    Core::TimePoint m_lastReceivedAt;
    std::optional<Core::TimePoint> m_lastTick;
    Core::TimePoint m_nextProbe;
    Core::TimePoint m_nextReconnect;
    Core::TimePoint m_nextSeedPing;
    Core::TimePoint m_nextExpiry;
    Core::TimePoint m_nextRebuild;
    Core::TimePoint m_nextMembersNotification;
    Core::TimePoint m_nextSyncSession;
    std::optional<Core::TimePoint> m_viewDiffersSince;
    int m_pushesLeft { 0 };
    Core::TimePoint m_nextPush;
    Core::TimePoint m_nextDisputedProbe;

    bool m_isConfirmed { false };
    Core::TimePoint m_unconfirmedSince;
    /// Only an ack with a greater sequence confirms the incarnation, so that an ack to a ping from before the start, a
    /// pause or a declared death doesn't.
    std::int64_t m_confirmationSequenceThreshold;
    std::optional<Core::TimePoint> m_confirmedAt;

    std::vector<OutgoingMessage> m_outgoing;
    bool m_haveMembersChanged { false };
    std::optional<Core::Incarnation> m_newIncarnation;
};

}
