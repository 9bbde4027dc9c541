#pragma once

#include <LibDistribution/ItemBatch.h>
#include <LibDistribution/ItemReplica.h>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace Chicorytally::Distribution {

/// Serves the changes of a replica to other balancers by long polling, as the store does. Not thread-safe.
class ReplicaFeed {
public:
    /// Receives the changes, or null if this balancer's view is too old to be relayed or it can't send a listing now.
    /// Requests for the same changes share one batch, so that it needs to be encoded only once.
    using Reply = std::function<void(std::shared_ptr<ItemBatch const> const&)>;
    /// Returns the time since this balancer was last known to be up to date with the store, or nothing if its view is
    /// too old to be relayed.
    using AgeProvider = std::function<std::optional<std::chrono::milliseconds>()>;

    /// Returns false while no further replies should be sent. Requests for changes that are due then keep waiting, and
    /// get the changes that are newest when they are answered.
    using AdmissionHook = std::function<bool()>;

    ReplicaFeed(Core::Clock const&, ItemReplica const&, AgeProvider, AdmissionHook maySend);

    /// Replies as soon as there is a change after the revision, or when the wait has passed, and sending is allowed.
    void request(Core::Revision after, std::chrono::milliseconds wait, BatchEncoding, Reply);
    /// Replies to the pending requests that are due. To be called after changes and every 50 ms. If the view has become
    /// too old, replies to all pending requests with null.
    void tick();
    /// The epoch of the replica.
    Core::Epoch epoch() const { return m_replica.completeUpTo().epoch(); }
    std::size_t pendingRequestCount() const { return m_pendingRequests.size(); }

private:
    struct PendingRequest {
        Core::Revision after;
        Core::TimePoint deadline;
        BatchEncoding encoding;
        Reply reply;
    };

    using BatchCache = std::map<std::pair<Core::Revision, BatchEncoding>, std::shared_ptr<ItemBatch const>>;

    /// Returns false if the request must keep waiting. The cache holds batches of the given age by the revision after
    /// which they start and their encoding.
    bool tryAnswer(PendingRequest const&, std::optional<std::chrono::milliseconds> age, BatchCache&) const;
    /// A listing that is shared by the balancers which ask for one within a short time.
    std::shared_ptr<ItemBatch const> listing(BatchEncoding, std::chrono::milliseconds age);
    ItemBatch batchAfter(Core::Revision, BatchEncoding, std::chrono::milliseconds age) const;
    void replaceWithPatches(ItemBatch&, Core::Revision after) const;

    Core::Clock const& m_clock;
    ItemReplica const& m_replica;
    AgeProvider m_ageProvider;
    AdmissionHook m_maySend;
    std::list<PendingRequest> m_pendingRequests;
    std::shared_ptr<ItemBatch const> m_listing;
    Core::TimePoint m_listingMadeAt;
};

}
