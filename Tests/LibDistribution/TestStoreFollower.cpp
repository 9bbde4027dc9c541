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
    Distribution::StoreFollower follower { clock, {}, replica,
        { .lost = [this] { ++lost; }, .regained = [this](auto) { ++regained; } } };

    std::optional<Distribution::StoreRequest> nextAfterDelay()
    {
        clock.advance(follower.delay().value_or(0ms));
        return follower.nextRequest();
    }

    void list()
    {
        follower.nextRequest();
        follower.answered({ .items = { item("a", 1) }, .asOf = Core::Revision { 10 } });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(StoreFollower, Fixture)

BOOST_AUTO_TEST_CASE(ListsAllPagesThenWatches)
{
    // Guards against changes between two pages that nobody sees: the watch starts at the first page's revision.
    BOOST_REQUIRE(follower.nextRequest() == Distribution::StoreRequest { ListRequest {} });
    BOOST_TEST(!follower.nextRequest().has_value());
    follower.answered({ .items = { item("a", 1) }, .hasMore = true, .asOf = Core::Revision { 10 } });
    BOOST_TEST(changes == 0U);
    BOOST_REQUIRE(follower.nextRequest() == Distribution::StoreRequest { ListRequest { "a" } });
    follower.answered({ .items = { item("b", 2) }, .asOf = Core::Revision { 12 } });
    BOOST_TEST(changes == 2U);
    auto watch = nextAfterDelay();
    BOOST_REQUIRE(watch.has_value());
    BOOST_TEST(std::get<WatchRequest>(*watch).after.value() == 10U);
}

BOOST_AUTO_TEST_CASE(WatchGoesOnFromItsAnswer)
{
    // Guards against a burst of changes that costs a call each.
    list();
    follower.nextRequest();
    follower.answered({ .items = { item("a", 11) }, .asOf = Core::Revision { 11 } });
    BOOST_TEST(!follower.nextRequest().has_value());
    auto watch = nextAfterDelay();
    BOOST_TEST(std::get<WatchRequest>(*watch).after.value() == 11U);
    BOOST_TEST(replica.completeUpTo().value() == 11U);
}

BOOST_AUTO_TEST_CASE(LostHistoryIsListedAnew)
{
    // Guards against a watch that asks for ever for changes that are no longer kept.
    list();
    follower.nextRequest();
    follower.failed(StoreFailure::HistoryLost);
    BOOST_TEST(follower.nextRequest().has_value());
    follower.answered({ .items = {}, .asOf = Core::Revision { 30 } });
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
        follower.failed(StoreFailure::Refused);
    }
    BOOST_TEST(requests >= 10U);
    BOOST_TEST(requests <= 25U);
    BOOST_TEST(lost == 1U);
    nextAfterDelay();
    follower.answered({ .asOf = Core::Revision { 10 } });
    BOOST_TEST(regained == 1U);
    BOOST_TEST(follower.isReachable());
}

BOOST_AUTO_TEST_CASE(FailedPageStartsTheListingAgain)
{
    // Guards against a listing that is put together from pages of different times.
    follower.nextRequest();
    follower.answered({ .items = { item("a", 1) }, .hasMore = true, .asOf = Core::Revision { 10 } });
    follower.nextRequest();
    follower.failed(StoreFailure::Unreachable);
    BOOST_REQUIRE(nextAfterDelay() == Distribution::StoreRequest { ListRequest {} });
}

BOOST_AUTO_TEST_SUITE_END()
