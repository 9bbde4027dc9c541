#include <LibLoad/Load.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Core::UpstreamId const Upstream { 1 };
constexpr auto Heartbeat = 1000ms;
constexpr auto SlowStart = 4000ms;
constexpr std::size_t UpstreamsOfService = 8;

struct Fixture {
    Core::ManualClock clock;
    std::optional<std::chrono::milliseconds> slowStart { SlowStart };
    bool wasCutOff { false };
    unsigned formerFlowsSilent { 0 };
    Load::ReturningUpstreams returning { clock, { .heartbeat = Heartbeat },
        { .slowStartOf = [this](auto) { return slowStart; },
            .wasCutOff = [this](auto, auto) { return wasCutOff; },
            .upstreamsOfSameService =
                [](auto) {
                    std::vector<Core::UpstreamId> upstreams;
                    for (std::uint64_t id = 1; id <= UpstreamsOfService; ++id)
                        upstreams.emplace_back(id);
                    return upstreams;
                },
            .formerFlowsSilent = [this](auto, auto) { ++formerFlowsSilent; } } };

    bool loseAndReturn(unsigned refusedProbes, std::chrono::milliseconds refusedFor = 500ms)
    {
        Load::UpstreamLoss loss { clock.now(), refusedProbes, refusedFor };
        clock.advance(1s);
        return returning.noteReturned(Upstream, loss);
    }

    /// Lets the time pass, with the directory complete all the time or never.
    void passTime(std::chrono::milliseconds duration, bool isDirectoryComplete)
    {
        for (auto end = clock.now() + duration; clock.now() < end;) {
            clock.advance(50ms);
            if (isDirectoryComplete)
                returning.noteSynchronised(clock.now());
        }
    }
};

struct ReturnCase {
    char const* name;
    unsigned refusedProbes;
    std::chrono::milliseconds refusedFor;
    bool wasCutOff;
    bool isPossiblyCold;
    bool isReported;
};

std::ostream& operator<<(std::ostream& stream, ReturnCase const& testCase) { return stream << testCase.name; }

ReturnCase const ReturnCases[] {
    { "refused connections for longer", 3, 500ms, false, true, true },
    { "refused connections for a moment", 4, 150ms, false, true, false },
    { "silent", 0, 0ms, false, true, false },
    { "zone cut off", 0, 0ms, true, false, false },
    { "refused connections in a zone that was cut off", 3, 500ms, true, true, true },
};

struct EndCase {
    char const* name;
    std::optional<std::chrono::milliseconds> slowStart;
    bool isDirectoryComplete;
    std::chrono::milliseconds expected;
};

std::ostream& operator<<(std::ostream& stream, EndCase const& testCase) { return stream << testCase.name; }

EndCase const EndCases[] {
    { "no discovery", SlowStart, false, SlowStart },
    { "no discovery, unknown slow start", std::nullopt, false, 2 * Heartbeat },
    { "complete directory without a new entry", SlowStart, true, 2 * Heartbeat },
    { "no slow start", 0ms, false, 0ms },
};

}

BOOST_FIXTURE_TEST_SUITE(ReturningUpstreams, Fixture)

BOOST_DATA_TEST_CASE_F(Fixture, LossDeterminesWhetherItMayBeCold, boost::unit_test::data::make(ReturnCases), testCase)
{
    // Guards against full load on a restarted upstream, against avoiding a whole zone after its link was cut, and
    // against reports of upstreams that were only at their connection limit.
    wasCutOff = testCase.wasCutOff;
    BOOST_TEST(loseAndReturn(testCase.refusedProbes, testCase.refusedFor) == testCase.isReported);
    BOOST_TEST(returning.isPossiblyCold(Upstream) == testCase.isPossiblyCold);
}

BOOST_DATA_TEST_CASE_F(Fixture, CountsAsWarmAfterItsSlowStartOrEntry, boost::unit_test::data::make(EndCases), testCase)
{
    // Guards against an upstream that is avoided for longer than it can be cold, and against counting it as warm before
    // its entry could show a restart.
    slowStart = testCase.slowStart;
    passTime(5s, testCase.isDirectoryComplete);
    loseAndReturn(3);
    auto returnedAt = clock.now();
    while (returning.isPossiblyCold(Upstream))
        passTime(50ms, testCase.isDirectoryComplete);
    auto duration = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - returnedAt);
    BOOST_TEST(duration.count() == testCase.expected.count());
}

BOOST_AUTO_TEST_CASE(DirectoryThatWasIncompleteIsNoEvidenceAtOnce)
{
    // Guards against taking the entry from before an outage of discovery for the present one, because the upstream
    // renews it only with its next heartbeat.
    passTime(5s, true);
    passTime(1700ms, false);
    loseAndReturn(3);
    passTime(1s, false);
    passTime(1900ms, true);
    BOOST_TEST(returning.isPossiblyCold(Upstream));
    passTime(200ms, true);
    BOOST_TEST(!returning.isPossiblyCold(Upstream));
}

BOOST_AUTO_TEST_CASE(ProgressOnAnEarlierFlowShowsTheSameProcess)
{
    // Guards against avoiding an upstream that refused probes at its connection limit and never ended.
    auto openedAt = clock.now();
    clock.advance(100ms);
    loseAndReturn(3);
    BOOST_TEST(returning.isPossiblyCold(Upstream));
    clock.advance(10ms);
    returning.noteProgress(Upstream, clock.now());
    BOOST_TEST(returning.isPossiblyCold(Upstream));
    returning.noteProgress(Upstream, openedAt);
    BOOST_TEST(!returning.isPossiblyCold(Upstream));
}

BOOST_AUTO_TEST_CASE(ProgressDuringTheLossShowsTheSameProcess)
{
    // Guards against reporting an upstream that served flows all the time.
    auto openedAt = clock.now();
    Load::UpstreamLoss loss { clock.now() + 100ms, 3, 500ms };
    clock.advance(500ms);
    returning.noteProgress(Upstream, openedAt);
    BOOST_TEST(!returning.noteReturned(Upstream, loss));
    BOOST_TEST(!returning.isPossiblyCold(Upstream));
}

BOOST_AUTO_TEST_CASE(ReportOfAProcessThatIsKnownToBeWarmIsIgnored)
{
    // Guards against a balancer behind a faulty link that takes load away from upstreams which serve others all the
    // time.
    auto openedAt = clock.now();
    clock.advance(SlowStart);
    returning.noteProgress(Upstream, openedAt);
    BOOST_TEST(!returning.noteReported(Upstream));
    BOOST_TEST(!returning.isPossiblyCold(Upstream));
    clock.advance(600ms);
    BOOST_TEST(returning.noteReported(Upstream));
    BOOST_TEST(returning.isPossiblyCold(Upstream));
}

BOOST_AUTO_TEST_CASE(ReportsHaveBoundedInfluence)
{
    // Guards against a balancer that reports everything and takes load away from most upstreams of a service, or from
    // one of them for good.
    auto countPossiblyCold = [this] {
        std::size_t count = 0;
        for (std::uint64_t id = 1; id <= UpstreamsOfService; ++id)
            count += returning.isPossiblyCold(Core::UpstreamId { id }) ? 1 : 0;
        return count;
    };
    std::chrono::milliseconds firstIsCold { 0 };
    for (auto end = clock.now() + 60s; clock.now() < end; clock.advance(50ms)) {
        for (std::uint64_t id = 1; id <= UpstreamsOfService; ++id)
            returning.noteReported(Core::UpstreamId { id });
        BOOST_TEST(countPossiblyCold() <= UpstreamsOfService / 4);
        if (returning.isPossiblyCold(Upstream))
            firstIsCold += 50ms;
    }
    BOOST_TEST(firstIsCold.count() > 0);
    BOOST_TEST(firstIsCold.count() <= 6 * SlowStart.count());
}

BOOST_AUTO_TEST_CASE(ReturnIsRememberedUntilTheEntryShowsIt)
{
    // Guards against resetting flows of the new process when its entry arrives after a long outage of discovery.
    BOOST_TEST(!returning.newProcessSince(Upstream).has_value());
    auto lostAt = clock.now();
    loseAndReturn(3);
    clock.advance(20s);
    returning.removeExpired();
    BOOST_TEST(!returning.isPossiblyCold(Upstream));
    BOOST_CHECK(returning.newProcessSince(Upstream) == lostAt);
    returning.forget(Upstream);
    BOOST_TEST(!returning.newProcessSince(Upstream).has_value());
}

BOOST_AUTO_TEST_CASE(FormerFlowsAreReportedOnceIfNoneMakesProgress)
{
    // Guards against flows of an ended process that count as load of the new one, and against forgetting the flows of a
    // process that never ended.
    auto openedAt = clock.now();
    loseAndReturn(3);
    clock.advance(SlowStart - 50ms);
    returning.tick();
    BOOST_TEST(formerFlowsSilent == 0U);
    clock.advance(50ms);
    returning.tick();
    returning.tick();
    BOOST_TEST(formerFlowsSilent == 1U);
    loseAndReturn(3);
    returning.noteProgress(Upstream, openedAt);
    clock.advance(SlowStart);
    returning.tick();
    BOOST_TEST(formerFlowsSilent == 1U);
}

BOOST_AUTO_TEST_CASE(EntryOfTheNewProcessEndsIt)
{
    // Guards against holding back an upstream whose entry tells when its slow start ends.
    loseAndReturn(3);
    returning.forget(Upstream);
    BOOST_TEST(!returning.isPossiblyCold(Upstream));
}

BOOST_AUTO_TEST_SUITE_END()
