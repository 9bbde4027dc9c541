#include <LibDistribution/Distribution.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Distribution::Item;
using Distribution::ListRequest;
using Distribution::StoreFailure;
using Distribution::WatchRequest;

namespace {

Item item(std::string key, std::uint64_t revision) { return { std::move(key), "value", Core::Revision { revision } }; }

struct StalledPage {
    char const* name;
    /// What the store answers to each request for a further page.
    std::vector<Item> items;
};

std::ostream& operator<<(std::ostream& stream, StalledPage const& page) { return stream << page.name; }

StalledPage const StalledPages[] {
    { "last page again", { item("b", 2) } },
    { "all pages again", { item("a", 1), item("b", 2) } },
    { "an earlier key", { item("a", 1) } },
    { "a key twice in one page", { item("c", 3), item("c", 3) } },
    { "no items", {} },
};

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

    std::optional<Distribution::StoreRequest> nextAfterDelay(Distribution::StoreFollower& requestingFollower)
    {
        clock.advance(requestingFollower.nextRequestDelay().value_or(0ms));
        if (auto request = requestingFollower.nextRequest())
            return request;
        // All sources were still in backoff.
        clock.advance(requestingFollower.nextRequestDelay().value_or(0ms));
        return requestingFollower.nextRequest();
    }

    /// Answers the requests of 10 s and returns their number.
    std::size_t countRequests(std::function<void(Distribution::StoreRequest const&)> const& answer)
    {
        std::size_t requests = 0;
        for (auto end = clock.now() + 10s; clock.now() < end; clock.advance(10ms)) {
            auto request = follower.nextRequest();
            if (!request)
                continue;
            ++requests;
            answer(*request);
        }
        return requests;
    }

    void completeListing()
    {
        follower.nextRequest();
        follower.handleAnswer({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 } });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(StoreFollower, Fixture)

BOOST_AUTO_TEST_CASE(ListsAllPagesThenWatches)
{
    // Guards against missing changes that were made between two pages. The watch must start at the revision of the
    // first page.
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

BOOST_AUTO_TEST_CASE(NextWatchStartsAtTheAnsweredRevision)
{
    // Guards against one call per change during a burst of changes.
    completeListing();
    follower.nextRequest();
    follower.handleAnswer({ .items = { item("a", 11) }, .asOf = Core::Revision { 11 } });
    BOOST_TEST(!follower.nextRequest().has_value());
    auto watch = nextAfterDelay();
    BOOST_TEST(std::get<WatchRequest>(watch->call).after.value() == 11U);
    BOOST_TEST(replica.completeUpTo().value() == 11U);
}

BOOST_AUTO_TEST_CASE(LostHistoryCausesANewListing)
{
    // Guards against a watch that keeps requesting changes that the store no longer keeps.
    completeListing();
    follower.nextRequest();
    follower.handleFailure(StoreFailure::HistoryLost);
    BOOST_TEST(follower.nextRequest().has_value());
    follower.handleAnswer({ .items = {}, .asOf = Core::Revision { 30 } });
    BOOST_TEST(changes == 2U);
    BOOST_TEST(lost == 0U);
}

BOOST_AUTO_TEST_CASE(WatchWithATooLargeAnswerIsReplacedByAListing)
{
    // Guards against asking for the same changes again until the store forgets them, while their answer is too large to
    // be read.
    completeListing();
    follower.nextRequest();
    follower.handleFailure(StoreFailure::AnswerTooLarge);
    auto request = nextAfterDelay();
    BOOST_REQUIRE((request == Distribution::StoreRequest { std::nullopt, ListRequest {} }));
    follower.handleAnswer({ .items = { item("a", 1), item("b", 20) }, .asOf = Core::Revision { 20 } });
    BOOST_TEST(changes == 2U);
    auto watch = nextAfterDelay();
    BOOST_TEST(std::get<WatchRequest>(watch->call).after.value() == 20U);
}

BOOST_AUTO_TEST_CASE(TooLargeAnswersBackOff)
{
    // Guards against calling the store without a pause while neither its changes nor its pages can be read.
    completeListing();
    auto requests = countRequests([this](auto const&) { follower.handleFailure(StoreFailure::AnswerTooLarge); });
    BOOST_TEST(requests >= 10U);
    BOOST_TEST(requests <= 25U);
    BOOST_TEST(lost == 1U);
}

BOOST_DATA_TEST_CASE(ListingThatDoesNotAdvanceIsAFailure, boost::unit_test::data::make(StalledPages), testCase)
{
    // Guards against a listing that collects the same page for ever, until the process is over its memory limit.
    auto requests = countRequests([&](auto const& request) {
        bool isFirstPage = std::get<ListRequest>(request.call).afterKey.empty();
        follower.handleAnswer({ .items = isFirstPage ? std::vector { item("a", 1), item("b", 2) } : testCase.items,
            .hasMore = true,
            .asOf = Core::Revision { 10 } });
    });
    // Two pages for each of the attempts that a store may get which refuses everything.
    BOOST_TEST(requests >= 20U);
    BOOST_TEST(requests <= 50U);
    BOOST_TEST(changes == 0U);
    BOOST_TEST(lost == 1U);

    // The store answers well again.
    BOOST_REQUIRE((nextAfterDelay() == Distribution::StoreRequest { std::nullopt, ListRequest {} }));
    follower.handleAnswer({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 } });
    BOOST_TEST(changes == 1U);
    BOOST_TEST(regained == 1U);
}

BOOST_AUTO_TEST_CASE(ListingThatFailsAtTheSamePageBacksOff)
{
    // Guards against listing the store without a growing delay, because its first page is answered each time.
    auto requests = countRequests([&](auto const& request) {
        if (std::get<ListRequest>(request.call).afterKey.empty())
            follower.handleAnswer({ .items = { item("a", 1) }, .hasMore = true, .asOf = Core::Revision { 10 } });
        else
            follower.handleFailure(StoreFailure::Unreachable);
    });
    BOOST_TEST(requests >= 20U);
    BOOST_TEST(requests <= 50U);
    BOOST_TEST(lost == 1U);
}

BOOST_AUTO_TEST_CASE(EmptyPageIsNotTheEndOfAListing)
{
    // Guards against removing all keys that a listing would still have named.
    completeListing();
    follower.nextRequest();
    follower.handleFailure(StoreFailure::HistoryLost);
    BOOST_REQUIRE(follower.nextRequest().has_value());
    follower.handleAnswer({ .items = {}, .hasMore = true, .asOf = Core::Revision { 30 } });
    BOOST_TEST(changes == 1U);
    BOOST_TEST(lost == 1U);
}

BOOST_AUTO_TEST_CASE(PagesOfDifferentEpochsAreNotCombined)
{
    // Guards against a listing that is put together from before and after a restore of the store.
    follower.nextRequest();
    follower.handleAnswer(
        { .items = { item("a", 1) }, .hasMore = true, .asOf = Core::Revision { 10, Core::Epoch { 1 } } });
    follower.nextRequest();
    follower.handleAnswer({ .items = { item("b", 2) }, .asOf = Core::Revision { 5, Core::Epoch { 2 } } });
    BOOST_TEST(changes == 0U);
    BOOST_REQUIRE((nextAfterDelay() == Distribution::StoreRequest { std::nullopt, ListRequest {} }));
}

BOOST_AUTO_TEST_CASE(AnswerOfAnEarlierEpochIsRejected)
{
    // Guards against changes of a history that is gone, from a peer that has not seen the restore of the store.
    follower.nextRequest();
    follower.handleAnswer({ .asOf = Core::Revision { 5, Core::Epoch { 2 } } });
    nextAfterDelay();
    follower.handleAnswer({ .items = { item("a", 9) }, .asOf = Core::Revision { 9, Core::Epoch { 1 } } });
    BOOST_TEST(changes == 0U);
    BOOST_TEST(lost == 1U);
    BOOST_CHECK(replica.completeUpTo() == Core::Revision(5, Core::Epoch { 2 }));
}

BOOST_AUTO_TEST_CASE(ListingsThatNoWatchFollowsBackOff)
{
    // Guards against listing the store without a pause while each watch is answered with lost history.
    std::size_t requests = 0;
    for (auto end = clock.now() + 10s; clock.now() < end; clock.advance(10ms)) {
        auto request = follower.nextRequest();
        if (!request)
            continue;
        ++requests;
        if (std::holds_alternative<ListRequest>(request->call))
            follower.handleAnswer({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 } });
        else
            follower.handleFailure(StoreFailure::HistoryLost);
    }
    // A listing and a watch for each of the attempts that a store may get which refuses everything.
    BOOST_TEST(requests >= 20U);
    BOOST_TEST(requests <= 50U);
}

BOOST_AUTO_TEST_CASE(FailuresBackOffAndAreReportedOnce)
{
    // Guards against retrying without a delay. Refused calls also count as calls to the store.
    completeListing();
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

BOOST_AUTO_TEST_CASE(FailedPageRestartsTheListing)
{
    // Guards against combining pages that were read at different times into one listing.
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

/// A follower that prefers one peer to the store and uses another one as a fallback.
struct PeerFixture : Fixture {
    Distribution::StoreFollower peerFollower { clock,
        { .preferredPeers = { FirstPeer }, .fallbackPeers = { LastPeer } }, replica, hooks() };

    std::optional<Core::Endpoint> requestSource()
    {
        auto request = nextAfterDelay(peerFollower);
        BOOST_REQUIRE(request.has_value());
        isListRequest = std::holds_alternative<ListRequest>(request->call);
        return request->peer;
    }

    void answer(std::chrono::milliseconds age = 0ms)
    {
        peerFollower.handleAnswer({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 }, .age = age });
    }

    bool isListRequest { false };
};

struct PeerFailureCase {
    StoreFailure failure;
    std::chrono::milliseconds limit;
};

std::ostream& operator<<(std::ostream& stream, PeerFailureCase const& testCase)
{
    return stream << toString(testCase.failure);
}

PeerFailureCase const PeerFailureCases[] {
    { StoreFailure::Unreachable, 100ms },
    { StoreFailure::Refused, 250ms },
};

}

BOOST_FIXTURE_TEST_SUITE(StoreFollowerPeers, PeerFixture)

BOOST_AUTO_TEST_CASE(ListsFromTheStoreThenFollowsThePeer)
{
    // Guards against every balancer calling the store for each change.
    BOOST_CHECK(requestSource() == std::nullopt);
    BOOST_TEST(isListRequest);
    answer();
    for (int i = 0; i < 3; ++i) {
        BOOST_CHECK(requestSource() == FirstPeer);
        answer();
    }
}

BOOST_AUTO_TEST_CASE(FailedPeerIsReplacedImmediatelyAndRetriedLater)
{
    // Guards against a view that becomes stale while a failed peer is retried repeatedly.
    requestSource();
    answer();
    BOOST_CHECK(requestSource() == FirstPeer);
    peerFollower.handleFailure(StoreFailure::Unreachable);
    BOOST_TEST(peerFollower.nextRequestDelay()->count() == 0);
    BOOST_CHECK(requestSource() == std::nullopt);
    BOOST_TEST(!isListRequest);
    answer();
    clock.advance(1s);
    BOOST_CHECK(requestSource() == FirstPeer);
    answer();
    BOOST_TEST(lost == 1U);
    BOOST_TEST(regained == 1U);
}

BOOST_AUTO_TEST_CASE(StoreIsUsedAfterAPeerFailed)
{
    // Guards against trying one failed peer after another while the store has changes.
    Core::Endpoint const secondPeer = *Core::Endpoint::parse("10.0.0.2:7000");
    Distribution::StoreFollower requestingFollower { clock, { .preferredPeers = { FirstPeer, secondPeer } }, replica,
        hooks() };
    auto requestOnce = [&] {
        auto request = nextAfterDelay(requestingFollower);
        BOOST_REQUIRE(request.has_value());
        return request->peer;
    };
    requestOnce();
    requestingFollower.handleAnswer({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 } });
    Core::TimePoint freshAt = clock.now();
    for (int i = 0; i < 20; ++i) {
        if (requestOnce()) {
            clock.advance(1300ms);
            requestingFollower.handleFailure(StoreFailure::Unreachable);
        } else {
            requestingFollower.handleAnswer({ .asOf = Core::Revision { 10 } });
            freshAt = clock.now();
        }
        BOOST_TEST((clock.now() - freshAt <= 2s));
    }
}

BOOST_AUTO_TEST_CASE(FailedPeerIsRetriedWithoutAWait)
{
    // Guards against a view that ages by a whole watch each time a failed peer is retried.
    requestSource();
    answer();
    BOOST_CHECK(requestSource() == FirstPeer);
    peerFollower.handleFailure(StoreFailure::Unreachable);
    requestSource();
    answer();
    clock.advance(1s);
    auto request = nextAfterDelay(peerFollower);
    BOOST_REQUIRE(request.has_value());
    BOOST_CHECK(request->peer == FirstPeer);
    BOOST_CHECK(std::get<WatchRequest>(request->call).wait == 0ms);
    answer();
    request = nextAfterDelay(peerFollower);
    BOOST_CHECK(std::get<WatchRequest>(request->call).wait > 0ms);
}

BOOST_AUTO_TEST_CASE(StalePeerCountsAsFailed)
{
    // Guards against two balancers that follow each other while neither reads the store.
    requestSource();
    answer();
    BOOST_CHECK(requestSource() == FirstPeer);
    answer(1501ms);
    BOOST_CHECK(requestSource() == std::nullopt);
}

BOOST_AUTO_TEST_CASE(RefusedBalancerFallsBackToPeers)
{
    // Guards against a balancer that misses all changes because the store rejects its calls.
    requestSource();
    peerFollower.handleFailure(StoreFailure::Refused);
    BOOST_CHECK(requestSource() == FirstPeer);
    peerFollower.handleFailure(StoreFailure::Unreachable);
    BOOST_CHECK(requestSource() == LastPeer);
    peerFollower.handleAnswer({ .items = { item("a", 1) }, .isListing = true, .asOf = Core::Revision { 10 } });
    BOOST_TEST(changes == 1U);
    BOOST_TEST(peerFollower.isFresh());
}

BOOST_AUTO_TEST_CASE(UnconfirmedViewIsNotFresh)
{
    // Guards against resetting flows based on an outdated view.
    BOOST_TEST(!peerFollower.isFresh());
    requestSource();
    answer();
    BOOST_TEST(peerFollower.isFresh());
    clock.advance(2501ms);
    BOOST_TEST(!peerFollower.isFresh());
}

BOOST_AUTO_TEST_CASE(StartingBalancerListsFromAPeer)
{
    // Guards against every balancer that restarts listing the store.
    Distribution::StoreFollower starting { clock,
        { .preferredPeers = { FirstPeer, LastPeer }, .listingHoldoff = 200ms }, replica, hooks() };
    auto request = nextAfterDelay(starting);
    BOOST_REQUIRE(request.has_value());
    BOOST_REQUIRE(request->peer.has_value());
    BOOST_TEST(!std::get<WatchRequest>(request->call).after.isValid());
    // A seed without power doesn't answer; the store must be asked before TCP sends its first packet again after 1 s.
    BOOST_TEST(std::get<WatchRequest>(request->call).wait.count() == 0);
    starting.handleAnswer({ .items = { item("a", 1) }, .isListing = true, .asOf = Core::Revision { 10 } });
    BOOST_TEST(changes == 1U);
    request = nextAfterDelay(starting);
    BOOST_TEST(request->peer.has_value());
    BOOST_TEST(std::get<WatchRequest>(request->call).after.value() == 10U);
}

BOOST_DATA_TEST_CASE_F(
    PeerFixture, StoreIsListedSoonIfNoPeerCanHelp, boost::unit_test::data::make(PeerFailureCases), testCase)
{
    // Guards against a balancer that can't serve for long because the seeds are down or can't read the store.
    Distribution::StoreFollower starting { clock,
        { .preferredPeers = { FirstPeer, LastPeer }, .listingHoldoff = 200ms }, replica, hooks() };
    auto startedAt = clock.now();
    auto request = nextAfterDelay(starting);
    while (request && request->peer) {
        clock.advance(2ms);
        starting.handleFailure(testCase.failure);
        request = nextAfterDelay(starting);
    }
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(std::holds_alternative<ListRequest>(request->call));
    BOOST_TEST((clock.now() - startedAt < testCase.limit));
    // Asking a peer between two pages would discard the first one.
    clock.advance(1s);
    starting.handleAnswer({ .items = { item("a", 1) }, .hasMore = true, .asOf = Core::Revision { 10 } });
    request = nextAfterDelay(starting);
    BOOST_REQUIRE((request == Distribution::StoreRequest { std::nullopt, ListRequest { "a" } }));
}

BOOST_AUTO_TEST_CASE(StartDuringAnOutageDoesNotFloodThePeers)
{
    // Guards against hundreds of balancers that start while the store is down and ask the seeds many times a second.
    Distribution::StoreFollower starting { clock,
        { .preferredPeers = { FirstPeer, LastPeer }, .listingHoldoff = 200ms }, replica, hooks() };
    std::size_t requests = 0;
    for (auto end = clock.now() + 10s; clock.now() < end; clock.advance(1ms)) {
        if (!starting.nextRequest())
            continue;
        ++requests;
        starting.handleFailure(StoreFailure::Refused);
    }
    BOOST_TEST(requests >= 20U);
    BOOST_TEST(requests <= 80U);
}

BOOST_AUTO_TEST_SUITE_END()
