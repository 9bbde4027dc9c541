#include <LibDistribution/ReplicaFeed.h>

namespace Chicorytally::Distribution {

ReplicaFeed::ReplicaFeed(Core::Clock const& clock, ItemReplica const& replica, Age age)
    : m_clock(clock)
    , m_replica(replica)
    , m_age(std::move(age))
{
}

void ReplicaFeed::request(Core::Revision after, std::chrono::milliseconds wait, Reply reply)
{
    Waiting waiting { after, m_clock.now() + wait, std::move(reply) };
    if (!answer(waiting))
        m_waiting.push_back(std::move(waiting));
}

void ReplicaFeed::tick()
{
    std::erase_if(m_waiting, [this](Waiting const& waiting) { return answer(waiting); });
}

bool ReplicaFeed::answer(Waiting const& waiting) const
{
    auto age = m_age();
    if (!age) {
        waiting.reply(std::nullopt);
        return true;
    }
    bool isDue = m_replica.completeUpTo() > waiting.after || m_clock.now() >= waiting.deadline;
    if (isDue)
        waiting.reply(batchAfter(waiting.after, *age));
    return isDue;
}

ItemBatch ReplicaFeed::batchAfter(Core::Revision after, std::chrono::milliseconds age) const
{
    bool isListing = !after.isValid() || after < m_replica.forgottenUpTo();
    auto items = m_replica.changesSince(isListing ? Core::Revision {} : after);
    if (isListing)
        std::erase_if(items, [](Item const& item) { return !item.value; });
    return { std::move(items), m_replica.completeUpTo(), age, isListing };
}

}
