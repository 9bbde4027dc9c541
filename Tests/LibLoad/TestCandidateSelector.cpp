#include <LibLoad/CandidateSelector.h>
#include <LibLoad/LoadEstimate.h>

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Load::CandidateState;
using Load::CandidateStatus;

namespace {

Load::CandidateSelector::Choice choose(
    Load::CandidateSelector& selector, std::vector<CandidateStatus> const& statuses, double mean = 100)
{
    return selector.choose(statuses.size(), mean, [&](std::size_t index, bool) { return statuses[index]; });
}

/// The estimate after several identical reports.
double estimateAfter(int reports, std::uint32_t busySlots, double serviceMean)
{
    Core::ManualClock clock;
    Load::LoadEstimate estimate;
    for (int i = 0; i < reports; ++i) {
        clock.advance(500ms);
        estimate.record(
            { .busySlots = busySlots }, 4, 2000, { .ownFlows = 0, .serviceMean = serviceMean }, clock.now());
    }
    return estimate.utilisation(clock.now()).value_or(-1);
}

}

BOOST_AUTO_TEST_SUITE(TestCandidateSelector)

BOOST_AUTO_TEST_CASE(TargetIsKeptWithoutAReason)
{
    // Guards against always selecting the least loaded upstream, which would skip the target for every open and make
    // every bucket a tracked one.
    Load::CandidateSelector selector;
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(*choose(selector, { { .relativeLoad = 1.03 }, { .relativeLoad = 0.5 } }).index == 0U);
}

BOOST_AUTO_TEST_CASE(LoadedTargetIsLeftAtABoundedRate)
{
    // Guards against wrong load reports that make every open skip its target.
    Load::CandidateSelector selector;
    int left = 0;
    for (int i = 0; i < 10000; ++i)
        left += choose(selector, { { .relativeLoad = 2 }, { .relativeLoad = 0.5 } }).index == 1U;
    BOOST_TEST(left > 300);
    BOOST_TEST(left <= 520);
}

BOOST_AUTO_TEST_CASE(FewFlowsDoNotCauseDeviation)
{
    // Guards against reacting to the noise of small counts: with a mean of 4 flows, one more flow is 25%.
    Load::CandidateSelector selector;
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(*choose(selector, { { .relativeLoad = 1.25 }, { .relativeLoad = 0.75 } }, 4).index == 0U);
}

BOOST_AUTO_TEST_CASE(OwnZoneFirstThenGradualSpill)
{
    // Guards against flows that cross zones while the local one has capacity, and against a local zone that is filled
    // completely before any flow spills over.
    CandidateStatus const dead { .state = CandidateState::Unusable };
    auto chosen = [&](double ownZoneLoad) {
        Load::CandidateSelector selector;
        CandidateStatus other { .relativeLoad = 1 };
        CandidateStatus own { .relativeLoad = ownZoneLoad, .isInOwnZone = true };
        return *choose(selector, { dead, other, other, other, other, own }).index;
    };
    BOOST_TEST(chosen(1.0) == 5U);
    BOOST_TEST(chosen(1.05) == 5U);
    BOOST_TEST(chosen(1.2) == 1U);
}

BOOST_AUTO_TEST_CASE(WarmUpstreamsGoBeforeStartingOnes)
{
    // Guards against redirected flows that exhaust the allowance of a cold upstream.
    Load::CandidateSelector selector;
    CandidateStatus const full { .state = CandidateState::AtLimit };
    CandidateStatus const starting { .state = CandidateState::Starting, .relativeLoad = 0 };
    BOOST_TEST(*choose(selector, { full, starting, { .relativeLoad = 1.1 } }).index == 2U);
    BOOST_TEST(*choose(selector, { full, starting }).index == 1U);
    BOOST_TEST(!choose(selector, { full, full }).index.has_value());
}

BOOST_AUTO_TEST_CASE(OneReportMovesAnEstimateByABoundedStep)
{
    // Guards against a single wrong report that shifts much load.
    BOOST_TEST(estimateAfter(1, 4, 0.5) == 0.525, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(estimateAfter(100, 4, 0.5) == 1.0, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(ImplausibleZeroReportIsRejected)
{
    // Guards against an upstream with broken reporting that attracts the load of the whole service.
    Core::ManualClock clock;
    Load::LoadEstimate estimate;
    Load::LoadEstimate::Observation observation { .ownFlows = 50, .serviceMean = 0.7 };
    BOOST_TEST(!estimate.record({ .busySlots = 0 }, 4, 2000, observation, clock.now()));
    BOOST_TEST(!estimate.record({ .connections = 0, .busySlots = 2 }, 4, 2000, observation, clock.now()));
    BOOST_TEST(!estimate.utilisation(clock.now()));
    // In a service with little load, an idle upstream is plausible.
    BOOST_TEST(estimate.record({ .busySlots = 0 }, 4, 2000, { .ownFlows = 50, .serviceMean = 0.1 }, clock.now()));
}

BOOST_AUTO_TEST_CASE(ReportsAgeOutAndHaveBoundedInfluence)
{
    // Guards against old reports that influence the selection forever, and against reports that outweigh the flow
    // counts.
    Core::ManualClock clock;
    Load::LoadEstimate estimate;
    for (int i = 0; i < 20; ++i)
        estimate.record({ .busySlots = 4 }, 4, 2000, { .ownFlows = 50, .serviceMean = 0.2 }, clock.now());
    BOOST_TEST(estimate.factor(0.2, clock.now()) == Load::LoadEstimate::MaxFactor, boost::test_tools::tolerance(1e-9));
    clock.advance(5s);
    BOOST_TEST(estimate.factor(0.2, clock.now()) == (1 + Load::LoadEstimate::MaxFactor) / 2,
        boost::test_tools::tolerance(1e-9));
    clock.advance(6s);
    BOOST_TEST(estimate.factor(0.2, clock.now()) == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(!estimate.record({ .busySlots = 0, .age = 60s }, 4, 2000, {}, clock.now()));
}

BOOST_AUTO_TEST_SUITE_END()
