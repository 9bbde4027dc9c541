#include <LibRelay/Relay.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

using Upstreams = std::vector<Core::UpstreamId>;

Core::UpstreamId const First { 1 };
Core::UpstreamId const Second { 2 };
Core::UpstreamId const Third { 3 };

struct Fixture {
    Core::ManualClock clock;
    std::vector<Upstreams> toRelays;
    std::vector<Upstreams> toFollowers;
    Upstreams reported;
    Relay::SuspicionExchange exchange { clock, {},
        { .sendToRelays = [this](auto const& upstreams) { toRelays.push_back(upstreams); },
            .sendToFollowers = [this](auto const& upstreams) { toFollowers.push_back(upstreams); },
            .reported = [this](auto upstream) { reported.push_back(upstream); } } };
};

}

BOOST_FIXTURE_TEST_SUITE(SuspicionExchange, Fixture)

BOOST_AUTO_TEST_CASE(OwnFindingGoesToRelaysAndFollowersAtOnce)
{
    // Guards against balancers that learn of a dark upstream only by losing a request on it.
    exchange.report(First);
    BOOST_CHECK((toRelays == std::vector<Upstreams> { { First } }));
    BOOST_CHECK((toFollowers == std::vector<Upstreams> { { First } }));
    BOOST_TEST(reported.empty());
}

BOOST_AUTO_TEST_CASE(ReceivedReportGoesToFollowersOnly)
{
    // Guards against reports that two relays send to each other for ever.
    exchange.receive({ First });
    BOOST_TEST(toRelays.empty());
    BOOST_CHECK((toFollowers == std::vector<Upstreams> { { First } }));
    BOOST_CHECK((reported == Upstreams { First }));
    exchange.receive({ First });
    exchange.report(First);
    clock.advance(100ms);
    exchange.tick();
    BOOST_TEST(toRelays.empty());
    BOOST_TEST(toFollowers.size() == 1U);
    BOOST_TEST(reported.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ManyFindingsShareADatagram)
{
    // Guards against control traffic that grows with the upstreams of a lost zone times the balancers.
    exchange.report(First);
    exchange.report(Second);
    exchange.report(Third);
    BOOST_TEST(toRelays.size() == 1U);
    clock.advance(50ms);
    exchange.tick();
    BOOST_REQUIRE(toRelays.size() == 2U);
    BOOST_CHECK((toRelays[1] == Upstreams { Second, Third }));
}

BOOST_AUTO_TEST_CASE(UpstreamThatGoesDarkAgainIsReportedAgain)
{
    // Guards against a report that is taken for the former one.
    exchange.report(First);
    clock.advance(2s);
    exchange.tick();
    exchange.report(First);
    BOOST_TEST(toRelays.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
