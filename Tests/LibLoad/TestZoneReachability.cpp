#include <LibLoad/Load.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;

namespace {

Core::ZoneId const Zone { 1 };

struct Fixture {
    std::size_t upstreams { 40 };
    std::size_t checks { 0 };
    unsigned lost { 0 };
    unsigned regained { 0 };
    Load::ZoneReachability zones { {},
        { .upstreamCount = [this](auto) { return upstreams; },
            .probeMore = [this](auto, auto count) { checks += count; },
            .lost = [this](auto) { ++lost; },
            .regained = [this](auto) { ++regained; } } };

    void reportSilent(std::uint64_t first, std::uint64_t last)
    {
        for (auto id = first; id <= last; ++id)
            zones.noteSilent(Zone, Core::UpstreamId { id });
    }
};

}

BOOST_FIXTURE_TEST_SUITE(ZoneReachability, Fixture)

BOOST_AUTO_TEST_CASE(OneSilentUpstreamDoesNotAffectItsZone)
{
    // Guards against probes of a whole zone for each upstream that goes dark.
    for (int i = 0; i < 10; ++i)
        reportSilent(1, 1);
    BOOST_TEST(checks == 0U);
    BOOST_TEST(zones.isReachable(Zone));
}

BOOST_AUTO_TEST_CASE(SilentZoneIsLostAfterMoreProbes)
{
    // Guards against a balancer that is cut off and offers flows to each upstream of the zone in turn.
    reportSilent(1, 2);
    BOOST_TEST(checks == 6U);
    BOOST_TEST(zones.isReachable(Zone));
    reportSilent(3, 8);
    BOOST_TEST(!zones.isReachable(Zone));
    BOOST_TEST(lost == 1U);
    reportSilent(9, 20);
    BOOST_TEST(lost == 1U);
}

BOOST_AUTO_TEST_CASE(AnyAnswerKeepsZoneReachable)
{
    // Guards against a zone that is given up because many of its upstreams went dark at once.
    for (int round = 0; round < 5; ++round) {
        reportSilent(1, 7);
        zones.noteAnswer(Zone);
    }
    BOOST_TEST(lost == 0U);
    BOOST_TEST(zones.isReachable(Zone));
}

BOOST_AUTO_TEST_CASE(OneAnswerRestoresALostZone)
{
    // Guards against a zone that stays unused after a link was cut for a while.
    reportSilent(1, 8);
    zones.noteAnswer(Zone);
    BOOST_TEST(zones.isReachable(Zone));
    BOOST_TEST(regained == 1U);
}

BOOST_AUTO_TEST_CASE(SmallZoneIsLostWithAllItsUpstreams)
{
    // Guards against a zone of three upstreams that never counts as lost.
    upstreams = 3;
    reportSilent(1, 2);
    BOOST_TEST(zones.isReachable(Zone));
    reportSilent(3, 3);
    BOOST_TEST(!zones.isReachable(Zone));
}

BOOST_AUTO_TEST_SUITE_END()
