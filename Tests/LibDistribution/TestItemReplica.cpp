#include <LibDistribution/Distribution.h>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Chicorytally;
using Distribution::Item;

namespace {

Item item(std::string key, std::uint64_t revision, std::optional<std::string> value = "value")
{
    return { std::move(key), std::move(value), Core::Revision { revision } };
}

struct Fixture {
    std::vector<Item> changes;
    Distribution::ItemReplica replica { [this](Item const& change) { changes.push_back(change); } };
};

}

BOOST_FIXTURE_TEST_SUITE(ItemReplica, Fixture)

BOOST_AUTO_TEST_CASE(NewestRevisionOfAKeyWins)
{
    // Guards against a late message that restores an older value.
    BOOST_TEST(replica.apply(item("a", 5)));
    BOOST_TEST(!replica.apply(item("a", 4, "old")));
    BOOST_TEST(replica.apply(item("a", 6, std::nullopt)));
    BOOST_TEST(!replica.apply(item("a", 5)));
    BOOST_TEST(changes.size() == 2U);
    BOOST_TEST(!changes.back().value.has_value());
}

BOOST_AUTO_TEST_CASE(ListingRemovesMissingKeys)
{
    // Guards against keeping upstreams that were removed in a part of the history that the store no longer keeps.
    replica.apply(item("a", 1));
    replica.apply(item("b", 2));
    replica.apply(item("c", 9));
    replica.applyListing({ item("b", 2) }, Core::Revision { 8 });
    BOOST_REQUIRE(changes.size() == 4U);
    BOOST_TEST(changes.back().key == "a");
    BOOST_TEST(!changes.back().value.has_value());
    BOOST_TEST(replica.completeUpTo().value() == 8U);
}

BOOST_AUTO_TEST_CASE(StaleListingKeepsNewerItems)
{
    // Guards against removing newer items because a replica of the store lags.
    replica.applyListing({ item("a", 7) }, Core::Revision { 8 });
    replica.applyListing({}, Core::Revision { 6 });
    BOOST_TEST(changes.size() == 1U);
    BOOST_TEST(replica.completeUpTo().value() == 8U);
}

BOOST_AUTO_TEST_CASE(ChangesAreReturnedInOrderWithRemovals)
{
    // Guards against a peer missing a removal.
    replica.applyListing({ item("a", 1), item("b", 2) }, Core::Revision { 2 });
    replica.apply(item("a", 5, std::nullopt));
    replica.apply(item("b", 4));
    auto later = replica.changesSince(Core::Revision { 2 });
    BOOST_REQUIRE(later.size() == 2U);
    BOOST_TEST(later[0].key == "b");
    BOOST_TEST(later[1].key == "a");
    BOOST_TEST(!later[1].value.has_value());
}

BOOST_AUTO_TEST_CASE(RemovalsOfOneListingAreAllKept)
{
    // Guards against removals of the same revision overwriting each other.
    replica.apply(item("a", 1));
    replica.apply(item("b", 2));
    replica.applyListing({}, Core::Revision { 3 });
    BOOST_TEST(replica.changesSince(Core::Revision { 2 }).size() == 2U);
    BOOST_TEST(!replica.apply(item("a", 2)));
    BOOST_TEST(!replica.apply(item("b", 2)));
}

BOOST_AUTO_TEST_SUITE_END()
