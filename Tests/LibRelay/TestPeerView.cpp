#include <LibRelay/Relay.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Core::Endpoint endpoint(int number) { return *Core::Endpoint::parse("10.0.0." + std::to_string(number) + ":70"); }

struct Fixture {
    Core::ManualClock clock;
    std::mt19937_64 random { 1 };
    Relay::PeerView view { clock, { .self = endpoint(200), .capacity = 4 } };
};

}

BOOST_FIXTURE_TEST_SUITE(PeerView, Fixture)

BOOST_AUTO_TEST_CASE(ViewIsBoundedAndExcludesItself)
{
    // Guards against a balancer that sends to itself, and against a view that grows with the fleet.
    view.add(endpoint(200), 0ms, random);
    BOOST_TEST(view.size() == 0U);
    BOOST_TEST(!view.randomPeer(random).has_value());
    for (int number = 1; number <= 100; ++number) {
        clock.advance(1ms);
        view.add(endpoint(number), 0ms, random);
    }
    BOOST_TEST(view.size() == 4U);
}

BOOST_AUTO_TEST_CASE(UnheardAddressesExpire)
{
    // Guards against two balancers that keep the address of a dead one by telling each other of it.
    view.add(endpoint(1), 0ms, random);
    clock.advance(59s);
    Relay::PeerView other { clock, { .self = endpoint(201) } };
    BOOST_TEST(other.addEncoded(view.encodeSample(8, random), random));
    BOOST_TEST(view.addEncoded(other.encodeSample(8, random), random));
    BOOST_TEST(other.contains(endpoint(1)));
    clock.advance(1s);
    for (auto* each : { &view, &other }) {
        each->removeExpired();
        BOOST_TEST(each->size() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(MalformedAddressesAreRejected)
{
    // Guards against reading beyond a message.
    view.add(endpoint(1), 0ms, random);
    auto bytes = view.encodeSample(1, random);
    Relay::PeerView other { clock, { .self = endpoint(201) } };
    for (std::size_t size = 1; size < bytes.size(); ++size)
        BOOST_TEST(!other.addEncoded(bytes.substr(0, size), random));
    BOOST_TEST(other.size() == 0U);
    BOOST_TEST(other.addEncoded(std::string(bytes.size(), '\0'), random));
    BOOST_TEST(other.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
