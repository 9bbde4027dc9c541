#include "LoadFleet.h"

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <map>
#include <string>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Load::Policy;

namespace {

constexpr std::array Policies { Policy::Random, Policy::TwoChoices, Policy::OwnCounts, Policy::SharedView,
    Policy::Oracle };
constexpr std::array<std::size_t, 3> FleetSizes { 37, 83, 300 };

// docs/hard-load.md, section 3.4.
constexpr double MaxImbalance = 1.15;
constexpr double MaxQueueingToOracle = 1.3;
constexpr double MaxOverGoalToOracle = 1.2;
constexpr double MaxRemoteChange = 0.05;

struct Scenario {
    std::string name;
    Load::FleetOptions options;
};

Scenario const Equal { "equal speeds", {} };
Scenario const Unequal { "half twice as fast", { .speedOfChanging = 2 } };
Scenario const SlowHalf { "half slow", { .speedOfChanging = 0.25, .changeAt = 4s, .measureFrom = 6s, .end = 14s } };
Scenario const SlowZone { "one zone slow",
    { .speedOfChanging = 0.25, .isZoneChanging = true, .changeAt = 4s, .measureFrom = 14s, .end = 24s } };

Load::FleetResult run(std::string const& name, Load::FleetOptions const& options)
{
    auto result = Load::LoadFleet { options }.run();
    std::printf("%-20s %3zu balancers, %-11s: imbalance %.2f, p99 of queueing %3.0f ms, %5zu over goal and %5zu "
                "rejected of %zu, %.3f remote, changing by %.3f\n",
        name.c_str(), options.balancers, toString(options.policy).data(), result.imbalance, result.queueP99Ms,
        result.overGoal, result.rejected, result.requests, result.remotePart, result.remoteChange);
    return result;
}

/// Each combination runs once, whatever the number of tests that look at it.
Load::FleetResult const& resultOf(Scenario const& scenario, std::size_t balancers, Policy policy)
{
    static std::map<std::tuple<std::string, std::size_t, Policy>, Load::FleetResult> s_results;
    auto [position, isNew] = s_results.try_emplace({ scenario.name, balancers, policy });
    if (isNew) {
        auto options = scenario.options;
        options.balancers = balancers;
        options.policy = policy;
        position->second = run(scenario.name, options);
    }
    return position->second;
}

void checkImbalance(Scenario const& scenario)
{
    for (auto balancers : FleetSizes)
        BOOST_TEST(resultOf(scenario, balancers, Policy::SharedView).imbalance <= MaxImbalance);
}

void checkQueueing(Scenario const& scenario)
{
    for (auto balancers : FleetSizes) {
        auto limit = MaxQueueingToOracle * resultOf(scenario, balancers, Policy::Oracle).queueP99Ms;
        BOOST_TEST(resultOf(scenario, balancers, Policy::SharedView).queueP99Ms <= limit);
    }
}

}

BOOST_AUTO_TEST_SUITE(LoadDecisions)

BOOST_AUTO_TEST_CASE(AllPolicies)
{
    // Guards against a shared view that serves fewer requests within their goal than own counts where the speeds
    // differ, or than random choice where they don't.
    for (auto const& scenario : { Equal, Unequal, SlowHalf }) {
        for (auto balancers : FleetSizes) {
            for (auto policy : Policies)
                resultOf(scenario, balancers, policy);
            auto today = scenario.options.speedOfChanging == 1 ? Policy::Random : Policy::OwnCounts;
            BOOST_TEST(resultOf(scenario, balancers, Policy::SharedView).overGoal
                <= resultOf(scenario, balancers, today).overGoal);
        }
    }
}

BOOST_AUTO_TEST_CASE(EqualSpeedsImbalance)
{
    // Guards against upstreams that are busier than others at equal speeds.
    checkImbalance(Equal);
}

BOOST_AUTO_TEST_CASE(UnequalSpeedsImbalance)
{
    // Guards against slow upstreams that are busier than fast ones.
    checkImbalance(Unequal);
}

BOOST_AUTO_TEST_CASE(EqualSpeedsQueueing)
{
    // Guards against requests that wait at an upstream while others are idle.
    checkQueueing(Equal);
}

BOOST_AUTO_TEST_CASE(UnequalSpeedsQueueing)
{
    // The same, with upstreams of different speeds.
    checkQueueing(Unequal);
}

BOOST_AUTO_TEST_CASE(SlowHalfOverGoal)
{
    // Guards against requests that miss their goal later than 2 s after half of the upstreams became slow.
    for (auto balancers : FleetSizes) {
        auto oracle = static_cast<double>(resultOf(SlowHalf, balancers, Policy::Oracle).overGoal);
        BOOST_TEST(static_cast<double>(resultOf(SlowHalf, balancers, Policy::SharedView).overGoal)
            <= MaxOverGoalToOracle * oracle);
    }
}

BOOST_AUTO_TEST_CASE(SlowZoneSpillsOver)
{
    // Guards against requests that miss their goal in a slow zone while other zones have room.
    for (auto balancers : FleetSizes)
        BOOST_TEST(resultOf(SlowZone, balancers, Policy::SharedView).overGoal
            <= resultOf(SlowZone, balancers, Policy::OwnCounts).overGoal);
}

BOOST_AUTO_TEST_CASE(SpilloverSettles)
{
    // Guards against opens that swing between zones.
    for (auto balancers : FleetSizes)
        BOOST_TEST(resultOf(SlowZone, balancers, Policy::SharedView).remoteChange <= MaxRemoteChange);
}

BOOST_AUTO_TEST_CASE(FaultsOfTheExchange)
{
    // Guards against decisions worse than those by own counts when reports are lost, late, duplicated or wrong, or when
    // all balancers lose their state.
    std::vector<std::pair<std::string, Load::FleetOptions>> cases {
        { "half of reports lost", { .exchange = { .lossRate = 0.5 } } },
        { "all reports lost", { .exchange = { .lossRate = 1 } } },
        { "reports late", { .exchange = { .delay = 1500ms } } },
        { "reports duplicated", { .exchange = { .duplicationRate = 1 } } },
        { "misreporting as slow", { .exchange = { .misreportingPart = 0.1, .misreportingFactor = 10 } } },
        { "misreporting as fast", { .exchange = { .misreportingPart = 0.1, .misreportingFactor = 0.1 } } },
        { "all restart", { .restartAt = 8s } },
    };
    auto today = resultOf(SlowHalf, 37, Policy::OwnCounts).overGoal;
    for (auto const& [name, faults] : cases) {
        auto options = SlowHalf.options;
        options.exchange = faults.exchange;
        options.restartAt = faults.restartAt;
        BOOST_TEST(run(name, options).overGoal <= today);
    }
}

BOOST_AUTO_TEST_SUITE_END()
