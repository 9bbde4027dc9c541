#include "LoadExchangeScenario.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Balancers = 83;
constexpr std::size_t Reporter = 50;
constexpr double Loss = 0.05;
std::uint64_t const RandomSeeds[] = { 1, 2, 3 };

struct Failure {
    char const* name;
    std::function<void(LoadExchangeFleet&)> happen;
    /// Time from the failure to the observation that has to spread.
    std::chrono::milliseconds recovery;
};

std::ostream& operator<<(std::ostream& stream, Failure const& failure) { return stream << failure.name; }

void stop(LoadExchangeFleet& fleet, std::size_t first, std::size_t step)
{
    for (auto node = first; node < fleet.nodes.size(); node += step)
        fleet.nodes[node].isUp = false;
}

void splitAndHeal(LoadExchangeFleet& fleet, bool hasFollowers)
{
    // Longer than addresses are kept. All seeds are in one part.
    constexpr auto Partition = 90s;
    fleet.hasFollowers = hasFollowers;
    for (std::size_t node = Balancers / 2; node < Balancers; ++node)
        fleet.nodes[node].part = 1;
    fleet.run(Partition);
    for (auto& node : fleet.nodes)
        node.part = 0;
}

Failure const Failures[] = {
    { "a seed dies", [](auto& fleet) { fleet.nodes[0].isUp = false; }, 0ms },
    { "all seeds die",
        [](auto& fleet) {
            for (std::size_t node = 0; node < LoadExchangeFleet::SeedCount; ++node)
                fleet.nodes[node].isUp = false;
        },
        0ms },
    { "all restart at once",
        [](auto& fleet) {
            for (std::size_t node = 0; node < Balancers; ++node)
                fleet.start(node);
        },
        10s },
    { "half are killed", [](auto& fleet) { stop(fleet, 1, 2); }, 0ms },
    { "half are killed, later", [](auto& fleet) { stop(fleet, 1, 2); }, 60s },
    { "partition, seed has followers", [](auto& fleet) { splitAndHeal(fleet, true); }, 15s },
    { "partition, nobody has followers", [](auto& fleet) { splitAndHeal(fleet, false); }, 15s },
    { "half have an earlier version",
        [](auto& fleet) {
            // Earlier versions neither send nor use load reports. One seed has the present version.
            stop(fleet, 1, 2);
            for (std::size_t node = 0; node < Balancers; node += 2)
                fleet.start(node);
        },
        10s },
};

/// Requests in flight count up, so that an older observation has a smaller number.
struct CountingReporter {
    explicit CountingReporter(LoadExchangeFleet& fleet)
    {
        fleet.makeReport = [this, &fleet](auto node, auto) {
            Load::LoadReport report { LoadExchangeFleet::reporter(node), {} };
            if (node != Reporter || isSilent)
                return report;
            auto reported = observation(Marked, 4);
            auto seconds = std::chrono::duration_cast<std::chrono::seconds>(fleet.clock.now().time_since_epoch());
            // Small numbers are encoded exactly.
            reported.requestsInFlight = static_cast<std::uint32_t>(seconds.count() % 86'400);
            report.upstreams.push_back(reported);
            return report;
        };
        fleet.reportReceived = [this](auto node, auto const& report) {
            for (auto const& upstream : report.upstreams) {
                auto& latest = m_latest[node];
                olderAfterNewer += upstream.requestsInFlight < latest ? 1 : 0;
                latest = upstream.requestsInFlight;
                greatestAge = std::max(greatestAge, upstream.age);
            }
        };
    }

    bool isSilent { false };
    unsigned olderAfterNewer { 0 };
    std::chrono::milliseconds greatestAge { 0 };

private:
    std::map<std::size_t, std::uint32_t> m_latest;
};

}

BOOST_AUTO_TEST_SUITE(LoadExchangeFailures)

BOOST_DATA_TEST_CASE(ObservationsSpreadAfterAFailure,
    boost::unit_test::data::make(Failures) * boost::unit_test::data::make(RandomSeeds), failure, randomSeed)
{
    // Guards against a fleet that falls apart, or whose balancers send most messages to ones that are gone.
    LoadExchangeFleet fleet { Balancers, Loss, randomSeed };
    Watch watch { fleet };
    fleet.run(30s);
    failure.happen(fleet);
    fleet.run(failure.recovery);
    reportMarked(fleet, { Reporter });
    fleet.run(2s);
    // While half of the messages go to dead balancers, spreading takes longer.
    BOOST_TEST(watch.share(Reporter) >= (failure.recovery > 0ms ? 0.99 : 0.9), watch.share(Reporter));
    fleet.run(2s);
    BOOST_TEST(watch.share(Reporter) >= 0.99, watch.share(Reporter));
}

BOOST_AUTO_TEST_CASE(AddressesOfDeadBalancersExpire)
{
    // Guards against bytes for balancers that have been replaced long ago.
    LoadExchangeFleet fleet { Balancers };
    fleet.run(30s);
    fleet.hasFollowers = false;
    stop(fleet, 3, 2);
    fleet.run(65s);
    fleet.sentToDead = 0;
    fleet.run(60s);
    BOOST_TEST(fleet.sentToDead == 0U);
}

BOOST_AUTO_TEST_CASE(ResumedBalancerSpreadsNothingOld)
{
    // Guards against observations from before a pause that replace later ones.
    LoadExchangeFleet fleet { Balancers };
    CountingReporter reporter { fleet };
    fleet.run(15s);
    for (std::size_t node = 10; node < 30; ++node)
        fleet.nodes[node].isPaused = true;
    fleet.run(5s);
    for (std::size_t node = 10; node < 30; ++node)
        fleet.nodes[node].isPaused = false;
    fleet.run(5s);
    BOOST_TEST(reporter.olderAfterNewer == 0U);
    BOOST_TEST(reporter.greatestAge.count() <= 2100);
}

BOOST_AUTO_TEST_CASE(RestartedReporterIsHeardAtOnce)
{
    // Guards against taking the reports of a restarted balancer for older ones than those of its predecessor.
    LoadExchangeFleet fleet { Balancers };
    CountingReporter reporter { fleet };
    fleet.run(15s);
    fleet.start(Reporter);
    Watch watch { fleet };
    fleet.run(4s);
    BOOST_TEST(watch.share(Reporter) >= 0.99, watch.share(Reporter));
}

BOOST_AUTO_TEST_CASE(FullLinkIsNotPressed)
{
    // Guards against attempts in quick succession while the link is full, and against silence after it.
    constexpr int Seconds = 10;
    LoadExchangeFleet fleet { Balancers };
    Watch watch { fleet };
    reportMuch(fleet, [](auto node) { return node == Reporter; });
    fleet.run(30s);
    fleet.isLinkFull = true;
    auto const& counters = fleet.nodes[Reporter].exchange->counters();
    auto before = counters;
    fleet.run(std::chrono::seconds { Seconds });
    BOOST_TEST(counters.messagesSent == before.messagesSent);
    BOOST_TEST(counters.sendFailures - before.sendFailures <= 6U * Seconds);
    fleet.isLinkFull = false;
    Watch watchAfterwards { fleet };
    fleet.run(3s);
    BOOST_TEST(watchAfterwards.share(Reporter) >= 0.95, watchAfterwards.share(Reporter));
}

BOOST_AUTO_TEST_SUITE_END()
