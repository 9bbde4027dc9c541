#include <LibLoad/Load.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Core::ZoneId const Zone { 1 };

struct Fixture {
    Core::ManualClock clock;
    std::size_t upstreams { 40 };
    std::size_t checks { 0 };
    /// The first upstream that is sampled.
    std::uint64_t nextSampled { 3 };
    unsigned lost { 0 };
    unsigned regained { 0 };
    Load::ZoneReachability zones { clock, {},
        { .probeSample =
                [this](auto, auto count) {
                    std::vector<Core::UpstreamId> sample;
                    for (auto id = nextSampled; id <= upstreams && sample.size() < count; ++id)
                        sample.emplace_back(id);
                    checks += sample.size();
                    return sample;
                },
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
    // Guards against probing a whole zone whenever one upstream stops answering.
    for (int i = 0; i < 10; ++i)
        reportSilent(1, 1);
    BOOST_TEST(checks == 0U);
    BOOST_TEST(zones.isReachable(Zone));
}

BOOST_AUTO_TEST_CASE(SilentZoneIsLostAfterMoreProbes)
{
    // Guards against a partitioned balancer that loses opens on each upstream of the zone in turn.
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
    // Guards against a zone that counts as unreachable because many of its upstreams stopped answering at once.
    for (int round = 0; round < 5; ++round) {
        reportSilent(1, 7);
        zones.noteAnswer(Zone);
    }
    BOOST_TEST(lost == 0U);
    BOOST_TEST(zones.isReachable(Zone));
}

BOOST_AUTO_TEST_CASE(ZoneThatAnswersIsSampledSeldom)
{
    // Guards against a sample for every two of the upstreams that failed together, until each of the zone's others has
    // been probed.
    for (std::uint64_t id = 100; id < 140; id += 2) {
        reportSilent(id, id + 1);
        zones.noteAnswer(Zone);
        clock.advance(10ms);
    }
    BOOST_TEST(checks == 6U);
    clock.advance(300ms);
    reportSilent(200, 201);
    BOOST_TEST(checks == 12U);
}

BOOST_AUTO_TEST_CASE(SampleWithoutAVerdictIsReplaced)
{
    // Guards against a zone that is never found unreachable because a sampled upstream left before its probe ended.
    reportSilent(1, 7);
    BOOST_TEST(zones.isReachable(Zone));
    clock.advance(500ms);
    nextSampled = 9;
    reportSilent(20, 20);
    BOOST_TEST(checks == 12U);
    reportSilent(9, 14);
    BOOST_TEST(!zones.isReachable(Zone));
}

BOOST_AUTO_TEST_CASE(OneAnswerRestoresALostZone)
{
    // Guards against a zone that stays unused after a temporary network failure.
    reportSilent(1, 8);
    zones.noteAnswer(Zone);
    BOOST_TEST(zones.isReachable(Zone));
    BOOST_TEST(regained == 1U);
}

BOOST_AUTO_TEST_CASE(AddressesReusedInAPartOfAZoneDoNotMakeItUnreachable)
{
    // Guards against a zone that counts as unreachable because 17 of its 100 upstreams went dark together and were
    // reported together, while nothing was asked of the others.
    upstreams = 100;
    nextSampled = 50;
    reportSilent(1, 17);
    BOOST_TEST(checks == 6U);
    BOOST_TEST(zones.isReachable(Zone));
    reportSilent(50, 55);
    BOOST_TEST(!zones.isReachable(Zone));
}

BOOST_AUTO_TEST_CASE(SmallZoneIsLostWithAllItsUpstreams)
{
    // Guards against a zone with fewer upstreams than the threshold that never counts as lost.
    upstreams = 3;
    reportSilent(1, 2);
    BOOST_TEST(zones.isReachable(Zone));
    reportSilent(3, 3);
    BOOST_TEST(!zones.isReachable(Zone));
}

BOOST_AUTO_TEST_SUITE_END()
