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
    Load::RequestFailureDetector failureDetector { clock, { .self = Core::VmId { 1 } }, [this](auto) { ++failing; } };
    Load::ShortResponseDetector responseDetector { {} };
};

}

BOOST_FIXTURE_TEST_SUITE(RequestFailureDetector, Fixture)

BOOST_AUTO_TEST_CASE(SinglePeerReportIsNotEnough)
{
    // Guards against a balancer behind a faulty link whose reports alone make the others avoid every upstream.
    for (int i = 0; i < 10; ++i)
        failureDetector.notePeerReport(Upstream, Core::VmId { 2 });
    BOOST_TEST(!failureDetector.isFailing(Upstream));
    failureDetector.notePeerReport(Upstream, Core::VmId { 3 });
    BOOST_TEST(failureDetector.isFailing(Upstream));
    BOOST_TEST(failing == 1U);
    BOOST_TEST(failureDetector.failingCount() == 1U);
}

BOOST_AUTO_TEST_CASE(OwnFailureAndPeerReportAreEnough)
{
    // Guards against failing upstreams that go undetected with little traffic, when no single balancer sees enough
    // failures.
    failureDetector.noteFailure(Upstream);
    BOOST_TEST(!failureDetector.isFailing(Upstream));
    failureDetector.notePeerReport(Upstream, Core::VmId { 2 });
    BOOST_TEST(failureDetector.isFailing(Upstream));
}

BOOST_AUTO_TEST_CASE(FailuresExpire)
{
    // Guards against an upstream that stays unused after it has recovered.
    for (int i = 0; i < 3; ++i)
        failureDetector.noteFailure(Upstream);
    BOOST_TEST(failureDetector.isFailing(Upstream));
    clock.advance(3s);
    BOOST_TEST(!failureDetector.isFailing(Upstream));
    failureDetector.removeExpired();
    BOOST_TEST(failureDetector.isEmpty());
}

BOOST_AUTO_TEST_CASE(ShortResponseIsDetected)
{
    // Guards against errors that pass for successful responses: here a success has 844 bytes, an error 219.
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(!responseDetector.noteResponse(Route, 844));
    BOOST_TEST(responseDetector.noteResponse(Route, 219));
    BOOST_TEST(!responseDetector.noteResponse(Route, 600));
    auto const other = *Core::Endpoint::parse("198.18.0.1:444");
    BOOST_TEST(!responseDetector.noteResponse(other, 219));
}

BOOST_AUTO_TEST_CASE(ErrorsDoNotLowerTheMean)
{
    // Guards against errors that lower the mean size until they are no longer detected.
    for (int i = 0; i < 100; ++i)
        responseDetector.noteResponse(Route, 844);
    unsigned found = 0;
    for (int i = 0; i < 200; ++i) {
        responseDetector.noteResponse(Route, 844);
        if (i % 10 == 0 && responseDetector.noteResponse(Route, 219))
            ++found;
    }
    BOOST_TEST(found == 20U);
}

BOOST_AUTO_TEST_CASE(MixedSizesAreNotReportedAsShort)
{
    // Guards against false positives on a route whose successful responses vary widely in size.
    unsigned found = 0;
    for (int i = 0; i < 1000; ++i) {
        if (responseDetector.noteResponse(Route, i % 2 == 0 ? 1200 : 150))
            ++found;
    }
    BOOST_TEST(found < 60U);
}

BOOST_AUTO_TEST_SUITE_END()
