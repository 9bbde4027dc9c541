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

    void find(std::uint64_t upstream) { exchange.report(Core::UpstreamId { upstream }, ReportKind::Unanswered); }
};

}

BOOST_FIXTURE_TEST_SUITE(ReportExchange, Fixture)

BOOST_AUTO_TEST_CASE(OwnFindingGoesToRelaysAndFollowersAtOnce)
{
    // Guards against balancers that learn of a dark upstream only by losing a request on it.
    find(1);
    std::vector<Reports> const expected { { report(1, ReportKind::Unanswered, Self) } };
    BOOST_CHECK(toRelays == expected);
    BOOST_CHECK(toFollowers == expected);
    BOOST_TEST(received.empty());
}

BOOST_AUTO_TEST_CASE(ReceivedReportGoesToFollowersOnly)
{
    // Guards against reports that two relays send to each other for ever.
    exchange.receive({ report(1) });
    BOOST_TEST(toRelays.empty());
    BOOST_CHECK((toFollowers == std::vector<Reports> { { report(1) } }));
    BOOST_CHECK((received == Reports { report(1) }));
    exchange.receive({ report(1) });
    find(1);
    clock.advance(100ms);
    exchange.tick();
    BOOST_TEST(toRelays.empty());
    BOOST_TEST(toFollowers.size() == 1U);
    BOOST_TEST(received.size() == 1U);
}

BOOST_AUTO_TEST_CASE(FailuresAreReportedByTwoBalancers)
{
    // Guards against control traffic that grows with the balancers that see the same failures, and against evidence
    // that never reaches the two reporters that are needed.
    exchange.receive({ report(1, ReportKind::Failing, Core::VmId { 1 }) });
    exchange.receive({ report(1, ReportKind::Failing, Core::VmId { 1 }) });
    exchange.receive({ report(1, ReportKind::Failing, Core::VmId { 2 }) });
    exchange.receive({ report(1, ReportKind::Failing, Core::VmId { 3 }) });
    BOOST_TEST(received.size() == 2U);
}

BOOST_AUTO_TEST_CASE(OwnReportThatReturnsIsIgnored)
{
    // Guards against a balancer that takes its own finding for that of a second one.
    exchange.receive({ report(1, ReportKind::Failing, Self) });
    BOOST_TEST(received.empty());
}

BOOST_AUTO_TEST_CASE(ManyFindingsShareADatagram)
{
    // Guards against control traffic that grows with the upstreams of a lost zone times the balancers.
    for (std::uint64_t upstream = 1; upstream <= 200; ++upstream)
        find(upstream);
    BOOST_TEST(toRelays.size() == 1U);
    clock.advance(50ms);
    exchange.tick();
    BOOST_REQUIRE(toRelays.size() == 2U);
    BOOST_TEST(toRelays[1].size() == 64U);
}

BOOST_AUTO_TEST_CASE(UpstreamThatGoesDarkAgainIsReportedAgain)
{
    // Guards against a report that is taken for the former one.
    find(1);
    clock.advance(2s);
    exchange.tick();
    find(1);
    BOOST_TEST(toRelays.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
