#include <LibLoad/Load.h>

#include <boost/test/unit_test.hpp>

#include <limits>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Core::ServiceId const Register = Directory::serviceId("register");
auto const Stream = *Core::Endpoint::parse("198.18.0.1:443");
Core::UpstreamId const Upstream { 1 };

struct Fixture {
    Core::ManualClock clock;
    Directory::UpstreamDirectory directory { clock, {}, {} };
    Load::UpstreamLoadCounter load;
    Load::UpstreamSpeed speeds { clock, {} };
    Load::SharedLoadView view { clock, Core::VmId { 1 }, {}, directory, speeds, load };

    Fixture()
    {
        for (std::uint64_t id = 1; id <= 20; ++id)
            add(id, 1);
    }

    void add(std::uint64_t id, std::uint64_t incarnation)
    {
        Directory::UpstreamEntry entry;
        entry.upstream.id = Core::UpstreamId { id };
        entry.upstream.address = *Core::Endpoint::parse("10.0.0." + std::to_string(id) + ":80");
        entry.upstream.slots = 2;
        entry.service = Register;
        entry.incarnation = Core::Incarnation { incarnation };
        entry.revision = Core::Revision { incarnation };
        directory.applyUpstream(entry);
    }

    static Load::UpstreamLoadReport observation(double relativeTime, std::chrono::milliseconds age = 0ms)
    {
        return { Upstream, Core::Incarnation { 1 }, 3, relativeTime, 4, age };
    }

    void receive(std::uint64_t reporter, Load::UpstreamLoadReport const& observation)
    {
        view.handleReport({ Core::VmId { reporter }, { observation } });
    }

    /// Reports of ten balancers that agree.
    void receiveFromTen(double relativeTime, std::chrono::milliseconds age = 0ms)
    {
        for (std::uint64_t reporter = 11; reporter <= 20; ++reporter)
            receive(reporter, observation(relativeTime, age));
    }

    double speed()
    {
        clock.advance(200ms);
        view.tick();
        return view.speedOf(Upstream);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(SharedLoadView, Fixture)

BOOST_AUTO_TEST_CASE(ReportsOfOthersDetermineTheSpeed)
{
    // Guards against a balancer that sends as much as before to an upstream of whose responses it sees too few.
    BOOST_TEST(speed() == 1);
    BOOST_TEST(!view.age().has_value());
    for (std::uint64_t id = 2; id <= 20; ++id) {
        for (std::uint64_t reporter = 11; reporter <= 20; ++reporter)
            receive(reporter, { Core::UpstreamId { id }, Core::Incarnation { 1 }, 1, 1, 4, 0ms });
    }
    receiveFromTen(4);
    BOOST_TEST(speed() < 0.4);
    BOOST_TEST(view.loadOf(Upstream) == 30);
    BOOST_TEST(view.flowLoads(Register));
    BOOST_TEST(view.age().value().count() == 200);
    load.requestStarted(Upstream);
    BOOST_TEST(view.loadOf(Upstream) == 31);
}

BOOST_AUTO_TEST_CASE(WithoutReportsTheOwnObservationsRemain)
{
    // Guards against decisions by stale reports after the exchange has failed, and against losing the own observations
    // with them.
    receiveFromTen(4);
    BOOST_TEST(speed() < 0.4);
    clock.advance(3s);
    BOOST_TEST(speed() == 1);
    BOOST_TEST(view.loadOf(Upstream) == 0);
    BOOST_TEST(view.reportedUpstreamCount() == 0U);
    for (int i = 0; i < 100; ++i) {
        clock.advance(20ms);
        for (std::uint64_t id = 1; id <= 10; ++id)
            speeds.noteResponse(Core::UpstreamId { id }, Stream, id == 1 ? 100ms : 25ms);
    }
    BOOST_TEST(speed() < 0.5);
}

BOOST_AUTO_TEST_CASE(UnusableReportsAreIgnored)
{
    // Guards against the influence of reports that are late, out of order, of a former process, about an unknown
    // upstream, malformed, or the own ones.
    auto const infinity = std::numeric_limits<double>::infinity();
    std::vector<Load::UpstreamLoadReport> unusable {
        observation(4, 3s),
        observation(4, std::chrono::milliseconds::max()),
        observation(4, std::chrono::milliseconds::min()),
        observation(-1),
        observation(infinity),
        observation(std::numeric_limits<double>::quiet_NaN()),
        { Core::UpstreamId { 99 }, Core::Incarnation { 1 }, 3, 4, 4, 0ms },
        { Upstream, Core::Incarnation { 2 }, 3, 4, 4, 0ms },
        { Upstream, Core::Incarnation { 1 }, 3, 4, infinity, 0ms },
        { Upstream, Core::Incarnation { 1 }, 3, 4, -1, 0ms },
    };
    for (auto const& report : unusable) {
        for (std::uint64_t reporter = 11; reporter <= 20; ++reporter)
            receive(reporter, report);
    }
    BOOST_TEST(view.counters().accepted == 0U);
    BOOST_TEST(view.counters().rejected == 10 * unusable.size());
    view.handleReport({ Core::VmId { 1 }, { observation(4) } });
    BOOST_TEST(speed() == 1);
    BOOST_TEST(view.loadOf(Upstream) == 0);
}

BOOST_AUTO_TEST_CASE(OvertakenReportsAreIgnored)
{
    // Guards against a change that is undone by reports that were sent before it and arrive after it.
    receiveFromTen(1);
    receiveFromTen(4, 500ms);
    BOOST_TEST(view.counters().rejected == 10U);
    BOOST_TEST(speed() == 1);
}

BOOST_AUTO_TEST_CASE(RepeatedReportsCountOnce)
{
    // Guards against a balancer whose reports are duplicated on the way and thus outweigh those of others.
    for (int i = 0; i < 100; ++i)
        receive(11, observation(10));
    BOOST_TEST(speed() == 1);
    BOOST_TEST(view.loadOf(Upstream) == 3);
}

BOOST_AUTO_TEST_CASE(RestartDiscardsReports)
{
    // Guards against judging a new process by the one that had its ID before.
    receiveFromTen(4);
    BOOST_TEST(speed() < 0.4);
    add(1, 2);
    BOOST_TEST(speed() == 1);
    receiveFromTen(4);
    BOOST_TEST(speed() == 1);
}

BOOST_AUTO_TEST_CASE(MisreportingBalancerHasLittleInfluence)
{
    // Guards against a balancer whose reports are wrong by a factor, in either direction.
    for (double factor : { 0.01, 0.1, 10.0, 1e300 }) {
        for (double time : { 1.0, 4.0 }) {
            receiveFromTen(time);
            auto honest = speed();
            auto extreme = observation(time * factor);
            extreme.responseWeight = 1e300;
            extreme.requestsInFlight = std::numeric_limits<std::uint32_t>::max();
            receive(30, extreme);
            auto distorted = speed();
            BOOST_TEST(distorted < 1.2 * honest);
            BOOST_TEST(distorted > honest / 1.2);
            BOOST_TEST(view.loadOf(Upstream) <= 30 + 16);
            clock.advance(3s);
        }
    }
}

BOOST_AUTO_TEST_CASE(PausedBalancersLoseTheirInfluence)
{
    // Guards against a balancer that continues with its view from before a pause, and whose reports from before it are
    // taken for new.
    receiveFromTen(4);
    BOOST_TEST(speed() < 0.4);
    for (int i = 0; i < 50; ++i)
        speeds.noteResponse(Upstream, Stream, 100ms);
    load.requestStarted(Upstream);
    clock.advance(5s);
    BOOST_TEST(speed() == 1);
    auto report = view.report(1);
    BOOST_REQUIRE_EQUAL(report.upstreams.size(), 1U);
    BOOST_TEST(report.upstreams[0].responseWeight < 0.1);
}

BOOST_AUTO_TEST_CASE(ReportContainsWhatMattersMost)
{
    // Guards against messages without room for the slow upstream.
    for (int i = 0; i < 50; ++i) {
        clock.advance(20ms);
        for (std::uint64_t id = 1; id <= 20; ++id)
            speeds.noteResponse(Core::UpstreamId { id }, Stream, id == 7 ? 100ms : 25ms);
    }
    for (std::uint64_t id = 1; id <= 20; ++id) {
        load.flowOpened(Core::UpstreamId { id });
        for (int i = 0; i < (id == 9 ? 5 : 1); ++i)
            load.requestStarted(Core::UpstreamId { id });
    }
    auto report = view.report(2);
    BOOST_TEST(report.reporter.value() == 1U);
    BOOST_REQUIRE_EQUAL(report.upstreams.size(), 2U);
    BOOST_TEST(report.upstreams[0].upstream.value() == 7U);
    BOOST_TEST(report.upstreams[0].relativeResponseTime > 2);
    BOOST_TEST(report.upstreams[1].upstream.value() == 9U);
    BOOST_TEST(report.upstreams[1].requestsInFlight == 5U);
    BOOST_TEST(view.report(100).upstreams.size() == 20U);
    BOOST_TEST(view.report(0).upstreams.empty());
}

BOOST_AUTO_TEST_CASE(MemoryIsBounded)
{
    // Guards against memory that grows with the number of balancers or with invented IDs.
    for (std::uint64_t reporter = 2; reporter <= 3000; ++reporter)
        receive(reporter, observation(1));
    clock.advance(200ms);
    view.tick();
    BOOST_TEST(view.loadOf(Upstream) == 3.0 * Load::SharedLoadViewOptions {}.maximumReporters);
    BOOST_TEST(view.reportedUpstreamCount() == 1U);
}

BOOST_AUTO_TEST_CASE(DisabledViewIsNeutral)
{
    // Guards against an influence of the feature after operators have turned it off.
    Load::SharedLoadView disabled { clock, Core::VmId { 1 }, { .isEnabled = false }, directory, speeds, load };
    load.requestStarted(Upstream);
    for (int i = 0; i < 50; ++i) {
        speeds.noteResponse(Upstream, Stream, 100ms);
        speeds.noteResponse(Core::UpstreamId { 2 }, Stream, 10ms);
    }
    disabled.handleReport({ Core::VmId { 2 }, { observation(4) } });
    disabled.tick();
    BOOST_TEST(disabled.speedOf(Upstream) == 1);
    BOOST_TEST(!disabled.flowLoads(Register));
    BOOST_TEST(!disabled.explainsSilence(Upstream, 1ms));
    BOOST_TEST(disabled.report(10).upstreams.empty());
}

BOOST_AUTO_TEST_SUITE_END()
