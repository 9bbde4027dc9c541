#pragma once

#include <LibDistribution/ItemBatch.h>
#include <LibDistribution/ItemReplica.h>

#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>

namespace Chicorytally::Distribution {

/// Serves a replica to other balancers, which wait for its changes as they would at the store. Not thread-safe.
class ReplicaFeed {
public:
    /// Gets the changes, or nothing when this balancer has none to offer now. Those who wait for the same changes get
    /// the same batch, so that it needs to be encoded once.
    using Reply = std::function<void(std::shared_ptr<ItemBatch const> const&)>;
    /// How long ago this balancer knew of no newer revision; nothing when its view is too old to be passed on.
    using AgeProvider = std::function<std::optional<std::chrono::milliseconds>()>;

    ReplicaFeed(Core::Clock const&, ItemReplica const&, AgeProvider);

    /// Replies as soon as there is a change after the revision, at the latest after the wait.
    void request(Core::Revision after, std::chrono::milliseconds wait, Reply);
    /// Replies to what can be answered: to be called after changes and every 50 ms. When the view has become too old,
    /// all who wait are told at once.
    void tick();
    std::size_t pendingRequestCount() const { return m_waiting.size(); }

private:
    struct Waiting {
        Core::Revision after;
        Core::TimePoint deadline;
        Reply reply;
    };

    using Batches = std::map<Core::Revision, std::shared_ptr<ItemBatch const>>;

    /// False while the request may go on waiting. Batches of this age are kept by the revision that they start after.
    bool answer(Waiting const&, std::optional<std::chrono::milliseconds> age, Batches&) const;
    ItemBatch batchAfter(Core::Revision, std::chrono::milliseconds age) const;

    Core::Clock const& m_clock;
    ItemReplica const& m_replica;
    AgeProvider m_age;
    std::list<Waiting> m_waiting;
};

}
