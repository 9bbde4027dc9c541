#include <LibLoad/Health.h>

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Chicorytally;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestHealth)

static Core::VmId const Self { 1 };
static Core::VmId const Other { 2 };

BOOST_AUTO_TEST_CASE(OneLostProbeChangesNothing)
{
    // Guards against relying on the last probe only: one lost datagram would make an upstream unhealthy.
    Core::ManualClock clock;
    Load::HealthTracker health;
    int changes = 0;
    for (int i = 0; i < 100; ++i) {
        health.recordProbe(Self, i % 3 != 0, clock.now());
        changes += health.update(clock.now());
        clock.advance(500ms);
    }
    BOOST_TEST(changes == 0);
    BOOST_TEST(health.isHealthy());
}

BOOST_AUTO_TEST_CASE(DeadUpstreamIsFoundWithinTwoSeconds)
{
    // Guards against a hysteresis that reacts too slowly to a failure or a recovery.
    Core::ManualClock clock;
    Load::HealthTracker health;
    for (int i = 0; i < 3; ++i) {
        clock.advance(500ms);
        health.recordProbe(Self, false, clock.now());
        health.update(clock.now());
    }
    BOOST_TEST(!health.isHealthy());
    int probes = 0;
    while (!health.isHealthy() && probes < 100) {
        clock.advance(500ms);
        health.recordProbe(Self, true, clock.now());
        health.update(clock.now());
        ++probes;
    }
    BOOST_TEST(probes >= 3);
    BOOST_TEST(probes <= 5);
}

BOOST_AUTO_TEST_CASE(FlappingUpstreamStaysOutLonger)
{
    // Guards against an upstream that fails every few seconds and gets flows each time that it recovers briefly.
    Core::ManualClock clock;
    Load::HealthTracker health;
    int healthyProbes = 0;
    for (int i = 0; i < 600; ++i) {
        clock.advance(500ms);
        health.recordProbe(Self, i % 20 >= 10, clock.now());
        health.update(clock.now());
        healthyProbes += health.isHealthy();
    }
    BOOST_TEST(healthyProbes < 100);
}

BOOST_AUTO_TEST_CASE(PartitionedProberDoesNotDecide)
{
    // Guards against a partition in which one prober sees a whole zone as down.
    Core::ManualClock clock;
    Load::HealthTracker health;
    for (int i = 0; i < 10; ++i) {
        health.recordProbe(Self, false, clock.now());
        health.recordPeerVerdict(Other, true, clock.now());
        health.update(clock.now());
        clock.advance(500ms);
    }
    BOOST_TEST(health.isHealthy());
    // Without recent results of the other prober, the local one decides.
    clock.advance(20s);
    health.recordProbe(Self, false, clock.now());
    health.update(clock.now());
    BOOST_TEST(!health.isHealthy());
}

BOOST_AUTO_TEST_CASE(UnansweredOpensIndicateFailure)
{
    // Guards against an upstream whose health endpoint answers while its service doesn't.
    Core::ManualClock clock;
    Load::PassiveHealthCheck passiveHealth;
    for (int i = 0; i < 50; ++i) {
        passiveHealth.opened(clock.now());
        passiveHealth.confirmed(clock.now());
        clock.advance(100ms);
    }
    BOOST_TEST(!passiveHealth.hasFailed(clock.now()));
    auto fault = clock.now();
    for (int i = 0; i < 100 && !passiveHealth.hasFailed(clock.now()); ++i) {
        passiveHealth.opened(clock.now());
        if (i >= 10)
            passiveHealth.repeated(clock.now());
        clock.advance(100ms);
    }
    BOOST_TEST((clock.now() - fault) <= 6s);
}

BOOST_AUTO_TEST_CASE(TrafficDecidesAgainstGoodProbes)
{
    // Guards against misleading probes: unanswered traffic makes the upstream unhealthy, for a bounded time.
    Core::ManualClock clock;
    Load::HealthTracker health;
    health.recordProbe(Self, true, clock.now());
    health.recordTrafficFailure(clock.now());
    health.update(clock.now());
    BOOST_TEST(!health.isHealthy());
    clock.advance(3s);
    health.recordProbe(Self, true, clock.now());
    health.update(clock.now());
    BOOST_TEST(health.isHealthy());
}

BOOST_AUTO_TEST_CASE(PanicNeedsMoreThanHalf)
{
    // Guards against a fault of the probes that makes all upstreams of a service unusable.
    BOOST_TEST(!Load::isPanic(2, 4));
    BOOST_TEST(Load::isPanic(3, 4));
    BOOST_TEST(!Load::isPanic(0, 0));
}

BOOST_AUTO_TEST_CASE(TwoProbersForEachUpstream)
{
    // Guards against upstreams without a prober, and against a member that probes all upstreams.
    std::vector<Core::VmId> vms { Core::VmId { 1 }, Core::VmId { 2 }, Core::VmId { 3 }, Core::VmId { 4 } };
    std::map<Core::VmId, int> probes;
    for (std::uint64_t upstream = 1; upstream <= 200; ++upstream) {
        auto probers = Load::probersOf(Core::UpstreamId { upstream }, vms);
        BOOST_REQUIRE(probers.size() == 2U);
        BOOST_TEST((probers[0] != probers[1]));
        for (auto vm : probers)
            ++probes[vm];
    }
    for (auto vm : vms)
        BOOST_TEST(probes[vm] >= 70);
    BOOST_TEST(Load::probersOf(Core::UpstreamId { 1 }, { Core::VmId { 9 } }).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
