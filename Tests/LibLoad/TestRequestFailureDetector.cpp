#include <LibLoad/Load.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Core::UpstreamId const Upstream { 1 };
auto const Route = *Core::Endpoint::parse("198.18.0.1:443");

struct Fixture {
    Core::ManualClock clock;
    unsigned failing { 0 };
    Load::RequestFailureDetector evidence { clock, { .self = Core::VmId { 1 } }, [this](auto) { ++failing; } };
    Load::ShortResponseDetector sizes { {} };
};

}

BOOST_FIXTURE_TEST_SUITE(RequestFailureDetector, Fixture)

BOOST_AUTO_TEST_CASE(OneOtherBalancerCondemnsNobody)
{
    // Guards against a balancer behind a bad link that takes every upstream from the others.
    for (int i = 0; i < 10; ++i)
        evidence.notePeerReport(Upstream, Core::VmId { 2 });
    BOOST_TEST(!evidence.isFailing(Upstream));
    evidence.notePeerReport(Upstream, Core::VmId { 3 });
    BOOST_TEST(evidence.isFailing(Upstream));
    BOOST_TEST(failing == 1U);
    BOOST_TEST(evidence.failingCount() == 1U);
}

BOOST_AUTO_TEST_CASE(OwnFindingAndAReportAreEnough)
{
    // Guards against fleets with little traffic to each upstream, in which no balancer sees enough failures.
    evidence.noteFailure(Upstream);
    BOOST_TEST(!evidence.isFailing(Upstream));
    evidence.notePeerReport(Upstream, Core::VmId { 2 });
    BOOST_TEST(evidence.isFailing(Upstream));
}

BOOST_AUTO_TEST_CASE(EvidenceGrowsOld)
{
    // Guards against an upstream that recovered and stays unused.
    for (int i = 0; i < 3; ++i)
        evidence.noteFailure(Upstream);
    BOOST_TEST(evidence.isFailing(Upstream));
    clock.advance(3s);
    BOOST_TEST(!evidence.isFailing(Upstream));
    evidence.removeExpired();
    BOOST_TEST(evidence.isEmpty());
}

BOOST_AUTO_TEST_CASE(ErrorIsTakenForWhatItIs)
{
    // Guards against errors that look like answers: a report is answered with 844 bytes, an error with 219.
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(!sizes.noteResponse(Route, 844));
    BOOST_TEST(sizes.noteResponse(Route, 219));
    BOOST_TEST(!sizes.noteResponse(Route, 600));
    auto const other = *Core::Endpoint::parse("198.18.0.1:444");
    BOOST_TEST(!sizes.noteResponse(other, 219));
}

BOOST_AUTO_TEST_CASE(ErrorsDoNotBecomeNormal)
{
    // Guards against a mean that errors pull down until they no longer stand out.
    for (int i = 0; i < 100; ++i)
        sizes.noteResponse(Route, 844);
    unsigned found = 0;
    for (int i = 0; i < 200; ++i) {
        sizes.noteResponse(Route, 844);
        if (i % 10 == 0 && sizes.noteResponse(Route, 219))
            ++found;
    }
    BOOST_TEST(found == 20U);
}

BOOST_AUTO_TEST_CASE(RouteWithMixedAnswersHasNoErrors)
{
    // Guards against a route whose good answers are now long, now short.
    unsigned found = 0;
    for (int i = 0; i < 1000; ++i) {
        if (sizes.noteResponse(Route, i % 2 == 0 ? 1200 : 150))
            ++found;
    }
    BOOST_TEST(found < 60U);
}

BOOST_AUTO_TEST_SUITE_END()
