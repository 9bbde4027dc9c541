#pragma once

#include <LibPlacement/NoticeTracker.h>
#include <LibPlacement/Options.h>
#include <LibPlacement/Outbox.h>
#include <LibPlacement/Ownership.h>
#include <LibPlacement/PeerList.h>
#include <LibPlacement/ServiceState.h>
#include <LibPlacement/SnapshotHolder.h>

#include <absl/base/thread_annotations.h>

#include <map>

namespace Chicorytally::Placement {

/// The control path: applies configurations and member views, exchanges bucket states and records with the other
/// members and decides when buckets change their state. Thread-safe; m_lock is taken before the locks of groups.
class Coordinator {
public:
    Coordinator(Core::Clock const&, EngineOptions const&, EngineHooks const&, SnapshotHolder&, SharedState&);

    void applyConfiguration(std::shared_ptr<Model::Configuration const>);
    void applyMembers(MemberView const&);
    void receive(Core::VmId sender, Messages::PlacementMessage const&);
    std::vector<OutgoingMessage> tick();
    void prepareShutdown();
    bool isDrained() const;
    bool isSynchronised() const;
    /// tick() has not run for longer than PauseLimit.
    bool isPaused(Core::TimePoint now) const;

private:
    struct Service {
        ServiceView view;
        UpstreamIndexMap directory;
    };

    /// The group being processed, with its lock held.
    struct GroupContext {
        Service& service;
        std::size_t index;
        BucketGroup& group;
        Core::TimePoint now;

        Core::ServiceId id() const { return service.view.state->id(); }
        std::uint32_t bucketIndex(std::size_t bucketInGroup) const
        {
            return static_cast<std::uint32_t>(index * BucketGroup::BucketCount + bucketInGroup);
        }
        void publish(std::size_t bucketInGroup) const { service.view.state->publish(bucketIndex(bucketInGroup)); }
        IndexedUpstream const* upstream(UpstreamIndex upstreamIndex) const
        {
            auto const& entries = service.directory.entries();
            return upstreamIndex < entries.size() ? &entries[upstreamIndex] : nullptr;
        }
    };

    struct RecordUpdate {
        std::uint32_t bucket;
        FlowHash flow;
        UpstreamIndex upstream;
        std::chrono::milliseconds age;
        std::uint32_t generation;
        bool isRemoval;
    };

    struct BucketStateEntry {
        std::uint32_t bucket;
        Epoch epoch;
        UpstreamIndex baseline;
        bool isTracked;
        bool isBaselineClosed;
    };

    enum class EntryResult : std::uint8_t {
        /// To be acknowledged.
        Applied,
        /// This balancer has a newer state, which must be sent back.
        Outdated,
        /// Neither acknowledged nor replied to; the sender resends it.
        Ignored,
    };

    /// Orders with the same key share messages.
    struct OrderKey {
        Core::ServiceId service;
        Core::VmId receiver;
        Messages::GroupOrderKind::type kind;

        friend auto operator<=>(OrderKey const&, OrderKey const&) = default;
    };

    /// Messages that the groups of one service send in one tick, by receiver.
    struct DueMessages {
        std::map<Core::VmId, std::vector<BucketStateEntry>> entries;
        std::map<Core::VmId, std::vector<RecordUpdate>> records;
        std::map<Core::VmId, std::vector<std::uint32_t>> claims;
    };

    // Ownership of groups.
    void reconcileAll(Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void reconcile(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void startClaim(GroupContext const&, bool isResuming) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void advanceClaim(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void activate(GroupContext const&, bool isClaimed) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void chooseReplicaPeer(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void advanceReplication(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void discardRecords(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void resynchroniseAfterPause(Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    // States of buckets.
    void refreshTargets(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void updateOwnedBuckets(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void updatePermission(GroupContext const&, std::size_t bucketInGroup) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sweep(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void expireRecords(GroupContext const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void advanceTrackedBucket(GroupContext const&, std::size_t bucketInGroup) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void propose(GroupContext const&, std::size_t bucketInGroup, UpstreamIndex baseline, bool isTracked)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void applyProposal(GroupContext const&, std::size_t bucketInGroup) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    EntryResult applyEntry(GroupContext const&, std::size_t bucketInGroup, BucketStateEntry const&, Core::VmId sender,
        bool isCorrection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    /// Applies an entry while two members act as owner of the group, as after a partition.
    EntryResult applyEntryToOwned(GroupContext const&, std::size_t bucketInGroup, BucketStateEntry const&,
        Core::VmId sender, bool isCorrection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void merge(GroupContext const&, std::size_t bucketInGroup, BucketStateEntry const&, Epoch)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    // Messages.
    void processGroup(GroupContext const&, DueMessages&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void collectEntries(GroupContext const&, DueMessages&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void collectRecords(GroupContext const&, DueMessages&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sendDueMessages(Service&, DueMessages const&, Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sendEntries(Service&, Core::VmId, std::span<BucketStateEntry const>, bool isCorrection, Core::TimePoint)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sendRecords(Service&, Core::VmId, std::span<RecordUpdate const>, Core::TimePoint)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void queueOrder(GroupContext const&, Core::VmId, Messages::GroupOrderKind::type)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sendOrders(Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void requestStates(Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    void receiveNotice(Core::VmId, Messages::BucketNotice const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveRecords(Core::VmId, Messages::RecordBatch const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveRecord(GroupContext const&, Messages::FlowRecordCopy const&, UpstreamIndex)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveClaim(Core::VmId, Messages::GroupClaim const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveClaimReply(Core::VmId, Messages::GroupClaimReply const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveOrder(Core::VmId, Messages::GroupOrder const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveAcknowledgement(Core::VmId, std::int64_t sequence) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    Service* findService(std::int64_t id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    std::vector<UpstreamIndex> intern(Service&, std::vector<Messages::UpstreamReference> const&)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void publishSnapshot() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    /// Calls the function for each group with its lock held.
    template <typename Function> void forEachGroup(Core::TimePoint, Function) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    Core::Clock const& m_clock;
    EngineOptions const& m_options;
    EngineHooks const& m_hooks;
    SnapshotHolder& m_snapshots;
    SharedState& m_shared;

    mutable absl::Mutex m_lock;
    std::shared_ptr<Model::Configuration const> m_configuration ABSL_GUARDED_BY(m_lock);
    std::map<Core::ServiceId, Service> m_services ABSL_GUARDED_BY(m_lock);
    PeerList m_peers ABSL_GUARDED_BY(m_lock);
    NoticeTracker m_notices ABSL_GUARDED_BY(m_lock);
    Outbox m_outbox ABSL_GUARDED_BY(m_lock);
    std::vector<OutgoingMessage> m_outgoing ABSL_GUARDED_BY(m_lock);
    std::map<OrderKey, std::vector<Outbox::Content::Item>> m_dueOrders ABSL_GUARDED_BY(m_lock);
    std::map<Core::VmId, std::vector<std::int64_t>> m_acknowledgements ABSL_GUARDED_BY(m_lock);
    /// Members that are new or have restarted in the view being applied; they hold no copies.
    std::vector<Core::VmId> m_restarted ABSL_GUARDED_BY(m_lock);
    bool m_isLeaving ABSL_GUARDED_BY(m_lock) { false };
    double m_copyBudget ABSL_GUARDED_BY(m_lock) { 0 };
    Core::TimePoint m_copyBudgetUpdatedAt ABSL_GUARDED_BY(m_lock);
    Core::TimePoint m_lastSweepAt ABSL_GUARDED_BY(m_lock);
    Core::TimePoint m_statesRequestedAt ABSL_GUARDED_BY(m_lock);
    /// Zero before the first tick.
    std::atomic<Core::TimePoint::rep> m_lastTick { 0 };
};

template <typename Function> void Coordinator::forEachGroup(Core::TimePoint now, Function function)
{
    for (auto& [id, service] : m_services) {
        auto& state = *service.view.state;
        for (std::size_t index = 0; index < state.groupCount(); ++index) {
            auto& group = state.group(index);
            absl::MutexLock lock { &group.lock };
            function(GroupContext { service, index, group, now });
        }
    }
}

}
