#include <LibLoad/Load.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Load::Liveness;
using Load::LivenessProbeResult;
using Load::SuspicionReason;

namespace {

Core::UpstreamId const Upstream { 1 };

struct Fixture {
    Core::ManualClock clock;
    unsigned probes { 0 };
    unsigned unanswered { 0 };
    unsigned lost { 0 };
    unsigned flowsEnded { 0 };
    unsigned regained { 0 };
    bool hasFlows { true };
    Load::UpstreamLiveness liveness { clock, {},
        { .startProbe = [this](auto) { ++probes; },
            .hasFlows = [this](auto) { return hasFlows; },
            .probeUnanswered = [this](auto) { ++unanswered; },
            .lost = [this](auto, auto, auto) { ++lost; },
            .flowsEnded = [this](auto, auto) { ++flowsEnded; },
            .regained = [this](auto) { ++regained; } } };

    void suspect() { liveness.suspect(Upstream, SuspicionReason::SilentRequests, clock.now() - 200ms); }
};

struct ProbeCase {
    char const* name;
    std::vector<LivenessProbeResult> results;
    Liveness expected;
    unsigned expectedLosses;
    bool haveFlowsEnded;
};

std::ostream& operator<<(std::ostream& stream, ProbeCase const& testCase) { return stream << testCase.name; }

ProbeCase const ProbeCases[] {
    { "answered", { LivenessProbeResult::Answered }, Liveness::Alive, 0, false },
    { "one refusal", { LivenessProbeResult::Refused }, Liveness::Suspect, 0, false },
    { "two refusals", { LivenessProbeResult::Refused, LivenessProbeResult::Refused }, Liveness::Unreachable, 1, false },
    { "many refusals", std::vector<LivenessProbeResult>(20, LivenessProbeResult::Refused), Liveness::Unreachable, 1,
        false },
    { "refusal and loss", { LivenessProbeResult::Refused, LivenessProbeResult::NoAnswer }, Liveness::Unreachable, 1,
        false },
    { "loss and refusal", { LivenessProbeResult::NoAnswer, LivenessProbeResult::Refused }, Liveness::Unreachable, 1,
        false },
    { "refusal and two losses",
        { LivenessProbeResult::Refused, LivenessProbeResult::NoAnswer, LivenessProbeResult::NoAnswer },
        Liveness::Unreachable, 1, true },
    { "refusal at the connection limit", { LivenessProbeResult::Refused, LivenessProbeResult::Answered },
        Liveness::Alive, 0, false },
    { "one loss", { LivenessProbeResult::NoAnswer, LivenessProbeResult::Answered }, Liveness::Alive, 0, false },
    { "two losses", { LivenessProbeResult::NoAnswer, LivenessProbeResult::NoAnswer }, Liveness::Unreachable, 1, true },
    { "two losses and none made between them",
        { LivenessProbeResult::NoAnswer, LivenessProbeResult::NotMade, LivenessProbeResult::NoAnswer },
        Liveness::Unreachable, 1, true },
    { "closing", { LivenessProbeResult::Closing }, Liveness::Suspect, 0, false },
    { "not made", { LivenessProbeResult::NotMade }, Liveness::Suspect, 0, false },
};

}

BOOST_FIXTURE_TEST_SUITE(UpstreamLiveness, Fixture)

BOOST_DATA_TEST_CASE_F(Fixture, ProbeResultsDetermineLiveness, boost::unit_test::data::make(ProbeCases), testCase)
{
    // Guards against giving up flows although their upstream is alive.
    suspect();
    for (auto result : testCase.results)
        liveness.probeEnded(Upstream, result);
    BOOST_CHECK(liveness.livenessOf(Upstream) == testCase.expected);
    BOOST_TEST(lost == testCase.expectedLosses);
    BOOST_TEST(liveness.haveFlowsEnded(Upstream) == testCase.haveFlowsEnded);
    BOOST_TEST(flowsEnded == (testCase.haveFlowsEnded ? 1U : 0U));
}

BOOST_AUTO_TEST_CASE(ProgressPreventsSuspicion)
{
    // Guards against probing an upstream that is only slow with a single request.
    clock.advance(1s);
    liveness.noteProgress(Upstream);
    clock.advance(100ms);
    suspect();
    BOOST_TEST(probes == 0U);
}

BOOST_AUTO_TEST_CASE(SlowUpstreamIsNotProbedAllTheTime)
{
    // Guards against constant probing of an upstream that is slow but alive.
    for (auto end = clock.now() + 5s; clock.now() < end; clock.advance(50ms)) {
        suspect();
        liveness.probeEnded(Upstream, LivenessProbeResult::Answered);
    }
    BOOST_TEST(probes <= 5U);
}

BOOST_AUTO_TEST_CASE(UnreachableUpstreamIsProbedUntilItAnswers)
{
    // Guards against an upstream that stays unused after a temporary network failure.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    for (auto end = clock.now() + 10s; clock.now() < end; clock.advance(50ms)) {
        auto before = probes;
        liveness.tick();
        if (probes != before)
            liveness.probeEnded(Upstream, LivenessProbeResult::NoAnswer);
    }
    BOOST_TEST(probes >= 5U);
    BOOST_TEST(probes <= 9U);
    BOOST_TEST(lost == 1U);
    clock.advance(2s);
    liveness.tick();
    liveness.probeEnded(Upstream, LivenessProbeResult::Answered);
    BOOST_TEST(regained == 1U);
    BOOST_CHECK(liveness.livenessOf(Upstream) == Liveness::Alive);
}

BOOST_AUTO_TEST_CASE(UnlistedUpstreamIsProbedUntilItEnds)
{
    // Guards against resetting flows of an upstream whose service discovery entry expired but which still serves.
    liveness.noteProgress(Upstream);
    liveness.noteUnlisted(Upstream);
    BOOST_TEST(probes == 1U);
    liveness.probeEnded(Upstream, LivenessProbeResult::Answered);
    BOOST_TEST(lost == 0U);
    clock.advance(1s);
    liveness.tick();
    BOOST_TEST(probes == 2U);
    auto refusedSince = clock.now();
    while (lost == 0) {
        liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
        BOOST_TEST(flowsEnded == lost);
        clock.advance(50ms);
        liveness.tick();
        BOOST_REQUIRE(clock.now() - refusedSince <= 1200ms);
    }
    BOOST_TEST((clock.now() - refusedSince >= 1s));
    auto probesToEnd = probes;
    clock.advance(60s);
    liveness.tick();
    BOOST_TEST(probes == probesToEnd);
    BOOST_TEST(flowsEnded == 1U);
}

BOOST_AUTO_TEST_CASE(ProgressOfAnUnlistedUpstreamOutweighsRefusals)
{
    // Guards against resetting flows of an upstream at its connection limit because its entry lapsed for a moment.
    liveness.noteUnlisted(Upstream);
    for (auto end = clock.now() + 10s; clock.now() < end; clock.advance(50ms)) {
        liveness.tick();
        liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
        if ((clock.now().time_since_epoch() / 50ms) % 18 == 0)
            liveness.noteProgress(Upstream);
    }
    BOOST_TEST(lost == 0U);
    BOOST_TEST(flowsEnded == 0U);
}

BOOST_AUTO_TEST_CASE(LossTellsHowLongProbesWereRefused)
{
    // Guards against reporting an upstream that was at its connection limit for a moment as restarted, and against the
    // refusals of an earlier suspicion.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    clock.advance(10s);
    liveness.probeEnded(Upstream, LivenessProbeResult::Answered);
    clock.advance(10s);
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    clock.advance(50ms);
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    auto lostAt = clock.now();
    clock.advance(500ms);
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    clock.advance(1s);
    liveness.probeEnded(Upstream, LivenessProbeResult::Answered);
    auto loss = liveness.lossOf(Upstream);
    BOOST_CHECK(loss.lostAt == lostAt);
    BOOST_TEST(loss.refusedProbes == 3U);
    BOOST_CHECK(loss.refusedFor == 550ms);
}

BOOST_AUTO_TEST_CASE(RefusingUpstreamEndsWithItsEntry)
{
    // Guards against flows of a crashed upstream that are kept for good: its VM answers, so that only the lapse of its
    // entry shows the end.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    clock.advance(2s);
    BOOST_TEST(flowsEnded == 0U);
    liveness.noteUnlisted(Upstream);
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    BOOST_TEST(flowsEnded == 1U);
    BOOST_TEST(liveness.haveFlowsEnded(Upstream));
}

BOOST_AUTO_TEST_CASE(RefusingUpstreamThatFallsSilentEndsItsFlows)
{
    // Guards against callers that wait for their timeout because the VM of a crashed process disappeared later.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    for (int i = 0; i < 2; ++i) {
        BOOST_TEST(flowsEnded == 0U);
        clock.advance(2s);
        liveness.tick();
        liveness.probeEnded(Upstream, LivenessProbeResult::NoAnswer);
    }
    BOOST_TEST(flowsEnded == 1U);
}

BOOST_AUTO_TEST_CASE(SlowUpstreamNeedsMoreUnansweredProbes)
{
    // Guards against resetting flows of a slow upstream whose full accept queue drops probes.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Answered);
    clock.advance(1s);
    suspect();
    for (int i = 0; i < 3; ++i)
        liveness.probeEnded(Upstream, LivenessProbeResult::NoAnswer);
    BOOST_TEST(lost == 0U);
    liveness.probeEnded(Upstream, LivenessProbeResult::NoAnswer);
    BOOST_TEST(flowsEnded == 1U);
    clock.advance(10s);
    liveness.probeEnded(Upstream, LivenessProbeResult::Answered);
    clock.advance(6s);
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::NoAnswer);
    liveness.probeEnded(Upstream, LivenessProbeResult::NoAnswer);
    BOOST_TEST(flowsEnded == 2U);
}

BOOST_AUTO_TEST_CASE(ClosingUpstreamIsProbedAgainLater)
{
    // Guards against resetting flows of a draining upstream that has closed its listener but still sends its last
    // responses.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Closing);
    clock.advance(400ms);
    liveness.tick();
    BOOST_TEST(probes == 1U);
    BOOST_TEST(lost == 0U);
    clock.advance(100ms);
    liveness.tick();
    BOOST_TEST(probes == 2U);
    liveness.probeEnded(Upstream, LivenessProbeResult::Closing);
    BOOST_TEST(lost == 1U);
}

BOOST_AUTO_TEST_CASE(ClosingUpstreamIsLostWithItsEntry)
{
    // Guards against a suspect that is never probed again after service discovery dropped it.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Closing);
    liveness.noteUnlisted(Upstream);
    liveness.tick();
    BOOST_TEST(probes == 2U);
    liveness.probeEnded(Upstream, LivenessProbeResult::Ended);
    BOOST_TEST(lost == 1U);
    BOOST_TEST(flowsEnded == 1U);
}

BOOST_AUTO_TEST_CASE(RefusedProbeIsRepeatedLater)
{
    // Guards against resetting flows of an upstream that serves them but is at its connection limit for a moment.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    clock.advance(40ms);
    liveness.tick();
    BOOST_TEST(probes == 1U);
    clock.advance(10ms);
    liveness.tick();
    BOOST_TEST(probes == 2U);
    BOOST_TEST(lost == 0U);
}

BOOST_AUTO_TEST_CASE(UnlistedUpstreamWithoutFlowsIsNotProbed)
{
    // Guards against a whole fleet that probes each upstream that a release has ended.
    hasFlows = false;
    liveness.noteUnlisted(Upstream);
    clock.advance(5s);
    liveness.tick();
    BOOST_TEST(probes == 0U);
    hasFlows = true;
    liveness.tick();
    BOOST_TEST(probes == 1U);
}

BOOST_AUTO_TEST_CASE(SilenceOfAllUpstreamsIsDoubted)
{
    // Guards against a balancer whose own link is full for some hundred milliseconds and that resets the flows of all
    // upstreams for it.
    auto suspectAll = [this] {
        for (std::uint64_t id = 1; id <= 4; ++id)
            liveness.suspect(Core::UpstreamId { id }, SuspicionReason::SilentRequests, clock.now() - 200ms);
    };
    auto endProbes = [this](LivenessProbeResult result) {
        clock.advance(150ms);
        for (std::uint64_t id = 1; id <= 4; ++id)
            liveness.probeEnded(Core::UpstreamId { id }, result);
    };
    suspectAll();
    for (int round = 0; round < 5; ++round)
        endProbes(LivenessProbeResult::NoAnswer);
    BOOST_TEST(lost == 0U);
    endProbes(LivenessProbeResult::Answered);
    BOOST_TEST(lost == 0U);
    clock.advance(5s);
    suspectAll();
    for (int round = 0; round < 6; ++round)
        endProbes(LivenessProbeResult::NoAnswer);
    BOOST_TEST(lost == 4U);
}

BOOST_AUTO_TEST_CASE(SilentUpstreamsAreLostAtOnceIfAnotherAnswers)
{
    // Guards against delayed resets when several upstreams fail together.
    for (std::uint64_t id = 1; id <= 4; ++id)
        liveness.suspect(Core::UpstreamId { id }, SuspicionReason::SilentRequests, clock.now() - 200ms);
    clock.advance(150ms);
    liveness.noteProgress(Core::UpstreamId { 9 });
    for (int round = 0; round < 2; ++round) {
        for (std::uint64_t id = 1; id <= 4; ++id)
            liveness.probeEnded(Core::UpstreamId { id }, LivenessProbeResult::NoAnswer);
    }
    BOOST_TEST(lost == 4U);
}

BOOST_AUTO_TEST_CASE(OwnObservationIsReportedOnce)
{
    // Guards against other balancers learning of a failed upstream only by losing a request, and against reports that
    // are triggered by reports.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::NoAnswer);
    BOOST_TEST(unanswered == 1U);
    BOOST_TEST(lost == 0U);
    liveness.probeEnded(Upstream, LivenessProbeResult::NoAnswer);
    BOOST_TEST(unanswered == 1U);
    BOOST_TEST(lost == 1U);

    Core::UpstreamId const other { 2 };
    liveness.suspect(other, SuspicionReason::Reported, clock.now());
    liveness.probeEnded(other, LivenessProbeResult::NoAnswer);
    liveness.probeEnded(other, LivenessProbeResult::NoAnswer);
    BOOST_TEST(unanswered == 1U);
    BOOST_TEST(lost == 2U);
}

BOOST_AUTO_TEST_CASE(ProgressBetweenSuspicionAndVerdictWins)
{
    // Guards against resetting flows although one of them made progress while the probes were under way.
    for (auto result : { LivenessProbeResult::NoAnswer, LivenessProbeResult::Refused }) {
        suspect();
        liveness.probeEnded(Upstream, result);
        clock.advance(10ms);
        liveness.noteProgress(Upstream);
        for (int i = 0; i < 6; ++i)
            liveness.probeEnded(Upstream, result);
        BOOST_TEST(lost == 0U);
        BOOST_TEST(flowsEnded == 0U);
        clock.advance(2s);
    }
}

BOOST_AUTO_TEST_CASE(TrafficMarksUpstreamAlive)
{
    // Guards against resetting flows that get responses.
    suspect();
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    liveness.noteProgress(Upstream);
    BOOST_CHECK(liveness.livenessOf(Upstream) == Liveness::Alive);
    BOOST_TEST(regained == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
