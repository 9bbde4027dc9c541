#include <LibRelay/Relay.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Load::ReportKind;
using Relay::Reports;

namespace {

Core::VmId const Self { 100 };
Core::VmId const Other { 101 };

Load::PeerReport report(std::uint64_t upstream, ReportKind kind = ReportKind::Unanswered, Core::VmId reporter = Other)
{
    return { Core::UpstreamId { upstream }, kind, reporter };
}

struct Fixture {
    Core::ManualClock clock;
    std::vector<Reports> toRelays;
    std::vector<Reports> toFollowers;
    Reports received;
    Relay::ReportExchange exchange { clock, { .self = Self },
        { .sendToRelays = [this](auto const& reports) { toRelays.push_back(reports); },
            .sendToFollowers = [this](auto const& reports) { toFollowers.push_back(reports); },
            .reportReceived = [this](auto const& report) { received.push_back(report); } } };

    void reportUnanswered(std::uint64_t upstream)
    {
        exchange.report(Core::UpstreamId { upstream }, ReportKind::Unanswered);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(ReportExchange, Fixture)

BOOST_AUTO_TEST_CASE(OwnReportIsSentToRelaysAndFollowersImmediately)
{
    // Guards against balancers that detect a failed upstream only by losing a request to it.
    reportUnanswered(1);
    std::vector<Reports> const expected { { report(1, ReportKind::Unanswered, Self) } };
    BOOST_CHECK(toRelays == expected);
    BOOST_CHECK(toFollowers == expected);
    BOOST_TEST(received.empty());
}

BOOST_AUTO_TEST_CASE(ReceivedReportIsForwardedToFollowersOnly)
{
    // Guards against two relays that forward a report to each other forever.
    exchange.receive({ report(1) });
    BOOST_TEST(toRelays.empty());
    BOOST_CHECK((toFollowers == std::vector<Reports> { { report(1) } }));
    BOOST_CHECK((received == Reports { report(1) }));
    exchange.receive({ report(1) });
    reportUnanswered(1);
    clock.advance(100ms);
    exchange.tick();
    BOOST_TEST(toRelays.empty());
    BOOST_TEST(toFollowers.size() == 1U);
    BOOST_TEST(received.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ReportsOfTwoBalancersAreForwarded)
{
    // Guards against control traffic that grows with the number of balancers that detect the same failure, and against
    // dropping the second report, which is needed as evidence.
    exchange.receive({ report(1, ReportKind::Failing, Core::VmId { 1 }) });
    exchange.receive({ report(1, ReportKind::Failing, Core::VmId { 1 }) });
    exchange.receive({ report(1, ReportKind::Failing, Core::VmId { 2 }) });
    exchange.receive({ report(1, ReportKind::Failing, Core::VmId { 3 }) });
    BOOST_TEST(received.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReturnIsForwardedBesidesTheLoss)
{
    // Guards against a return that is dropped as a copy of the report of the loss, and against one message for each
    // balancer that notices it.
    exchange.receive({ report(1), report(1, ReportKind::Returned) });
    exchange.receive({ report(1, ReportKind::Returned, Core::VmId { 7 }) });
    BOOST_CHECK((received == Reports { report(1), report(1, ReportKind::Returned) }));
}

BOOST_AUTO_TEST_CASE(OwnReportThatReturnsIsIgnored)
{
    // Guards against a balancer that counts its own report as that of a second balancer.
    exchange.receive({ report(1, ReportKind::Failing, Self) });
    BOOST_TEST(received.empty());
}

BOOST_AUTO_TEST_CASE(ManyReportsShareADatagram)
{
    // Guards against control traffic that grows with the number of upstreams of a lost zone times the number of
    // balancers.
    for (std::uint64_t upstream = 1; upstream <= 200; ++upstream)
        reportUnanswered(upstream);
    BOOST_TEST(toRelays.size() == 1U);
    clock.advance(50ms);
    exchange.tick();
    BOOST_REQUIRE(toRelays.size() == 2U);
    BOOST_TEST(toRelays[1].size() == 64U);
}

BOOST_AUTO_TEST_CASE(UpstreamThatFailsAgainIsReportedAgain)
{
    // Guards against treating a report of a new failure as a duplicate of an earlier one.
    reportUnanswered(1);
    clock.advance(2s);
    exchange.tick();
    reportUnanswered(1);
    BOOST_TEST(toRelays.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
