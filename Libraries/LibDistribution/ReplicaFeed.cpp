#include <LibDistribution/ReplicaFeed.h>

namespace Chicorytally::Distribution {

ReplicaFeed::ReplicaFeed(Core::Clock const& clock, ItemReplica const& replica, AgeProvider age)
    : m_clock(clock)
    , m_replica(replica)
    , m_age(std::move(age))
{
}

void ReplicaFeed::request(Core::Revision after, std::chrono::milliseconds wait, Reply reply)
{
    Waiting waiting { after, m_clock.now() + wait, std::move(reply) };
    Batches batches;
    if (!answer(waiting, m_age(), batches))
        m_waiting.push_back(std::move(waiting));
}

void ReplicaFeed::tick()
{
    if (m_waiting.empty())
        return;
    Batches batches;
    auto age = m_age();
    std::erase_if(m_waiting, [&](Waiting const& waiting) { return answer(waiting, age, batches); });
}

bool ReplicaFeed::answer(Waiting const& waiting, std::optional<std::chrono::milliseconds> age, Batches& batches) const
{
    if (!age) {
        waiting.reply(nullptr);
        return true;
    }
    bool isDue = m_replica.completeUpTo() > waiting.after || m_clock.now() >= waiting.deadline;
    if (!isDue)
        return false;
    auto& batch = batches[waiting.after];
    if (!batch)
        batch = std::make_shared<ItemBatch const>(batchAfter(waiting.after, *age));
    waiting.reply(batch);
    return true;
}

ItemBatch ReplicaFeed::batchAfter(Core::Revision after, std::chrono::milliseconds age) const
{
    bool isListing = !after.isValid() || after < m_replica.tombstonesPrunedUpTo();
    auto items = m_replica.changesSince(isListing ? Core::Revision {} : after);
    if (isListing)
        std::erase_if(items, [](Item const& item) { return !item.value; });
    return { std::move(items), m_replica.completeUpTo(), age, isListing };
}

}
