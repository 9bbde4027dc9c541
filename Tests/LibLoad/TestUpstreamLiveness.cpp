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
    unsigned regained { 0 };
    bool hasFlows { true };
    Load::UpstreamLiveness liveness { clock, {},
        { .startProbe = [this](auto) { ++probes; },
            .hasFlows = [this](auto) { return hasFlows; },
            .probeUnanswered = [this](auto) { ++unanswered; },
            .lost = [this](auto, auto, auto) { ++lost; },
            .regained = [this](auto) { ++regained; } } };

    void suspect() { liveness.suspect(Upstream, SuspicionReason::SilentRequests, clock.now() - 200ms); }
};

struct ProbeCase {
    char const* name;
    std::vector<LivenessProbeResult> results;
    Liveness expected;
    unsigned expectedLosses;
};

std::ostream& operator<<(std::ostream& stream, ProbeCase const& testCase) { return stream << testCase.name; }

ProbeCase const ProbeCases[] {
    { "answered", { LivenessProbeResult::Answered }, Liveness::Alive, 0 },
    { "one refusal", { LivenessProbeResult::Refused }, Liveness::Suspect, 0 },
    { "two refusals", { LivenessProbeResult::Refused, LivenessProbeResult::Refused }, Liveness::Unreachable, 1 },
    { "refusal at the connection limit", { LivenessProbeResult::Refused, LivenessProbeResult::Answered },
        Liveness::Alive, 0 },
    { "one loss", { LivenessProbeResult::NoAnswer, LivenessProbeResult::Answered }, Liveness::Alive, 0 },
    { "two losses", { LivenessProbeResult::NoAnswer, LivenessProbeResult::NoAnswer }, Liveness::Unreachable, 1 },
    { "closing", { LivenessProbeResult::Closing }, Liveness::Suspect, 0 },
    { "not made", { LivenessProbeResult::NotMade }, Liveness::Suspect, 0 },
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
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    BOOST_TEST(lost == 1U);
    clock.advance(60s);
    liveness.tick();
    BOOST_TEST(probes == 2U);
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
    liveness.probeEnded(Upstream, LivenessProbeResult::Refused);
    BOOST_TEST(lost == 1U);
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
