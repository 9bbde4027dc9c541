#include <LibDistribution/ReplicaFeed.h>

namespace Chicorytally::Distribution {

// Encoding a listing takes milliseconds of processor time, and after a power failure hundreds of balancers ask for one.
// Its age counts as if it were sent at the end of this time.
static constexpr std::chrono::milliseconds ListingReuseTime { 50 };

ReplicaFeed::ReplicaFeed(Core::Clock const& clock, ItemReplica const& replica, AgeProvider age, AdmissionHook maySend)
    : m_clock(clock)
    , m_replica(replica)
    , m_ageProvider(std::move(age))
    , m_maySend(std::move(maySend))
{
}

void ReplicaFeed::request(Core::Revision after, std::chrono::milliseconds wait, BatchEncoding encoding, Reply reply)
{
    PendingRequest pending { after, m_clock.now() + wait, encoding, std::move(reply) };
    auto age = m_ageProvider();
    if (!after.isValid()) {
        // A balancer that starts can get its listing from another one sooner than by waiting.
        pending.reply(age && m_maySend() ? listing(encoding, *age) : nullptr);
        return;
    }
    BatchCache batches;
    if (!tryAnswer(pending, age, batches))
        m_pendingRequests.push_back(std::move(pending));
}

std::shared_ptr<ItemBatch const> ReplicaFeed::listing(BatchEncoding encoding, std::chrono::milliseconds age)
{
    bool isCurrent = m_listing && m_listing->encoding == encoding && m_listing->completeUpTo == m_replica.completeUpTo()
        && m_clock.now() - m_listingMadeAt < ListingReuseTime;
    if (!isCurrent) {
        m_listing = std::make_shared<ItemBatch const>(batchAfter({}, encoding, age + ListingReuseTime));
        m_listingMadeAt = m_clock.now();
    }
    return m_listing;
}

void ReplicaFeed::tick()
{
    if (m_pendingRequests.empty())
        return;
    BatchCache batches;
    auto age = m_ageProvider();
    std::erase_if(m_pendingRequests, [&](PendingRequest const& pending) { return tryAnswer(pending, age, batches); });
}

bool ReplicaFeed::tryAnswer(
    PendingRequest const& pending, std::optional<std::chrono::milliseconds> age, BatchCache& batches) const
{
    // A requester in a later epoch knows of a restore that this balancer has not seen yet.
    if (!age || pending.after.epoch() > m_replica.completeUpTo().epoch()) {
        pending.reply(nullptr);
        return true;
    }
    bool isDue = m_replica.completeUpTo() > pending.after || m_clock.now() >= pending.deadline;
    if (!isDue || !m_maySend())
        return false;
    auto& batch = batches[{ pending.after, pending.encoding }];
    if (!batch)
        batch = std::make_shared<ItemBatch const>(batchAfter(pending.after, pending.encoding, *age));
    pending.reply(batch);
    return true;
}

ItemBatch ReplicaFeed::batchAfter(Core::Revision after, BatchEncoding encoding, std::chrono::milliseconds age) const
{
    // Changes continue a view of the same epoch only.
    bool isListing = !after.isValid() || after.epoch() != m_replica.completeUpTo().epoch()
        || after < m_replica.tombstonesPrunedUpTo();
    ItemBatch batch { .items = m_replica.changesSince(isListing ? Core::Revision {} : after),
        .completeUpTo = m_replica.completeUpTo(),
        .age = age,
        .isListing = isListing,
        .encoding = encoding };
    if (isListing)
        std::erase_if(batch.items, [](Item const& item) { return !item.value; });
    else if (encoding == BatchEncoding::Compressed)
        replaceWithPatches(batch, after);
    return batch;
}

void ReplicaFeed::replaceWithPatches(ItemBatch& batch, Core::Revision after) const
{
    std::erase_if(batch.items, [&](Item const& item) {
        auto patch = m_replica.patchSince(item.key, after);
        // A patch is sent without epochs, which are those of the batch.
        if (!patch || patch->baseRevision.epoch() != after.epoch())
            return false;
        batch.patches.push_back(std::move(*patch));
        return true;
    });
}

}
