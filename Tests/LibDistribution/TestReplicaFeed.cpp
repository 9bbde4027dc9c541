#include <LibDistribution/Distribution.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Distribution::Item;
using Distribution::ItemBatch;

namespace {

Item item(std::string key, std::uint64_t revision, std::optional<std::string> value = "value")
{
    return { std::move(key), std::move(value), Core::Revision { revision } };
}

struct Fixture {
    Core::ManualClock clock;
    std::optional<std::chrono::milliseconds> age { 10ms };
    Distribution::ItemReplica replica { [](Item const&) {} };
    Distribution::ReplicaFeed feed { clock, replica, [this] { return age; }, [this] { return maySend; } };
    bool maySend { true };
    Distribution::BatchEncoding encoding { Distribution::BatchEncoding::Plain };
    unsigned replies { 0 };
    std::optional<ItemBatch> batch;
    std::vector<std::shared_ptr<ItemBatch const>> sent;

    Fixture() { replica.applyListing({ item("a", 1), item("b", 2) }, Core::Revision { 2 }); }

    void request(std::uint64_t after)
    {
        feed.request(Core::Revision { after }, 1s, encoding, [this](auto const& result) {
            ++replies;
            batch.reset();
            if (result)
                batch = *result;
            sent.push_back(result);
        });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(ReplicaFeed, Fixture)

BOOST_AUTO_TEST_CASE(NewFollowerGetsAListingImmediately)
{
    // Guards against a new balancer that has no data until the next change.
    replica.apply(item("a", 3, std::nullopt));
    replica.markCompleteUpTo(Core::Revision { 3 });
    request(0);
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->isListing);
    BOOST_REQUIRE(batch->items.size() == 1U);
    BOOST_TEST(batch->items.front().key == "b");
    BOOST_TEST(batch->completeUpTo.value() == 3U);
    // The listing may be sent again within 50 ms.
    BOOST_CHECK(batch->age == 60ms);
}

BOOST_AUTO_TEST_CASE(ChangeEndsTheWait)
{
    // Guards against changes that are delivered only when the wait expires.
    request(2);
    BOOST_TEST(replies == 0U);
    replica.apply(item("a", 3, std::nullopt));
    replica.markCompleteUpTo(Core::Revision { 3 });
    feed.tick();
    BOOST_TEST(replies == 1U);
    BOOST_REQUIRE(batch->items.size() == 1U);
    BOOST_TEST(!batch->items.front().value.has_value());
    BOOST_TEST(feed.pendingRequestCount() == 0U);
}

BOOST_DATA_TEST_CASE(FollowerOfAnotherEpochGetsNoChanges, boost::unit_test::data::make({ 2, 3, 4 }), epoch)
{
    // Guards against changes that continue a history which the follower doesn't have, and against an old view for a
    // follower that knows of a restore of the store.
    replica.applyListing(
        { { "c", "value", Core::Revision { 1, Core::Epoch { 3 } } } }, Core::Revision { 1, Core::Epoch { 3 } });
    unsigned answers = 0;
    std::shared_ptr<ItemBatch const> answer;
    feed.request(
        Core::Revision { 1, Core::Epoch { static_cast<std::uint64_t>(epoch) } }, 1s, encoding, [&](auto const& result) {
            ++answers;
            answer = result;
        });
    bool isAhead = epoch > 3;
    bool isBehind = epoch < 3;
    BOOST_TEST(answers == (isAhead || isBehind ? 1U : 0U));
    BOOST_TEST((answer != nullptr) == isBehind);
    if (isBehind) {
        BOOST_TEST(answer->isListing);
        // Keys that the restored store lacks are listed, too.
        BOOST_TEST(answer->items.size() == 3U);
        BOOST_TEST(answer->completeUpTo.epoch().value() == 3U);
    }
}

BOOST_AUTO_TEST_CASE(WaitEndsWithoutAChange)
{
    // Guards against a follower that can't distinguish a store without changes from a failed peer.
    request(2);
    clock.advance(1s);
    feed.tick();
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->items.empty());
}

BOOST_AUTO_TEST_CASE(PendingRequestsEndWhenTheViewIsTooOld)
{
    // Guards against followers that keep waiting for a balancer that has itself lost contact with the store.
    request(2);
    age.reset();
    feed.tick();
    BOOST_TEST(replies == 1U);
    BOOST_TEST(!batch.has_value());
    request(0);
    BOOST_TEST(replies == 2U);
    BOOST_TEST(!batch.has_value());
}

BOOST_AUTO_TEST_CASE(StartingFollowersShareAListing)
{
    // Guards against a seed that encodes a listing for each of hundreds of balancers after a power failure, and against
    // a listing that is shared although it is old.
    request(0);
    clock.advance(49ms);
    request(0);
    BOOST_TEST(sent[1] == sent[0]);
    clock.advance(1ms);
    request(0);
    BOOST_TEST(sent[2] != sent[1]);
    replica.apply(item("a", 3));
    replica.markCompleteUpTo(Core::Revision { 3 });
    request(0);
    BOOST_TEST(sent[3] != sent[2]);
    BOOST_TEST(batch->completeUpTo.value() == 3U);
}

BOOST_AUTO_TEST_CASE(ListingIsRefusedWhileNothingMayBeSent)
{
    // Guards against a starting balancer that waits for a busy seed although another one could serve it.
    maySend = false;
    request(0);
    BOOST_TEST(replies == 1U);
    BOOST_TEST(!batch.has_value());
}

BOOST_AUTO_TEST_CASE(DelayedReplyHoldsTheNewestChanges)
{
    // Guards against a reply that waited for the link and claims to be as fresh as when it became due.
    maySend = false;
    request(1);
    BOOST_TEST(replies == 0U);
    replica.apply(item("a", 3));
    replica.markCompleteUpTo(Core::Revision { 3 });
    age = 400ms;
    maySend = true;
    feed.tick();
    BOOST_REQUIRE(batch.has_value());
    BOOST_TEST(batch->completeUpTo.value() == 3U);
    BOOST_CHECK(batch->age == 400ms);
}

BOOST_AUTO_TEST_CASE(BatchIsUnchangedByEncodingAndDecoding)
{
    // Guards against removals, binary values and epochs that are altered by encoding and decoding.
    Messages::PeerKey key = *Messages::PeerKey::fromHex(std::string(64, 'a'));
    ItemBatch sent { .items = { item("a", 5, std::string { "\0\xff", 2 }), item("b", 6, std::nullopt), item("c", 7, ""),
                         { "d", "value", Core::Revision { 8, Core::Epoch { 3 } } },
                         { "e", "value", Core::Revision { 12, Core::Epoch { 2 } } } },
        .completeUpTo = Core::Revision { 9, Core::Epoch { 3 } },
        .age = 250ms,
        .isListing = true };
    auto bytes = Distribution::sealBatch(sent, key);
    auto received = Distribution::openBatch(bytes, { .sealing = key });
    BOOST_REQUIRE(received.has_value());
    BOOST_CHECK(received->items == sent.items);
    BOOST_CHECK(received->completeUpTo == sent.completeUpTo);
    BOOST_CHECK(received->age == sent.age);
    BOOST_TEST(received->isListing);
}

BOOST_AUTO_TEST_CASE(UnauthenticOrTruncatedBatchIsRejected)
{
    // Guards against accepting routes and upstreams from a process that is not a balancer of the fleet.
    Messages::PeerKey key = *Messages::PeerKey::fromHex(std::string(64, 'a'));
    Messages::PeerKey other = *Messages::PeerKey::fromHex(std::string(64, 'b'));
    auto bytes = Distribution::sealBatch({ .items = { item("a", 5) }, .completeUpTo = Core::Revision { 9 } }, key);
    BOOST_TEST(!Distribution::openBatch(bytes, { .sealing = other }).has_value());
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!Distribution::openBatch(std::string_view { bytes }.substr(0, size), { .sealing = key }));
    bytes[0] ^= 1;
    BOOST_TEST(!Distribution::openBatch(bytes, { .sealing = key }).has_value());
}

BOOST_AUTO_TEST_CASE(FollowersOfTheSameRevisionShareABatch)
{
    // Guards against a relay that encodes and stores each change separately for each of hundreds of followers.
    request(2);
    request(2);
    request(1);
    replica.apply(item("a", 3));
    replica.markCompleteUpTo(Core::Revision { 3 });
    sent.clear();
    feed.tick();
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[0] == sent[1]);
}

BOOST_AUTO_TEST_SUITE_END()
