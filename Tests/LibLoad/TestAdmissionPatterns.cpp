#include "AdmissionSite.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

using namespace Chicorytally;
using Tests::AdmissionSite;
using Tests::Kind;
using Tests::LoadPattern;
using Tests::SiteOutcome;

// Bounds of docs/hard-load.md, section 3.3.
static constexpr double UrgentShare = 0.99;
static constexpr double ValueToOracle = 0.93;
static constexpr double RefusalsWithSpareCapacity = 0.01;
static constexpr double VariationPerSecond = 0.10;

// Loads are parts of all slots. Except for the cold start, routes are learnt in 2 s of lighter load.
static constexpr double LearningSeconds = 2;

/// A load or a speed that has another value during some time.
static std::function<double(double)> during(double from, double to, double usual, double changed)
{
    return [=](double time) { return time >= from && time < to ? changed : usual; };
}

static std::function<double(Kind, double)> loads(
    std::function<double(double)> submissions, std::function<double(double)> streams)
{
    return [submissions = std::move(submissions), streams = std::move(streams)](
               Kind kind, double time) { return kind == Kind::Submission ? submissions(time) : streams(time); };
}

static std::function<double(double)> always(double load)
{
    return [load](double) { return load; };
}

static LoadPattern stepTo200Percent()
{
    return { .name = "step to 200%",
        .load = loads(during(2, 20, 0.15, 0.5), during(2, 20, 0.35, 1.5)),
        .countedFrom = LearningSeconds };
}

static LoadPattern stepWithLateRejections()
{
    auto pattern = stepTo200Percent();
    pattern.name = "step to 200%, rejections take 82 ms";
    pattern.rejectionDelay = 0.08;
    return pattern;
}

static LoadPattern surgeOfStreams()
{
    return {
        .name = "surge of streams", .load = loads(always(0.2), during(2, 9, 0.3, 2)), .countedFrom = LearningSeconds
    };
}

static LoadPattern surgeOfSubmissions()
{
    return { .name = "surge of submissions",
        .load = loads(during(2, 9, 0.1, 0.8), always(0.6)),
        .countedFrom = LearningSeconds };
}

static LoadPattern halfSlow()
{
    return { .name = "half of the upstreams 4 times as slow",
        .load = loads(always(0.3), always(0.6)),
        .speed = [](double upstream, double time) { return upstream < 0.5 ? during(2, 9, 1, 0.25)(time) : 1; },
        .countedFrom = LearningSeconds };
}

static LoadPattern flappingCapacity()
{
    return { .name = "flapping capacity",
        .load = loads(always(0.3), always(0.7)),
        .speed = [](double, double time) { return time > 2 && std::fmod(time, 4) < 2 ? 0.5 : 1; },
        .duration = 14,
        .countedFrom = LearningSeconds };
}

static LoadPattern greedyCaller()
{
    return { .name = "greedy caller",
        .load = loads(always(0.3), during(2, 20, 0.3, 1.2)),
        .greedyShare = 0.5,
        .countedFrom = LearningSeconds };
}

static LoadPattern retryStorm()
{
    return {
        .name = "retry storm", .load = loads(always(0.3), during(2, 3.5, 0.4, 3)), .countedFrom = LearningSeconds
    };
}

static LoadPattern coldStart() { return { .name = "cold start at a peak", .load = loads(always(0.5), always(1.5)) }; }

static SiteOutcome play(LoadPattern const& pattern)
{
    auto outcome = AdmissionSite { pattern }.run();
    BOOST_TEST_MESSAGE(pattern.name << (pattern.hasAdmission ? "" : ", no admission control") << ": urgent on time "
                                    << outcome.of(Kind::Submission).onTimeShare() << ", streams on time "
                                    << outcome.of(Kind::Stream).onTimeShare() << ", value to oracle "
                                    << outcome.value() / outcome.oracleValue << ", arrivals per served request "
                                    << outcome.arrivals / (outcome.arrivals - outcome.rejected));
    return outcome;
}

static void checkBounds(LoadPattern pattern)
{
    auto outcome = play(pattern);
    pattern.hasAdmission = false;
    auto without = play(pattern);
    BOOST_TEST(outcome.of(Kind::Submission).onTimeShare() >= UrgentShare);
    BOOST_TEST(outcome.value() >= ValueToOracle * outcome.oracleValue);
    BOOST_TEST(outcome.value() >= without.value());
}

static double variation(std::vector<double> const& perSecond, std::size_t from, std::size_t to)
{
    double greatest = 0;
    for (auto i = from + 1; i < to; ++i)
        greatest = std::max(greatest, std::abs(perSecond[i] / perSecond[i - 1] - 1));
    return greatest;
}

BOOST_AUTO_TEST_SUITE(AdmissionPatterns)

// One case for each row of the table of patterns, so that one that misses its bounds can be listed alone. They guard
// against urgent requests that are served no better than others in an overload, and against unused capacity.
BOOST_AUTO_TEST_CASE(StepTo200Percent) { checkBounds(stepTo200Percent()); }
BOOST_AUTO_TEST_CASE(StepWithLateRejections) { checkBounds(stepWithLateRejections()); }
BOOST_AUTO_TEST_CASE(SurgeOfStreams) { checkBounds(surgeOfStreams()); }
BOOST_AUTO_TEST_CASE(SurgeOfSubmissions) { checkBounds(surgeOfSubmissions()); }
BOOST_AUTO_TEST_CASE(HalfOfTheUpstreamsSlow) { checkBounds(halfSlow()); }
BOOST_AUTO_TEST_CASE(FlappingCapacity) { checkBounds(flappingCapacity()); }
BOOST_AUTO_TEST_CASE(GreedyCaller) { checkBounds(greedyCaller()); }
BOOST_AUTO_TEST_CASE(RetryStorm) { checkBounds(retryStorm()); }
BOOST_AUTO_TEST_CASE(ColdStartAtAPeak) { checkBounds(coldStart()); }

BOOST_AUTO_TEST_CASE(GreedyCallerDoesNotDisplaceOthers)
{
    // Guards against a caller with many flows that takes the capacity of callers with few. The others ask for less than
    // their equal shares.
    auto const outcome = play(greedyCaller());
    auto const& streams = outcome.of(Kind::Stream);
    auto others = (streams.onTime - streams.greedyOnTime) / (streams.asked - streams.greedyAsked);
    BOOST_TEST(others >= 0.9);
}

BOOST_AUTO_TEST_CASE(AdmittedRateIsSteady)
{
    // Guards against an estimate that oscillates at a steady load of 150%.
    auto outcome = play({ .name = "steady 150%", .load = loads(always(0.4), always(1.1)), .duration = 15 });
    BOOST_TEST(variation(outcome.servedPerSecond, 4, 14) < VariationPerSecond);
}

BOOST_AUTO_TEST_CASE(RequestsAreRejectedSeldom)
{
    // Guards against a limit so high that upstreams reject what balancers admit: at most 1.15 arrivals per admitted
    // request at twice the capacity.
    auto pattern = stepTo200Percent();
    auto outcome = play(pattern);
    BOOST_TEST(outcome.arrivals / (outcome.arrivals - outcome.rejected) <= 1.15);
}

BOOST_AUTO_TEST_CASE(NothingIsRefusedWithSpareCapacity)
{
    // Guards against refusals at normal load, and against contention that outlives a surge by more than 2 s.
    auto normal = play({ .name = "normal load", .load = loads(always(0.2), always(0.5)) });
    BOOST_TEST(normal.refusals <= RefusalsWithSpareCapacity * normal.opens);
    auto storm = play(retryStorm());
    auto late = std::accumulate(storm.refusalsPerSecond.begin() + 6, storm.refusalsPerSecond.end(), 0.0);
    BOOST_TEST(late <= RefusalsWithSpareCapacity * storm.opens / 10);
}

BOOST_AUTO_TEST_CASE(PausedBalancersRecover)
{
    // Guards against a balancer that stands still for 2 s in a contention and refuses nearly everything, or admits
    // everything, after it.
    auto pattern = stepTo200Percent();
    pattern.pausedBalancers = 5;
    pattern.pauseFrom = 4;
    pattern.pauseTo = 6;
    auto outcome = play(pattern);
    BOOST_TEST(outcome.urgentOnTimePerSecond[8] >= UrgentShare * outcome.urgentAskedPerSecond[8]);
    BOOST_TEST(variation(outcome.servedPerSecond, 7, 9) < VariationPerSecond);
}

BOOST_AUTO_TEST_CASE(LossOfHalfOfTheBalancersAtAPeak)
{
    // Guards against limits that the remaining balancers learnt for half of the load that they now have.
    auto pattern = stepTo200Percent();
    pattern.pausedBalancers = AdmissionSite::Balancers / 2;
    pattern.pauseFrom = 4;
    pattern.isPausePermanent = true;
    auto outcome = play(pattern);
    BOOST_TEST(outcome.urgentOnTimePerSecond[7] >= UrgentShare * outcome.urgentAskedPerSecond[7]);
    BOOST_TEST(outcome.servedPerSecond[7] >= 0.9 * outcome.servedPerSecond[3]);
}

BOOST_AUTO_TEST_SUITE_END()
