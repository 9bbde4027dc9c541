#include "SiteSimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Tests::Outcome;
using Tests::SiteSimulation;

namespace {

/// A fault or operator action after two seconds of normal operation, and its permitted effect on callers.
struct Scenario {
    char const* name;
    void (*change)(SiteSimulation&);
    /// Maximum number of lost requests and failed open attempts over all callers.
    unsigned maximumFailures;
    /// The naive kind must exceed this mean number of failures per seed, so that the scenario is known to cause some. 0
    /// disables this check.
    unsigned naiveFailuresExceed;
};

std::ostream& operator<<(std::ostream& stream, Scenario const& scenario) { return stream << scenario.name; }

Scenario const Scenarios[] {
    { "normal operation", [](SiteSimulation&) {}, 0, 0 },
    { "upstream becomes unresponsive", [](SiteSimulation& site) { site.becomeUnresponsive(0); }, 12, 20 },
    { "two upstreams crash and refuse connections",
        [](SiteSimulation& site) {
            site.crash(0);
            site.crash(3);
        },
        20, 40 },
    { "upstream drains and terminates",
        [](SiteSimulation& site) {
            site.drain(1);
            site.run(4s);
            site.terminate(1);
        },
        6, 0 },
    { "upstream is slow", [](SiteSimulation& site) { site.setServiceTime(2, 700ms); }, 0, 0 },
    { "slow upstreams refuse probes",
        [](SiteSimulation& site) {
            for (std::size_t i = 0; i < site.upstreamCount(); i += 2) {
                site.setServiceTime(i, 700ms);
                site.setRefusingProbes(i, true);
            }
            site.run(3s);
            for (std::size_t i = 0; i < site.upstreamCount(); i += 2)
                site.setRefusingProbes(i, false);
        },
        0, 0 },
    { "upstreams refuse probes while their entries expire and return",
        [](SiteSimulation& site) {
            for (std::size_t i = 0; i < site.upstreamCount(); i += 2) {
                site.setRefusingProbes(i, true);
                site.setListed(i, false);
            }
            site.run(2s);
            for (std::size_t i = 0; i < site.upstreamCount(); i += 2) {
                site.setRefusingProbes(i, false);
                site.setListed(i, true);
            }
        },
        0, 0 },
    { "entries expire and return",
        [](SiteSimulation& site) {
            for (std::size_t i = 0; i < site.upstreamCount(); i += 2)
                site.setListed(i, false);
            site.run(2s);
            for (std::size_t i = 0; i < site.upstreamCount(); i += 2)
                site.setListed(i, true);
        },
        0, 0 },
    { "zone out of service and back",
        [](SiteSimulation& site) {
            site.setZoneOutOfService(0, true);
            site.run(4s);
            site.setZoneOutOfService(0, false);
        },
        0, 20 },
    { "zone partitioned",
        [](SiteSimulation& site) {
            site.setPartitioned(true);
            site.run(4s);
            site.setPartitioned(false);
        },
        0, 0 },
    { "zone out of service and partitioned",
        [](SiteSimulation& site) {
            site.setZoneOutOfService(1, true);
            site.run(500ms);
            site.setPartitioned(true);
            site.run(4s);
            site.setPartitioned(false);
        },
        40, 60 },
    { "balancers restart in turn",
        [](SiteSimulation& site) {
            site.restart(0, 300ms);
            site.run(1s);
            site.restart(1, 300ms);
        },
        0, 0 },
    { "all balancers restart",
        [](SiteSimulation& site) {
            site.restart(0, 800ms);
            site.restart(1, 900ms);
        },
        // All transmissions of an opening packet that is first sent within the first 300 ms are lost.
        10, 0 },
};

Outcome runScenario(SiteSimulation::Kind kind, Scenario const& scenario, std::uint64_t seed)
{
    SiteSimulation site { kind, seed };
    site.run(2s);
    scenario.change(site);
    site.run(8s);
    return site.outcome();
}

}

BOOST_AUTO_TEST_SUITE(SiteScenarios)

BOOST_DATA_TEST_CASE(CallersAreServed, boost::unit_test::data::make(Scenarios), scenario)
{
    // Guards against changes and faults that fail more requests or opens than expected.
    unsigned naiveFailures = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto outcome = runScenario(SiteSimulation::Kind::Tokens, scenario, seed);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(outcome.servedRequests > 1000U);
            BOOST_TEST(outcome.lostRequests + outcome.failedOpens <= scenario.maximumFailures);
            BOOST_TEST(outcome.brokenFlows == 0U);
            BOOST_TEST(outcome.lateOpens == 0U);
        }
        auto naive = runScenario(SiteSimulation::Kind::Naive, scenario, seed);
        naiveFailures += naive.lostRequests + naive.failedOpens;
    }
    if (scenario.naiveFailuresExceed != 0)
        BOOST_TEST(naiveFailures > 5 * scenario.naiveFailuresExceed);
}

BOOST_AUTO_TEST_CASE(RunsWithTheSameSeedAreTheSame)
{
    // Guards against failures that can't be reproduced.
    auto first = runScenario(SiteSimulation::Kind::Tokens, Scenarios[1], 7);
    auto second = runScenario(SiteSimulation::Kind::Tokens, Scenarios[1], 7);
    BOOST_TEST(first.servedRequests == second.servedRequests);
    BOOST_TEST(first.lostRequests == second.lostRequests);
}

BOOST_AUTO_TEST_SUITE_END()
