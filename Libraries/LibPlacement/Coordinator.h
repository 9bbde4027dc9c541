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
/// members and decides when buckets change their state. Thread-safe; locks itself before groups.
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
    /// The control path has not run for longer than PauseLimit.
    bool isPaused(Core::TimePoint now) const;

private:
    struct Service {
        ServiceView view;
        UpstreamIndexMap directory;
    };

    /// One group that is worked on, with its lock held.
    struct Work {
        Service& service;
        std::size_t index;
        BucketGroup& group;
        Core::TimePoint now;

        Core::ServiceId id() const { return service.view.state->id(); }
        std::uint32_t bucketIndex(std::size_t inGroup) const
        {
            return static_cast<std::uint32_t>(index * BucketGroup::BucketCount + inGroup);
        }
        void publish(std::size_t inGroup) const { service.view.state->publish(bucketIndex(inGroup)); }
        IndexedUpstream const* upstream(UpstreamIndex upstreamIndex) const
        {
            auto const& entries = service.directory.entries();
            return upstreamIndex < entries.size() ? &entries[upstreamIndex] : nullptr;
        }
    };

    struct DueRecord {
        std::uint32_t bucket;
        FlowHash flow;
        UpstreamIndex upstream;
        std::chrono::milliseconds age;
        std::uint32_t generation;
        bool isRemoval;
    };

    struct DueEntry {
        std::uint32_t bucket;
        Epoch epoch;
        UpstreamIndex baseline;
        bool isTracked;
        bool isBaselineClosed;
    };

    enum class EntryResult : std::uint8_t {
        /// To be acknowledged.
        Applied,
        /// This balancer has a newer state, which the sender must learn.
        Outdated,
        /// Neither acknowledged nor answered; the sender repeats it.
        Ignored,
    };

    /// Orders to one receiver go into one message.
    struct OrderKey {
        Core::ServiceId service;
        Core::VmId receiver;
        Messages::GroupOrderKind::type kind;

        friend auto operator<=>(OrderKey const&, OrderKey const&) = default;
    };

    /// What the groups of one service have to say in one tick, by receiver.
    struct DueMessages {
        std::map<Core::VmId, std::vector<DueEntry>> entries;
        std::map<Core::VmId, std::vector<DueRecord>> records;
        std::map<Core::VmId, std::vector<std::uint32_t>> claims;
    };

    // Ownership of groups.
    void reconcileAll(Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void reconcile(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void startClaim(Work const&, bool isResuming) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void advanceClaim(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void activate(Work const&, bool isClaimed) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void chooseReplicaPeer(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void advanceReplication(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void giveUpRecords(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void suspend(Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    // States of buckets.
    void refreshTargets(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void updateOwnBuckets(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void updatePermission(Work const&, std::size_t inGroup) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sweep(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void expireRecords(Work const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void settle(Work const&, std::size_t inGroup) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void propose(Work const&, std::size_t inGroup, UpstreamIndex baseline, bool isTracked)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void applyProposal(Work const&, std::size_t inGroup) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    EntryResult applyEntry(Work const&, std::size_t inGroup, DueEntry const&, Core::VmId sender, bool isCorrection)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    /// Two members act as owner of the group, as after a partition.
    EntryResult applyEntryToOwned(Work const&, std::size_t inGroup, DueEntry const&, Core::VmId sender,
        bool isCorrection) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void merge(Work const&, std::size_t inGroup, DueEntry const&, Epoch) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    // Messages.
    void work(Work const&, DueMessages&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void collectEntries(Work const&, DueMessages&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void collectRecords(Work const&, DueMessages&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void send(Service&, DueMessages const&, Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sendEntries(Service&, Core::VmId, std::span<DueEntry const>, bool isCorrection, Core::TimePoint)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sendRecords(Service&, Core::VmId, std::span<DueRecord const>, Core::TimePoint)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void queueOrder(Work const&, Core::VmId, Messages::GroupOrderKind::type) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void sendOrders(Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void requestStates(Core::TimePoint) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    void receiveNotice(Core::VmId, Messages::BucketNotice const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveRecords(Core::VmId, Messages::RecordBatch const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveRecord(Work const&, Messages::FlowRecordCopy const&, UpstreamIndex)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveClaim(Core::VmId, Messages::GroupClaim const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveClaimReply(Core::VmId, Messages::GroupClaimReply const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveOrder(Core::VmId, Messages::GroupOrder const&) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void receiveAcknowledgement(Core::VmId, std::int64_t sequence) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);

    Service* find(std::int64_t id) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    std::vector<UpstreamIndex> intern(Service&, std::vector<Messages::UpstreamReference> const&)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    void publishSnapshot() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    /// Calls the function with each group's lock held.
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
    /// Members that restarted; they hold no copies any more.
    std::vector<Core::VmId> m_restarted ABSL_GUARDED_BY(m_lock);
    bool m_isLeaving ABSL_GUARDED_BY(m_lock) { false };
    double m_copyBudget ABSL_GUARDED_BY(m_lock) { 0 };
    Core::TimePoint m_budgetAt ABSL_GUARDED_BY(m_lock);
    Core::TimePoint m_sweptAt ABSL_GUARDED_BY(m_lock);
    Core::TimePoint m_requestedAt ABSL_GUARDED_BY(m_lock);
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
            function(Work { service, index, group, now });
        }
    }
}

}
