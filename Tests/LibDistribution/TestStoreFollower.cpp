#include <LibDistribution/Distribution.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Distribution::Item;
using Distribution::ListRequest;
using Distribution::StoreFailure;
using Distribution::WatchRequest;

namespace {

Item item(std::string key, std::uint64_t revision) { return { std::move(key), "value", Core::Revision { revision } }; }

struct Fixture {
    Core::ManualClock clock;
    std::size_t changes { 0 };
    unsigned lost { 0 };
    unsigned regained { 0 };
    Distribution::ItemReplica replica { [this](Item const&) { ++changes; } };
    Distribution::FollowerOptions options;
    Distribution::StoreFollower follower { clock, options, replica, hooks() };

    Distribution::FollowerHooks hooks()
    {
        return { .sourceLost = [this](auto const&, auto) { ++lost; },
            .sourceRegained = [this](auto const&) { ++regained; } };
    }

    std::optional<Distribution::StoreRequest> nextAfterDelay() { return nextAfterDelay(follower); }

    std::optional<Distribution::StoreRequest> nextAfterDelay(Distribution::StoreFollower& asking)
    {
        clock.advance(asking.nextRequestDelay().value_or(0ms));
        if (auto request = asking.nextRequest())
            return request;
        // Every source was blocked for a while longer.
        clock.advance(asking.nextRequestDelay().value_or(0ms));
        return asking.nextRequest();
    }

    void list()
    {
        follower.nextRequest();
        follower.handleAnswer({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 } });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(StoreFollower, Fixture)

BOOST_AUTO_TEST_CASE(ListsAllPagesThenWatches)
{
    // Guards against changes between two pages that nobody sees: the watch starts at the first page's revision.
    BOOST_REQUIRE((follower.nextRequest() == Distribution::StoreRequest { std::nullopt, ListRequest {} }));
    BOOST_TEST(!follower.nextRequest().has_value());
    follower.handleAnswer({ .items = { item("a", 1) }, .hasMore = true, .asOf = Core::Revision { 10 } });
    BOOST_TEST(changes == 0U);
    BOOST_REQUIRE((follower.nextRequest() == Distribution::StoreRequest { std::nullopt, ListRequest { "a" } }));
    follower.handleAnswer({ .items = { item("b", 2) }, .asOf = Core::Revision { 12 } });
    BOOST_TEST(changes == 2U);
    auto watch = nextAfterDelay();
    BOOST_REQUIRE(watch.has_value());
    BOOST_TEST(std::get<WatchRequest>(watch->call).after.value() == 10U);
}

BOOST_AUTO_TEST_CASE(WatchGoesOnFromItsAnswer)
{
    // Guards against a burst of changes that costs a call each.
    list();
    follower.nextRequest();
    follower.handleAnswer({ .items = { item("a", 11) }, .asOf = Core::Revision { 11 } });
    BOOST_TEST(!follower.nextRequest().has_value());
    auto watch = nextAfterDelay();
    BOOST_TEST(std::get<WatchRequest>(watch->call).after.value() == 11U);
    BOOST_TEST(replica.completeUpTo().value() == 11U);
}

BOOST_AUTO_TEST_CASE(LostHistoryIsListedAnew)
{
    // Guards against a watch that asks for ever for changes that are no longer kept.
    list();
    follower.nextRequest();
    follower.handleFailure(StoreFailure::HistoryLost);
    BOOST_TEST(follower.nextRequest().has_value());
    follower.handleAnswer({ .items = {}, .asOf = Core::Revision { 30 } });
    BOOST_TEST(changes == 2U);
    BOOST_TEST(lost == 0U);
}

BOOST_AUTO_TEST_CASE(FailuresBackOffAndOneIsReported)
{
    // Guards against refused calls, which count too, sent as fast as they fail.
    list();
    std::size_t requests = 0;
    for (auto end = clock.now() + 10s; clock.now() < end; clock.advance(10ms)) {
        if (!follower.nextRequest())
            continue;
        ++requests;
        follower.handleFailure(StoreFailure::Refused);
    }
    BOOST_TEST(requests >= 10U);
    BOOST_TEST(requests <= 25U);
    BOOST_TEST(lost == 1U);
    nextAfterDelay();
    follower.handleAnswer({ .asOf = Core::Revision { 10 } });
    BOOST_TEST(regained == 1U);
    BOOST_TEST(follower.isFresh());
}

BOOST_AUTO_TEST_CASE(FailedPageStartsTheListingAgain)
{
    // Guards against a listing that is put together from pages of different times.
    follower.nextRequest();
    follower.handleAnswer({ .items = { item("a", 1) }, .hasMore = true, .asOf = Core::Revision { 10 } });
    follower.nextRequest();
    follower.handleFailure(StoreFailure::Unreachable);
    BOOST_REQUIRE((nextAfterDelay() == Distribution::StoreRequest { std::nullopt, ListRequest {} }));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

Core::Endpoint const FirstPeer = *Core::Endpoint::parse("10.0.0.1:7000");
Core::Endpoint const LastPeer = *Core::Endpoint::parse("10.0.0.9:7000");

/// Prefers one peer to the store and asks another one after it.
struct PeerFixture : Fixture {
    Distribution::StoreFollower following { clock, { .preferredPeers = { FirstPeer }, .fallbackPeers = { LastPeer } },
        replica, hooks() };

    std::optional<Core::Endpoint> ask()
    {
        auto request = nextAfterDelay(following);
        BOOST_REQUIRE(request.has_value());
        isList = std::holds_alternative<ListRequest>(request->call);
        return request->peer;
    }

    void answer(std::chrono::milliseconds age = 0ms)
    {
        following.handleAnswer({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 }, .age = age });
    }

    bool isList { false };
};

}

BOOST_FIXTURE_TEST_SUITE(StoreFollowerPeers, PeerFixture)

BOOST_AUTO_TEST_CASE(ListsFromTheStoreThenFollowsThePeer)
{
    // Guards against a fleet in which every balancer calls the store for each change.
    BOOST_CHECK(ask() == std::nullopt);
    BOOST_TEST(isList);
    answer();
    for (int i = 0; i < 3; ++i) {
        BOOST_CHECK(ask() == FirstPeer);
        answer();
    }
}

BOOST_AUTO_TEST_CASE(FailedPeerIsReplacedAtOnceAndTriedAgainLater)
{
    // Guards against a view that ages while a failed peer is asked again and again.
    ask();
    answer();
    BOOST_CHECK(ask() == FirstPeer);
    following.handleFailure(StoreFailure::Unreachable);
    BOOST_TEST(following.nextRequestDelay()->count() == 0);
    BOOST_CHECK(ask() == std::nullopt);
    BOOST_TEST(!isList);
    answer();
    clock.advance(1s);
    BOOST_CHECK(ask() == FirstPeer);
    answer();
    BOOST_TEST(lost == 1U);
    BOOST_TEST(regained == 1U);
}

BOOST_AUTO_TEST_CASE(StoreIsAskedNextAfterAPeerFailed)
{
    // Guards against a balancer that asks one lost peer after the other while changes wait in the store.
    Core::Endpoint const secondPeer = *Core::Endpoint::parse("10.0.0.2:7000");
    Distribution::StoreFollower asking { clock, { .preferredPeers = { FirstPeer, secondPeer } }, replica, hooks() };
    auto askOnce = [&] {
        auto request = nextAfterDelay(asking);
        BOOST_REQUIRE(request.has_value());
        return request->peer;
    };
    askOnce();
    asking.handleAnswer({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 } });
    Core::TimePoint freshAt = clock.now();
    for (int i = 0; i < 20; ++i) {
        if (askOnce()) {
            clock.advance(1300ms);
            asking.handleFailure(StoreFailure::Unreachable);
        } else {
            asking.handleAnswer({ .asOf = Core::Revision { 10 } });
            freshAt = clock.now();
        }
        BOOST_TEST((clock.now() - freshAt <= 2s));
    }
}

BOOST_AUTO_TEST_CASE(FailedPeerIsTriedAgainWithoutAWait)
{
    // Guards against a view that ages for a whole watch each time that a lost peer is tried again.
    ask();
    answer();
    BOOST_CHECK(ask() == FirstPeer);
    following.handleFailure(StoreFailure::Unreachable);
    ask();
    answer();
    clock.advance(1s);
    auto request = nextAfterDelay(following);
    BOOST_REQUIRE(request.has_value());
    BOOST_CHECK(request->peer == FirstPeer);
    BOOST_CHECK(std::get<WatchRequest>(request->call).wait == 0ms);
    answer();
    request = nextAfterDelay(following);
    BOOST_CHECK(std::get<WatchRequest>(request->call).wait > 0ms);
}

BOOST_AUTO_TEST_CASE(StalePeerIsLeft)
{
    // Guards against two balancers that follow each other while nobody reads the store.
    ask();
    answer();
    BOOST_CHECK(ask() == FirstPeer);
    answer(1501ms);
    BOOST_CHECK(ask() == std::nullopt);
}

BOOST_AUTO_TEST_CASE(RefusedBalancerFollowsAnyPeer)
{
    // Guards against a balancer that the store turns away and that misses every change.
    ask();
    following.handleFailure(StoreFailure::Refused);
    BOOST_CHECK(ask() == FirstPeer);
    following.handleFailure(StoreFailure::Unreachable);
    BOOST_CHECK(ask() == LastPeer);
    following.handleAnswer({ .items = { item("a", 1) }, .isListing = true, .asOf = Core::Revision { 10 } });
    BOOST_TEST(changes == 1U);
    BOOST_TEST(following.isFresh());
}

BOOST_AUTO_TEST_CASE(ViewThatNobodyRenewsIsNotFresh)
{
    // Guards against resets that rest on an old view.
    BOOST_TEST(!following.isFresh());
    ask();
    answer();
    BOOST_TEST(following.isFresh());
    clock.advance(2501ms);
    BOOST_TEST(!following.isFresh());
}

BOOST_AUTO_TEST_SUITE_END()
