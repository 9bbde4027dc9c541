#include "ConfigurationTexts.h"

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using Chicorytally::Tests::goodText;

BOOST_AUTO_TEST_SUITE(TestDifference)

static Model::Configuration parse(std::string const& addition)
{
    Config::Parser parser;
    auto configuration = parser.parse({ { "a.toml", goodText() }, { "b.toml", addition } }, Core::Revision { 1 });
    BOOST_REQUIRE_MESSAGE(configuration, (parser.faults().empty() ? "" : parser.faults().front().toString()));
    return *configuration;
}

static std::string textOf(Config::Difference const& difference)
{
    std::string text;
    for (auto const& change : difference.changes) {
        text.append(toString(change.kind)).append(" ").append(toString(change.subject));
        text.append(" ").append(change.name);
        for (auto const& key : change.keys)
            text.append(" ").append(key.key).append("=").append(key.before).append(">").append(key.after);
        text.append("\n");
    }
    return text;
}

BOOST_AUTO_TEST_CASE(DifferenceNamesEveryChange)
{
    // Guards against a review of a change that misses a part of it.
    auto before = parse("[zone.east]\n[service.old]\naddress = \"198.51.100.12\"\nport = 1\n");
    auto after = parse("[zone.north]\nstate = \"out\"\n[zone.west]\n"
                       "[service.web]\nport = 7001\nidle_timeout = \"90s\"\n"
                       "[service.web.upstream.web-1]\nstate = \"draining\"\ndrain_deadline = \"1h\"\n"
                       "[service.web.upstream.web-2]\naddress = \"10.1.0.12\"\nport = 6080\nzone = \"west\"\n");
    BOOST_TEST(textOf(Config::findDifference(before, after))
        == "removed service old\n"
           "changed service web idle_timeout=15m>1m30s port=7000>7001\n"
           "changed upstream web/web-1 drain_deadline=>1h state=active>draining\n"
           "added upstream web/web-2\n"
           "removed zone east\n"
           "changed zone north state=in>out\n"
           "added zone west\n");
    BOOST_TEST(textOf(Config::findDifference(after, after)).empty());
}

BOOST_AUTO_TEST_CASE(MovedShareComesFromTheHook)
{
    // Guards against a share for a service that is new, which has no flows to move.
    auto before = parse("");
    auto after = parse("[service.api]\naddress = \"198.51.100.12\"\nport = 1\n");
    auto share = [](Model::Configuration const&, Model::Configuration const&, Model::Service const&) { return 0.25; };
    auto difference = Config::findDifference(before, after, { share });
    BOOST_REQUIRE_EQUAL(difference.movedShares.size(), 1u);
    BOOST_TEST(difference.movedShares.front().service == "web");
    BOOST_TEST(difference.movedShares.front().share == 0.25);
    BOOST_TEST(Config::findDifference(before, after).movedShares.empty());
}

BOOST_AUTO_TEST_SUITE_END()
