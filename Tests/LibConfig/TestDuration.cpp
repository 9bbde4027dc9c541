#include "Property.h"

#include <LibConfig/Duration.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

using namespace Chicorytally::Config;

BOOST_AUTO_TEST_SUITE(TestDuration)

static char const* const BadDurations[] = { "", "s", "5", "5 s", " 5s", "5s ", "-5s", "5S", "5ms", "1s1m", "1m1m",
    "1.5h", "4294967296s", "36526d", "5s\n", "0x5s" };

BOOST_DATA_TEST_CASE(BadDurationIsRefused, boost::unit_test::data::make(BadDurations), text)
{
    // Guards against a timeout that is read as another one than the operator meant.
    BOOST_TEST(!parseDuration(text));
}

BOOST_AUTO_TEST_CASE(DurationSurvivesARoundTrip)
{
    // Guards against a tool that prints a duration which the parser reads as another one.
    Chicorytally::Tests::checkProperty("duration round trip", 500, [] {
        auto duration = std::chrono::seconds { *rc::gen::inRange<std::int64_t>(0, 3'155'760'000) };
        RC_ASSERT(parseDuration(formatDuration(duration)) == duration);
    });
    BOOST_TEST(formatDuration(std::chrono::seconds { 90'061 }) == "1d1h1m1s");
    BOOST_TEST(parseDuration("90m")->count() == 5'400);
    BOOST_TEST(parseDuration("0s")->count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
