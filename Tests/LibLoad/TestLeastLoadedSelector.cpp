#include "OwnCountSelector.h"

#include <LibLoad/Load.h>

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <map>
#include <random>
#include <vector>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Core::ServiceId const Register = Directory::serviceId("register");
Core::ZoneId const LocalZone { 1 };
Core::ZoneId const RemoteZone { 2 };

struct Fixture {
    Core::ManualClock clock;
    Directory::UpstreamDirectory directory { clock, {}, {} };
    Load::UpstreamLoadCounter load;
    /// The upstreams that are probed when others of their zone are silent.
    std::vector<Core::UpstreamId> sample;
    Load::UpstreamLiveness liveness { clock, {},
        { .startProbe = [](auto) {},
            .hasFlows = [](auto) { return true; },
            .lost = [](auto, auto, auto) {},
            .regained = [](auto) {} } };
    Load::ZoneReachability zones { clock, {},
        { .probeSample = [this](auto, auto) { return sample; }, .lost = [](auto) {}, .regained = [](auto) {} } };
    Load::RequestFailureDetector failureDetector { clock, { .self = Core::VmId { 1 } }, [](auto) {} };
    Load::ReturningUpstreams returning { clock, {},
        { .slowStartOf = [](auto) { return 2000ms; },
            .wasCutOff = [](auto, auto) { return false; },
            .upstreamsOfSameService = [](auto) { return std::vector<Core::UpstreamId> {}; } } };
    Load::UpstreamSpeed speeds { clock, {} };
    Load::SharedLoadView view { clock, Core::VmId { 1 }, {}, directory, speeds, load };
    Load::SpilloverControl spillover { clock, {}, {} };
    Load::LeastLoadedSelector selector { { .zone = LocalZone, .randomSeed = 1 }, directory, load, liveness, zones,
        failureDetector, returning, view, spillover };

    void fail(std::uint64_t id)
    {
        for (int i = 0; i < 3; ++i)
            failureDetector.noteFailure(Core::UpstreamId { id });
    }

    void add(std::uint64_t id, Core::ZoneId zone, std::chrono::milliseconds coldFor = 0ms)
    {
        Directory::UpstreamEntry entry;
        entry.upstream.id = Core::UpstreamId { id };
        entry.upstream.address = *Core::Endpoint::parse("10.0.0." + std::to_string(id) + ":80");
        entry.upstream.zone = zone;
        entry.upstream.slots = 4;
        entry.service = Register;
        entry.slowStartRemaining = coldFor;
        entry.revision = Core::Revision { id };
        directory.applyUpstream(entry);
    }

    /// Learns from ten responses of each upstream that they take this many times as long as those of others.
    void learnTimes(std::vector<std::pair<std::uint64_t, int>> const& relativeTimes)
    {
        auto const route = *Core::Endpoint::parse("198.18.0.1:443");
        for (int i = 0; i < 20; ++i) {
            for (auto [id, time] : relativeTimes)
                speeds.noteResponse(Core::UpstreamId { id }, route, time * 10ms);
        }
        view.tick();
    }

    std::uint64_t choose(std::uint64_t excluded = 0)
    {
        auto const* record = selector.choose(Register, Core::UpstreamId { excluded });
        return record ? record->entry.upstream.id.value() : 0;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(LeastLoadedSelector, Fixture)

BOOST_AUTO_TEST_CASE(FlowsAreSpreadOverTheZone)
{
    // Guards against an uneven distribution within the local zone, and against needless traffic between zones.
    for (std::uint64_t id = 1; id <= 4; ++id)
        add(id, id == 4 ? RemoteZone : LocalZone);
    std::map<std::uint64_t, unsigned> flows;
    for (int i = 0; i < 300; ++i) {
        auto id = choose();
        load.flowOpened(Core::UpstreamId { id });
        ++flows[id];
    }
    BOOST_TEST(flows.size() == 3U);
    for (auto const& [id, count] : flows)
        BOOST_TEST(count == 100U);
}

BOOST_AUTO_TEST_CASE(FullZoneSpillsOver)
{
    // Guards against requests that queue while other zones are idle.
    add(1, LocalZone);
    add(2, RemoteZone);
    for (int i = 0; i < 4; ++i)
        load.requestStarted(Core::UpstreamId { 1 });
    BOOST_TEST(choose() == 2U);
    load.requestEnded(Core::UpstreamId { 1 });
    BOOST_TEST(choose() == 1U);
}

BOOST_AUTO_TEST_CASE(ColdUpstreamGetsNothing)
{
    // Guards against full load on an upstream that has just started.
    add(1, LocalZone, 1s);
    BOOST_TEST(choose() == 0U);
    add(2, RemoteZone);
    BOOST_TEST(choose() == 2U);
    clock.advance(1s);
    BOOST_TEST(choose() == 1U);
}

BOOST_AUTO_TEST_CASE(PossiblyColdUpstreamComesAfterWarmOnesAndBeforeSuspects)
{
    // Guards against full load on an upstream that has restarted while discovery couldn't show it, and against a
    // service that stops because each of its upstreams may be cold.
    add(1, LocalZone);
    add(2, RemoteZone);
    add(3, LocalZone);
    returning.noteReturned(Core::UpstreamId { 1 }, { clock.now(), 2 });
    liveness.suspect(Core::UpstreamId { 3 }, Load::SuspicionReason::SilentRequests, clock.now());
    for (int i = 0; i < 20; ++i) {
        load.requestStarted(Core::UpstreamId { 2 });
        BOOST_TEST(choose() == 2U);
    }
    BOOST_TEST(choose(2) == 1U);
    clock.advance(2s);
    BOOST_TEST(choose() == 1U);
}

BOOST_AUTO_TEST_CASE(SuspectsComeLast)
{
    // Guards against opens on an upstream that is down, and against refusing all opens when every upstream seems down.
    add(1, LocalZone);
    add(2, RemoteZone);
    liveness.suspect(Core::UpstreamId { 1 }, Load::SuspicionReason::SilentRequests, clock.now());
    BOOST_TEST(choose() == 2U);
    liveness.probeEnded(Core::UpstreamId { 1 }, Load::LivenessProbeResult::Refused);
    BOOST_TEST(choose(2) == 1U);
    BOOST_TEST(choose(1) == 2U);
}

BOOST_AUTO_TEST_CASE(ExcludedUpstreamIsTakenIfItIsTheOnlyOne)
{
    // Guards against a service with a single upstream that becomes unusable after one lost opening packet.
    add(1, LocalZone);
    BOOST_TEST(choose(1) == 1U);
}

BOOST_AUTO_TEST_CASE(LostZoneComesLast)
{
    // Guards against opens that are lost on each upstream of an unreachable zone in turn.
    for (std::uint64_t id = 1; id <= 20; ++id)
        add(id, RemoteZone);
    Core::ZoneId const elsewhere { 3 };
    add(21, elsewhere);
    for (int i = 0; i < 100; ++i)
        load.requestStarted(Core::UpstreamId { 21 });
    sample = { Core::UpstreamId { 7 }, Core::UpstreamId { 8 } };
    for (std::uint64_t id = 1; id <= 8; ++id)
        zones.noteSilent(RemoteZone, Core::UpstreamId { id });
    BOOST_TEST(choose() == 21U);
    zones.noteAnswer(RemoteZone);
    BOOST_TEST(choose() != 21U);
}

BOOST_AUTO_TEST_CASE(FailingUpstreamsAreAvoidedWhileTheyAreFew)
{
    // Guards against flows to upstreams that fail requests, and against sending everything to the others when most
    // fail.
    for (std::uint64_t id = 1; id <= 4; ++id)
        add(id, LocalZone);
    fail(1);
    fail(2);
    for (int i = 0; i < 50; ++i)
        BOOST_TEST(choose() > 2U);
    fail(3);
    std::map<std::uint64_t, unsigned> chosen;
    for (int i = 0; i < 200; ++i)
        ++chosen[choose()];
    BOOST_TEST(chosen.size() == 4U);
    clock.advance(3s);
    for (int i = 0; i < 200; ++i)
        ++chosen[choose()];
    BOOST_TEST(chosen.size() == 4U);
}

BOOST_AUTO_TEST_CASE(FlowsFollowTheSpeed)
{
    // Guards against upstreams that get as much as others although they take four times as long, and against none at
    // all for them, by which they couldn't show their recovery.
    for (std::uint64_t id = 1; id <= 4; ++id)
        add(id, LocalZone);
    learnTimes({ { 1, 4 }, { 2, 1 }, { 3, 1 }, { 4, 1 } });
    auto expected = view.flowLoads(Register)->at(1).loadPerFlow / view.flowLoads(Register)->at(0).loadPerFlow;
    BOOST_TEST(expected < 0.5);
    // First with flows that end at once, so that all choices are among idle upstreams, then with flows that stay.
    for (bool isClosed : { true, false }) {
        std::map<std::uint64_t, double> flows;
        for (int i = 0; i < 4000; ++i) {
            auto id = choose();
            if (!isClosed)
                load.flowOpened(Core::UpstreamId { id });
            ++flows[id];
        }
        auto ratio = flows[1] / flows[2];
        BOOST_TEST(ratio > expected / 2);
        BOOST_TEST(ratio < expected * 1.1);
        BOOST_TEST(std::abs(flows[3] / flows[2] - 1) < 0.1);
    }
}

BOOST_AUTO_TEST_CASE(EvenSpeedsDoNotMatter)
{
    // Guards against choices that differ from those by own counts alone while the speeds are within a factor of 1.5,
    // whatever the load, and while the feature is off.
    Load::OwnCountSelector reference { LocalZone, 1, directory, load };
    std::mt19937_64 random { 2 };
    for (std::uint64_t id = 1; id <= 9; ++id)
        add(id, id <= 5 ? LocalZone : RemoteZone);
    auto const route = *Core::Endpoint::parse("198.18.0.1:443");
    std::vector<std::uint64_t> open;
    std::lognormal_distribution<double> work { 0, 0.5 };
    for (int i = 0; i < 20'000; ++i) {
        clock.advance(1ms);
        auto upstream = random() % 9 + 1;
        auto time = 10 * work(random) * (upstream % 2 == 0 ? 1.45 : 1) * (random() % 100 < 3 ? 7 : 1);
        speeds.noteResponse(
            Core::UpstreamId { upstream }, route, std::chrono::microseconds { std::llround(1000 * time) });
        if (i % 50 == 0)
            view.tick();
        auto id = choose();
        BOOST_REQUIRE_EQUAL(id, reference.choose(Register)->entry.upstream.id.value());
        load.flowOpened(Core::UpstreamId { id });
        load.requestStarted(Core::UpstreamId { id });
        open.push_back(id);
        while (!open.empty() && random() % 30 < open.size()) {
            auto& ended = open[random() % open.size()];
            load.flowClosed(Core::UpstreamId { ended });
            load.requestEnded(Core::UpstreamId { ended });
            std::swap(ended, open.back());
            open.pop_back();
        }
    }
}

BOOST_AUTO_TEST_CASE(SpeedsSurviveChangesOfTheDirectory)
{
    // Guards against loads per flow that are taken for those of other upstreams after one was added or removed.
    for (std::uint64_t id = 1; id <= 4; ++id)
        add(id, LocalZone);
    learnTimes({ { 1, 1 }, { 2, 1 }, { 3, 1 }, { 4, 8 } });
    add(5, LocalZone);
    directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 9 });
    std::map<std::uint64_t, unsigned> chosen;
    for (int i = 0; i < 4000; ++i)
        ++chosen[choose()];
    BOOST_TEST(!chosen.contains(1));
    BOOST_TEST(chosen[4] < chosen[2] / 2);
    // Without estimates, a new upstream counts as one of mean speed.
    BOOST_TEST(chosen[5] > chosen[4]);
    BOOST_TEST(chosen[5] <= chosen[2] * 1.1);
}

BOOST_AUTO_TEST_CASE(SlowZoneSpillsToUsableUpstreamsOnly)
{
    // Guards against spilling over to upstreams that are cold, suspect, or in a zone out of service.
    Core::ZoneId const outOfService { 3 };
    add(1, LocalZone);
    add(2, RemoteZone, 5s);
    add(3, outOfService);
    directory.setZoneOutOfService(outOfService, true);
    auto missGoal = [this] {
        for (int i = 0; i < 200; ++i) {
            clock.advance(50ms);
            spillover.noteResponse(Register, true, 1s, 250ms);
            spillover.noteResponse(Register, false, 10ms, 250ms);
            spillover.tick();
        }
    };
    for (int i = 0; i < 80; ++i) {
        clock.advance(50ms);
        spillover.noteResponse(Register, true, 1s, 250ms);
        spillover.tick();
    }
    BOOST_TEST(spillover.fractionOf(Register) > 0);
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(choose() == 1U);
    BOOST_TEST(selector.counters().spillovers.empty());
    missGoal();
    BOOST_TEST(spillover.fractionOf(Register) == 1);
    for (int i = 0; i < 100; ++i)
        BOOST_TEST(choose() == 2U);
    BOOST_TEST(selector.counters().spillovers.at(RemoteZone) == 100U);
    liveness.suspect(Core::UpstreamId { 2 }, Load::SuspicionReason::SilentRequests, clock.now());
    BOOST_TEST(choose() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
