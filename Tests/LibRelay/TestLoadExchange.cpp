#include "LoadExchangeScenario.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

struct Traffic {
    double meanSent { 0 };
    double busiest { 0 };
    double middle { 0 };
};

std::vector<Relay::LoadExchangeCounters> countersOf(LoadExchangeFleet const& fleet)
{
    std::vector<Relay::LoadExchangeCounters> counters;
    for (auto const& node : fleet.nodes)
        counters.push_back(node.exchange->counters());
    return counters;
}

/// Bytes a second and node; busiest and middle count sent and received ones.
Traffic measureTraffic(LoadExchangeFleet& fleet, std::chrono::seconds time)
{
    auto before = countersOf(fleet);
    fleet.run(time);
    auto after = countersOf(fleet);
    Traffic traffic;
    std::vector<double> bytes;
    auto seconds = static_cast<double>(time.count());
    for (std::size_t node = 0; node < before.size(); ++node) {
        auto sent = static_cast<double>(after[node].bytesSent - before[node].bytesSent) / seconds;
        auto received = static_cast<double>(after[node].bytesReceived - before[node].bytesReceived) / seconds;
        traffic.meanSent += sent / static_cast<double>(before.size());
        bytes.push_back(sent + received);
    }
    std::ranges::sort(bytes);
    traffic.busiest = bytes.back();
    traffic.middle = bytes[bytes.size() / 2];
    return traffic;
}

struct Size {
    std::size_t balancers;
    /// docs/hard-load.md, section 3.4; interpolated for 83.
    double maximumBytesPerSecond;
};

std::ostream& operator<<(std::ostream& stream, Size const& size) { return stream << size.balancers; }

constexpr double Loss = 0.05;
std::uint64_t const RandomSeeds[] = { 1, 2, 3 };
Size const Sizes[] = { { 37, 1000 }, { 83, 1350 }, { 300, 3000 } };

}

BOOST_AUTO_TEST_SUITE(LoadExchange)

BOOST_DATA_TEST_CASE(FewObservationsReachAllWithinTwoSeconds,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against balancers that learn of a slow upstream only when they use it themselves.
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    Watch watch { fleet };
    fleet.run(15s);
    reportMarked(fleet, { 0, 7, 19 });
    fleet.run(2s);
    for (std::size_t reporter : { 0, 7, 19 })
        BOOST_TEST(watch.share(reporter) >= 0.99, "reporter " << reporter << ": " << watch.share(reporter));
}

BOOST_DATA_TEST_CASE(CommonObservationReachesAllInABusyFleet,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against news that get lost among the ordinary observations of a busy fleet.
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    Watch watch { fleet };
    reportMuch(fleet, [](auto) { return false; });
    fleet.run(15s);
    reportMuch(fleet, [](auto) { return true; });
    fleet.run(2s);
    BOOST_TEST(watch.shareOfAny() >= 0.99, watch.shareOfAny());
}

BOOST_DATA_TEST_CASE(ObservationOfOneReachesMostInABusyFleet,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against forwarding that doesn't spread an observation beyond the first receivers while all messages are
    // full.
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    Watch watch { fleet };
    reportMuch(fleet, [](auto) { return false; });
    fleet.run(15s);
    reportMuch(fleet, [](auto node) { return node == 7; });
    fleet.run(2s);
    BOOST_TEST(watch.share(7) >= 0.95, watch.share(7));
}

BOOST_DATA_TEST_CASE(BusyFleetStaysWithinItsBudget,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against control traffic that displaces packets of callers, and against seeds that carry that of the fleet.
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    reportMuch(fleet, [](auto) { return true; });
    fleet.run(30s);
    auto traffic = measureTraffic(fleet, 20s);
    BOOST_TEST_MESSAGE(size.balancers << " balancers, busy: " << traffic.meanSent << " B/s sent, middle "
                                      << traffic.middle << ", busiest " << traffic.busiest);
    BOOST_TEST(traffic.meanSent <= size.maximumBytesPerSecond);
    BOOST_TEST(traffic.busiest <= 3 * traffic.middle);
}

BOOST_DATA_TEST_CASE(QuietFleetSendsLittle,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against paying for bytes between zones while there is nothing to tell.
    constexpr double MaximumBytesPerSecond = 50;
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    fleet.run(30s);
    auto traffic = measureTraffic(fleet, 300s);
    BOOST_TEST_MESSAGE(size.balancers << " balancers, quiet: " << traffic.meanSent << " B/s sent, middle "
                                      << traffic.middle << ", busiest " << traffic.busiest);
    BOOST_TEST(traffic.meanSent <= MaximumBytesPerSecond);
    BOOST_TEST(traffic.busiest <= 3 * traffic.middle);
}

BOOST_AUTO_TEST_SUITE_END()
