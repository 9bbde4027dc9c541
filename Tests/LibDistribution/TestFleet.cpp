#include <HarnessControl/Fleet.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Benchmarks::Fleet;
using Benchmarks::FleetOptions;
using Benchmarks::VirtualPlatform;
using Core::Revision;
using Distribution::FileSet;

namespace Data = boost::unit_test::data;

/// Requirement: an accepted configuration is in force on all balancers within this time.
static constexpr std::chrono::milliseconds InForceBound { 12'000 };

BOOST_AUTO_TEST_SUITE(TestDistributionFleet)

static FileSet filesOf(std::uint64_t revision, std::size_t size = 200)
{
    FileSet files;
    files["10-zones.toml"] = "zones";
    files["20-service.toml"] = "revision " + std::to_string(revision) + std::string(size, 'x');
    files["30-new-" + std::to_string(revision) + ".toml"] = "added";
    return files;
}

static std::unique_ptr<Fleet> fleetOf(FleetOptions options)
{
    options.hasDistribution = true;
    return std::make_unique<Fleet>(std::move(options));
}

static std::unique_ptr<Fleet> runningFleet(FleetOptions options)
{
    auto fleet = fleetOf(std::move(options));
    fleet->publish(Revision { 1 }, filesOf(1));
    fleet->startAll();
    BOOST_TEST_REQUIRE(fleet->runUntil([&] { return fleet->isInForceEverywhere(Revision { 1 }); }, 30s).has_value());
    fleet->run(5s);
    return fleet;
}

static bool hasNeverReverted(Fleet& fleet)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        auto const& accepted = fleet.node(i).acceptedRevisions;
        for (std::size_t j = 1; j < accepted.size(); ++j) {
            if (accepted[j] <= accepted[j - 1])
                return false;
        }
    }
    return true;
}

struct Shape {
    std::size_t nodes;
    std::size_t zones;
    double loss;
    std::size_t size;

    friend std::ostream& operator<<(std::ostream& stream, Shape const& shape)
    {
        return stream << shape.nodes << " nodes, " << shape.zones << " zones, loss " << shape.loss << ", " << shape.size
                      << " bytes";
    }
};

static std::vector<Shape> const Shapes { { 1, 1, 0, 200 }, { 4, 4, 0.2, 200 }, { 5, 3, 0, 20'000 },
    { 40, 2, 0.05, 200 }, { 90, 9, 0.05, 5000 } };

BOOST_DATA_TEST_CASE(ChangeIsInForceEverywhereInTime, Data::make(Shapes), shape)
{
    // Guards against a change that reaches a member incompletely, too late or not at all.
    auto fleetPointer = runningFleet({ .nodes = shape.nodes, .zones = shape.zones, .seed = 21, .loss = shape.loss });
    auto& fleet = *fleetPointer;
    for (std::uint64_t revision : { 2, 3, 7 }) {
        fleet.publish(Revision { revision }, filesOf(revision, shape.size));
        auto passed = fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { revision }); }, InForceBound);
        BOOST_TEST(passed.has_value());
        for (std::size_t i = 0; i < fleet.size(); ++i)
            BOOST_TEST((fleet.node(i).distribution->files() == filesOf(revision, shape.size)));
    }
    BOOST_TEST(hasNeverReverted(fleet));
}

BOOST_AUTO_TEST_CASE(OlderCopiesOfThePlatformAreIgnored)
{
    // Guards against reverting a change because a replica of the platform lags or because replicas alternate.
    auto fleetPointer = runningFleet({ .nodes = 6, .zones = 2, .seed = 22 });
    auto& fleet = *fleetPointer;
    VirtualPlatform::Copy older { Revision { 1 }, filesOf(1) };
    std::uint64_t reads = 0;
    fleet.publish(Revision { 2 }, filesOf(2));
    fleet.platform().replica = [&](std::size_t) { return ++reads % 3 == 0 ? nullptr : &older; };
    BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 2 }); }, InForceBound).has_value());
    fleet.run(60s);
    BOOST_TEST(fleet.isInForceEverywhere(Revision { 2 }));
    BOOST_TEST(hasNeverReverted(fleet));
    std::uint64_t ignored = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        ignored += fleet.node(i).distribution->counters().olderCopiesIgnored;
    BOOST_TEST(ignored > 0U);
    // Alternating replicas end every watch immediately. The minimum read interval must keep this from becoming a busy
    // loop.
    BOOST_TEST(fleet.platform().busiestSecond <= 2U * 2U + 2U);
}

BOOST_AUTO_TEST_CASE(RestartedMemberAsksItsPeersFirst)
{
    // Guards against a restarted balancer putting an outdated copy of the platform in force.
    auto fleetPointer = runningFleet({ .nodes = 6, .zones = 3, .seed = 23 });
    auto& fleet = *fleetPointer;
    fleet.publish(Revision { 5 }, filesOf(5));
    BOOST_TEST_REQUIRE(
        fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 5 }); }, InForceBound).has_value());
    VirtualPlatform::Copy older { Revision { 1 }, filesOf(1) };
    fleet.platform().replica = [&](std::size_t) { return &older; };
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.crash(i);
        fleet.run(1s);
        fleet.start(i);
        BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 5 }); }, InForceBound).has_value());
        BOOST_TEST((fleet.node(i).acceptedRevisions.front() == Revision { 5 }));
    }
}

BOOST_AUTO_TEST_CASE(JoiningMemberUsesTheNewerOfPeerAndPlatformCopy)
{
    // Guards against a joining member that keeps its peers' copy while the platform has a newer one.
    auto fleetPointer = fleetOf({ .nodes = 4, .zones = 2, .seed = 24 });
    auto& fleet = *fleetPointer;
    fleet.startAll();
    fleet.run(10s);
    for (std::size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(!fleet.node(i).distribution->revision().isValid());
    fleet.publish(Revision { 1 }, filesOf(1));
    BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 1 }); }, InForceBound).has_value());
}

BOOST_AUTO_TEST_CASE(RestartedMemberUsesItsPeersWhileThePlatformIsDown)
{
    // Guards against a restarted member that can't get a configuration while the platform is down.
    auto fleetPointer = runningFleet({ .nodes = 5, .zones = 3, .seed = 25 });
    auto& fleet = *fleetPointer;
    fleet.platform().isReachable = [](std::size_t) { return false; };
    fleet.run(30s);
    fleet.crash(2);
    fleet.run(10s);
    fleet.start(2);
    BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 1 }); }, InForceBound).has_value());
}

BOOST_AUTO_TEST_CASE(ReadersWithoutAnswersAreReplaced)
{
    // Guards against a zone that is not updated because its two readers are alive but can't reach the platform.
    auto fleetPointer = runningFleet({ .nodes = 12, .zones = 1, .seed = 26 });
    auto& fleet = *fleetPointer;
    // Only one member reaches the platform, regardless of which members are the readers.
    for (std::size_t reachable : { 0, 5, 11 }) {
        fleet.platform().isReachable = [reachable](std::size_t node) { return node == reachable; };
        fleet.run(60s);
        auto revision = Revision { 10 + reachable };
        fleet.publish(revision, filesOf(revision.value()));
        BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(revision); }, 60s).has_value());
    }
}

BOOST_AUTO_TEST_CASE(ZoneWithoutPlatformIsServedByOthers)
{
    // Guards against a zone that keeps an old configuration because it is cut off from the platform, though not from
    // other zones.
    auto fleetPointer = runningFleet({ .nodes = 12, .zones = 4, .seed = 27 });
    auto& fleet = *fleetPointer;
    fleet.platform().isReachable = [](std::size_t node) { return node % 4 != 1; };
    fleet.run(30s);
    fleet.publish(Revision { 2 }, filesOf(2));
    BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 2 }); }, InForceBound).has_value());
}

BOOST_AUTO_TEST_CASE(PartsOfAPartitionMeetAtTheGreatestRevision)
{
    // Guards against the side with the older revision reverting the other one after a partition heals.
    auto fleetPointer = runningFleet({ .nodes = 8, .zones = 2, .seed = 28 });
    auto& fleet = *fleetPointer;
    fleet.isConnected = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
    fleet.platform().isReachable = [](std::size_t node) { return node % 2 == 0; };
    fleet.publish(Revision { 2 }, filesOf(2));
    fleet.run(30s);
    BOOST_TEST((fleet.node(0).distribution->revision() == Revision { 2 }));
    BOOST_TEST((fleet.node(1).distribution->revision() == Revision { 1 }));
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 2 }); }, InForceBound).has_value());
    BOOST_TEST(hasNeverReverted(fleet));
}

BOOST_AUTO_TEST_CASE(BadConfigurationIsRefusedAsAWhole)
{
    // Guards against an invalid configuration that is applied in part, replaces the last valid one, or is retried
    // forever.
    auto fleetPointer = fleetOf({ .nodes = 4, .zones = 2, .seed = 29 });
    auto& fleet = *fleetPointer;
    fleet.publish(Revision { 1 }, filesOf(1));
    for (std::size_t i = 0; i < fleet.size(); ++i)
        fleet.node(i).refusedContent = "bad";
    fleet.startAll();
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 1 }); }, 30s).has_value());
    auto bad = filesOf(2);
    bad["40-bad.toml"] = "bad";
    fleet.publish(Revision { 2 }, bad);
    fleet.run(30s);
    std::uint64_t refused = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        auto const& distribution = *fleet.node(i).distribution;
        BOOST_TEST((distribution.files() == filesOf(1)));
        BOOST_TEST(distribution.counters().refused <= 1U);
        refused += distribution.counters().refused;
    }
    BOOST_TEST(refused >= 1U);
    auto readsBefore = fleet.platform().reads;
    fleet.run(30s);
    // A watch waits for 3 s even while the newest revision is a refused one.
    BOOST_TEST(fleet.platform().reads - readsBefore <= 4U * 11U);
    fleet.publish(Revision { 3 }, filesOf(3));
    BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 3 }); }, InForceBound).has_value());
}

BOOST_AUTO_TEST_CASE(RefusalByOldVersionsDoesNotStopNewOnes)
{
    // Guards against a rolling upgrade in which refusal by an old version keeps a configuration from the new version,
    // which accepts it.
    auto fleetPointer = runningFleet({ .nodes = 6, .zones = 1, .seed = 30 });
    auto& fleet = *fleetPointer;
    auto files = filesOf(2);
    files["40-newer.toml"] = "newer";
    for (std::size_t old : { 0, 1, 2 })
        fleet.node(old).refusedContent = "newer";
    fleet.publish(Revision { 2 }, files);
    auto isInForceAtNew = [&] {
        return fleet.node(3).distribution->revision() == Revision { 2 }
        && fleet.node(4).distribution->revision() == Revision { 2 }
        && fleet.node(5).distribution->revision() == Revision { 2 };
    };
    BOOST_TEST(fleet.runUntil(isInForceAtNew, InForceBound).has_value());
    BOOST_TEST((fleet.node(0).distribution->revision() == Revision { 1 }));
}

BOOST_DATA_TEST_CASE(LargeCopyReachesAJoiningMember, Data::make({ 0.0, 0.1 }), loss)
{
    // Guards against a copy of 1 MB that exceeds the datagram size or the rate limit, or that fails under packet loss.
    auto fleetPointer = fleetOf({ .nodes = 5, .zones = 3, .seed = 31, .isSealed = true });
    auto& fleet = *fleetPointer;
    FileSet large;
    for (int i = 0; i < 10; ++i)
        large["file-" + std::to_string(i)] = std::string(104'000, static_cast<char>('a' + i));
    fleet.publish(Revision { 9 }, large);
    fleet.startAll();
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 9 }); }, 60s).has_value());
    fleet.platform().isReachable = [](std::size_t) { return false; };
    fleet.setLoss(loss);
    fleet.crash(4);
    fleet.run(10s);
    fleet.resetTraffic();
    fleet.start(4);
    auto passed = fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 9 }); }, 30s);
    BOOST_TEST_REQUIRE(passed.has_value());
    // 1 MB at 100 KB/s takes 10.4 s.
    BOOST_TEST(passed->count() >= 9'000);
    std::uint64_t served = 0;
    for (std::size_t i = 0; i < 4; ++i) {
        served += fleet.node(i).distributionSent.bytes;
        auto const& sent = fleet.node(i).distributionSent;
        // The peers share the load.
        BOOST_TEST(sent.bytes <= 800'000U);
    }
    BOOST_TEST(fleet.largestDatagram() <= 1200U);
    BOOST_TEST(static_cast<double>(served) <= 1'040'000 * (1.25 + 2 * loss));
}

BOOST_AUTO_TEST_CASE(LargeCopiesReachManyJoiningMembers)
{
    // Guards against a start time that grows linearly with the number of members. This happens if all members fetch
    // from the few sources at the same time, so that none finishes early and becomes a source.
    auto fleetPointer = fleetOf({ .nodes = 60, .zones = 1, .seed = 34 });
    auto& fleet = *fleetPointer;
    FileSet large;
    for (int i = 0; i < 4; ++i)
        large["file-" + std::to_string(i)] = std::string(100'000, static_cast<char>('a' + i));
    fleet.publish(Revision { 9 }, large);
    fleet.startAll();
    // 58 copies of 400 KB from two sources of 50 KB/s each would take 232 s.
    BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 9 }); }, 90s).has_value());
}

BOOST_AUTO_TEST_CASE(PlatformReadsStayBelowTheLimit)
{
    // Guards against all readers retrying at the same time when the platform recovers, and against every member reading
    // it during a cold start.
    auto fleetPointer = fleetOf({ .nodes = 120, .zones = 6, .seed = 32 });
    auto& fleet = *fleetPointer;
    fleet.publish(Revision { 1 }, filesOf(1));
    fleet.startAll();
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 1 }); }, 30s).has_value());
    BOOST_TEST(fleet.platform().busiestSecond <= 24U);

    fleet.platform().isReachable = [](std::size_t) { return false; };
    fleet.run(3min);
    auto before = fleet.platform().reads;
    fleet.run(2min);
    // Two readers in each of 6 zones, each reading at most once per 2 s on average.
    BOOST_TEST(fleet.platform().reads - before <= 12U * 60U);
    fleet.platform().busiestSecond = 0;
    fleet.platform().isReachable = [](std::size_t) { return true; };
    fleet.publish(Revision { 2 }, filesOf(2));
    BOOST_TEST(fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 2 }); }, InForceBound).has_value());
    BOOST_TEST(fleet.platform().busiestSecond <= 24U);
}

BOOST_AUTO_TEST_CASE(SlowPlatformDoesNotAccumulateReads)
{
    // Guards against concurrent reads accumulating while the platform answers slowly.
    auto fleetPointer = runningFleet({ .nodes = 6, .zones = 2, .seed = 33 });
    auto& fleet = *fleetPointer;
    fleet.platform().answerTime = 8s;
    auto before = fleet.platform().reads;
    fleet.run(60s);
    BOOST_TEST(fleet.platform().reads - before <= 2U * 2U * 15U);
    BOOST_TEST(fleet.isInForceEverywhere(Revision { 1 }));
}

BOOST_AUTO_TEST_SUITE_END()
