#include <HarnessControl/Fleet.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Benchmarks::Fleet;
using Benchmarks::FleetOptions;
using Membership::MemberState;

namespace Data = boost::unit_test::data;

BOOST_AUTO_TEST_SUITE(TestMembershipFleet)

static std::unique_ptr<Fleet> makeConvergedFleet(FleetOptions options)
{
    auto fleet = std::make_unique<Fleet>(std::move(options));
    fleet->startAll();
    BOOST_TEST_REQUIRE(fleet->runUntil([&] { return fleet->isConverged(); }, 20s).has_value());
    return fleet;
}

static bool isSeenByAll(Fleet& fleet, std::size_t subject, std::function<bool(MemberState)> const& predicate)
{
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (i != subject && fleet.node(i).isRunning && !predicate(fleet.stateSeenBy(i, subject)))
            return false;
    }
    return true;
}

static bool isUnreachableOrDead(MemberState state)
{
    return state == MemberState::Unreachable || state == MemberState::Dead;
}

/// Counts the ordered pairs of members in which the first sees the second as unreachable or dead.
static std::size_t countUnreachablePairs(Fleet& fleet)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        for (std::size_t j = 0; j < fleet.size(); ++j)
            count += i != j && isUnreachableOrDead(fleet.stateSeenBy(i, j)) ? 1 : 0;
    }
    return count;
}

struct FleetShape {
    std::size_t nodes;
    std::size_t zones;
    double loss;

    friend std::ostream& operator<<(std::ostream& stream, FleetShape const& shape)
    {
        return stream << shape.nodes << " nodes, " << shape.zones << " zones, loss " << shape.loss;
    }
};

static std::vector<FleetShape> const FleetShapes { { 2, 1, 0 }, { 4, 4, 0 }, { 5, 3, 0.05 }, { 30, 3, 0 },
    { 60, 9, 0.05 } };

BOOST_DATA_TEST_CASE(CrashIsDetectedEverywhere, Data::make(FleetShapes), shape)
{
    // Guards against a crashed member that some member still counts as reachable, also with loss, reordering and
    // duplication of messages.
    auto fleetOwner = makeConvergedFleet({ .nodes = shape.nodes,
        .zones = shape.zones,
        .seed = 3,
        .loss = shape.loss,
        .duplication = 0.1,
        .maximumDelay = 80ms });
    auto& fleet = *fleetOwner;
    fleet.run(5s);
    auto crashed = shape.nodes - 1;
    fleet.crash(crashed);
    auto detected = fleet.runUntil([&] { return isSeenByAll(fleet, crashed, isUnreachableOrDead); }, 20s);
    BOOST_TEST_REQUIRE(detected.has_value());
    BOOST_TEST(countUnreachablePairs(fleet) == shape.nodes - 1);
    fleet.start(crashed);
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, 15s).has_value());
}

BOOST_DATA_TEST_CASE(LossAloneCausesNoFalsePositive, Data::make({ 0.05, 0.2 }), loss)
{
    // Guards against a running member that is declared dead because messages are lost.
    auto fleetOwner = makeConvergedFleet({ .nodes = 20, .zones = 4, .seed = 5 });
    auto& fleet = *fleetOwner;
    fleet.setLoss(loss);
    std::size_t falsePositives = 0;
    for (int second = 0; second < 60; ++second) {
        fleet.run(1s);
        falsePositives += countUnreachablePairs(fleet);
    }
    BOOST_TEST(falsePositives == 0U);
}

struct LinkFailure {
    std::string_view name;
    std::function<bool(std::size_t, std::size_t)> isConnected;

    friend std::ostream& operator<<(std::ostream& stream, LinkFailure const& failure) { return stream << failure.name; }
};

static std::vector<LinkFailure> const LinkFailures {
    { "one way between two members", [](std::size_t from, std::size_t to) { return !(from == 0 && to == 1); } },
    { "both ways between two members", [](std::size_t from, std::size_t to) { return from + to != 1; } },
};

BOOST_DATA_TEST_CASE(LinkFailureBetweenTwoMembersIsTolerated, Data::make(LinkFailures), failure)
{
    // Guards against a member that is suspected or declared dead because one other member can't reach it.
    auto fleetOwner = makeConvergedFleet({ .nodes = 6, .zones = 2, .seed = 7 });
    auto& fleet = *fleetOwner;
    fleet.isConnected = failure.isConnected;
    std::size_t unconvergedRounds = 0;
    for (int round = 0; round < 300; ++round) {
        fleet.run(100ms);
        unconvergedRounds += fleet.isConverged() ? 0 : 1;
    }
    BOOST_TEST(unconvergedRounds == 0U);
}

BOOST_AUTO_TEST_CASE(MemberThatCannotSendIsDeclaredDeadOnce)
{
    // Guards against a member that receives but can't send and adopts new incarnations endlessly.
    auto fleetOwner = makeConvergedFleet({ .nodes = 6, .zones = 2, .seed = 8 });
    auto& fleet = *fleetOwner;
    auto before = fleet.node(0).incarnation;
    fleet.isConnected = [](std::size_t from, std::size_t) { return from != 0; };
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return isSeenByAll(fleet, 0, isUnreachableOrDead); }, 15s).has_value());
    fleet.run(20s);
    BOOST_TEST(isSeenByAll(fleet, 0, isUnreachableOrDead));
    BOOST_TEST(fleet.node(0).incarnation.value() == before.value() + 1);
    BOOST_TEST(!fleet.node(0).membership->isConfirmed());
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, 10s).has_value());
    BOOST_TEST(fleet.node(0).membership->isConfirmed());
}

BOOST_AUTO_TEST_CASE(LateMessagesDoNotReviveADeadMember)
{
    // Guards against a delayed message from or about a crashed process that makes it a member again.
    auto fleetOwner = makeConvergedFleet({ .nodes = 5, .zones = 2, .seed = 9 });
    auto& fleet = *fleetOwner;
    fleet.crash(4);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return isSeenByAll(fleet, 4, isUnreachableOrDead); }, 15s).has_value());

    auto const& dead = fleet.node(4);
    Messages::MemberUpdate update;
    update.vm = static_cast<std::int64_t>(dead.vm.value());
    update.incarnation = static_cast<std::int64_t>(dead.incarnation.value());
    update.__set_address(std::string(16, '\0'));
    update.__set_port(dead.endpoint.port);
    for (int refutation : { 0, 1, 100 }) {
        for (auto state :
            { Messages::MemberState::Alive, Messages::MemberState::Suspect, Messages::MemberState::Leaving }) {
            update.state = state;
            update.__set_refutation(refutation);
            Messages::Ack acknowledgement;
            acknowledgement.sequence = 1;
            acknowledgement.__set_updates({ update });
            Messages::MembershipMessage message;
            message.__set_ack(acknowledgement);
            fleet.node(0).membership->receive(dead.vm, dead.incarnation, message, dead.endpoint);
            fleet.node(1).membership->receive(fleet.node(2).vm, fleet.node(2).incarnation, message, dead.endpoint);
        }
    }
    for (int second = 0; second < 10; ++second) {
        fleet.run(1s);
        BOOST_TEST(isSeenByAll(fleet, 4, isUnreachableOrDead));
    }
}

BOOST_AUTO_TEST_CASE(PausedProcessIsUnconfirmedUntilAnswered)
{
    // Guards against a process that resumes after it was replaced and counts its old incarnation as confirmed.
    auto fleetOwner = makeConvergedFleet({ .nodes = 5, .zones = 3, .seed = 10 });
    auto& fleet = *fleetOwner;
    fleet.run(5s);
    auto before = fleet.node(2).incarnation;
    fleet.pause(2);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return isSeenByAll(fleet, 2, isUnreachableOrDead); }, 15s).has_value());
    BOOST_TEST(!fleet.node(2).membership->isConfirmed());
    fleet.resume(2);
    bool wasConfirmedTooEarly = false;
    auto reconverged = fleet.runUntil(
        [&] {
            bool isConfirmed = fleet.node(2).membership->isConfirmed();
            wasConfirmedTooEarly |= isConfirmed && fleet.node(2).incarnation <= before;
            return isConfirmed && fleet.isConverged();
        },
        10s);
    BOOST_TEST(reconverged.has_value());
    BOOST_TEST(!wasConfirmedTooEarly);
}

BOOST_AUTO_TEST_CASE(ResumedProcessSuspectsNobody)
{
    // Guards against a resumed process that attributes its own pause to other members and suspects them.
    auto fleetOwner = makeConvergedFleet({ .nodes = 8, .zones = 2, .seed = 11 });
    auto& fleet = *fleetOwner;
    for (int round = 0; round < 5; ++round) {
        fleet.pause(1);
        fleet.run(2500ms);
        fleet.resume(1);
        for (int tick = 0; tick < 40; ++tick) {
            fleet.run(100ms);
            for (std::size_t i = 0; i < fleet.size(); ++i)
                BOOST_TEST((fleet.stateSeenBy(1, i) == MemberState::Alive));
        }
    }
}

struct Partition {
    std::size_t nodes;
    std::size_t zones;
    std::size_t parts;

    friend std::ostream& operator<<(std::ostream& stream, Partition const& partition)
    {
        return stream << partition.nodes << " nodes in " << partition.parts << " parts";
    }
};

static std::vector<Partition> const Partitions { { 5, 3, 2 }, { 4, 4, 4 }, { 40, 4, 2 }, { 60, 6, 3 } };

BOOST_DATA_TEST_CASE(PartitionGoesOnAndMerges, Data::make(Partitions), partition)
{
    // Guards against parts that don't merge after the partition heals, and against members that are declared dead in
    // their own part because the other part had declared them dead.
    auto fleetOwner = makeConvergedFleet({ .nodes = partition.nodes, .zones = partition.zones, .seed = 12 });
    auto& fleet = *fleetOwner;
    auto partOf = [parts = partition.parts](std::size_t index) { return index % parts; };
    fleet.isConnected = [=](std::size_t from, std::size_t to) { return partOf(from) == partOf(to); };
    auto isPartitioned = [&] {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            for (std::size_t j = 0; j < fleet.size(); ++j) {
                if (isUnreachableOrDead(fleet.stateSeenBy(i, j)) != (partOf(i) != partOf(j)))
                    return false;
            }
        }
        return true;
    };
    BOOST_TEST_REQUIRE(fleet.runUntil(isPartitioned, 60s).has_value());
    fleet.run(20s);
    BOOST_TEST(isPartitioned());

    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    std::size_t falsePositives = 0;
    // Seed pings alone would take 10 s or more to merge the parts.
    auto merged = fleet.runUntil(
        [&] {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                for (std::size_t j = 0; j < fleet.size(); ++j)
                    falsePositives += partOf(i) == partOf(j) && isUnreachableOrDead(fleet.stateSeenBy(i, j)) ? 1 : 0;
            }
            return fleet.isConverged();
        },
        9s);
    BOOST_TEST(merged.has_value());
    BOOST_TEST(falsePositives == 0U);
}

BOOST_AUTO_TEST_CASE(FewMembersProbeAcrossZones)
{
    // Guards against probes of other zones by every member, which make the traffic between zones grow with their size.
    auto fleetOwner = makeConvergedFleet({ .nodes = 40, .zones = 2, .seed = 20 });
    auto& fleet = *fleetOwner;
    fleet.run(20s);
    std::size_t crossZoneMessages = 0;
    fleet.isConnected = [&](std::size_t from, std::size_t to) {
        crossZoneMessages += from % 2 != to % 2 ? 1 : 0;
        return true;
    };
    fleet.run(10s);
    // Two members in each of two zones send two pings a second to the other zone, and each ping is answered.
    BOOST_TEST(crossZoneMessages >= 150U);
    BOOST_TEST(crossZoneMessages <= 170U);
}

BOOST_AUTO_TEST_CASE(MessagesFitADatagram)
{
    // Guards against messages that grow with the number of changes, here when two halves of a partition merge.
    auto fleetOwner = makeConvergedFleet({ .nodes = 60, .zones = 4, .seed = 19, .isSealed = true });
    auto& fleet = *fleetOwner;
    fleet.isConnected = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
    fleet.run(20s);
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, 15s).has_value());
    BOOST_TEST(fleet.largestDatagram() <= 1200U);
}

BOOST_AUTO_TEST_CASE(GracefulLeaveIsNotAFailure)
{
    // Guards against a leaving member that is suspected while it runs, or that counts as unreachable instead of dead
    // after it has stopped.
    auto fleetOwner = makeConvergedFleet({ .nodes = 10, .zones = 2, .seed = 13 });
    auto& fleet = *fleetOwner;
    fleet.run(3s);
    fleet.node(4).membership->announceLeave();
    auto isLeaving = [](MemberState state) { return state == MemberState::Leaving; };
    BOOST_TEST(fleet.runUntil([&] { return isSeenByAll(fleet, 4, isLeaving); }, 3s).has_value());
    fleet.run(5s);
    BOOST_TEST(isSeenByAll(fleet, 4, isLeaving));
    fleet.crash(4);
    auto isDead = [](MemberState state) { return state == MemberState::Dead; };
    BOOST_TEST(fleet.runUntil([&] { return isSeenByAll(fleet, 4, isDead); }, 15s).has_value());
}

BOOST_AUTO_TEST_CASE(DeadMembersExpire)
{
    // Guards against a member list that grows with every replaced VM.
    FleetOptions options { .nodes = 4, .zones = 2, .seed = 14 };
    options.membership.deadRetention = 2min;
    options.membership.unreachableRetention = 5min;
    auto fleetOwner = makeConvergedFleet(options);
    auto& fleet = *fleetOwner;
    fleet.node(3).membership->announceLeave();
    fleet.run(2s);
    fleet.crash(3);
    fleet.crash(2);
    fleet.run(60s);
    BOOST_TEST(fleet.isKnownBy(0, 3));
    fleet.run(2min);
    BOOST_TEST(!fleet.isKnownBy(0, 3));
    BOOST_TEST(fleet.isKnownBy(0, 2));
    fleet.run(4min);
    BOOST_TEST(!fleet.isKnownBy(0, 2));
}

static std::vector<Membership::PlatformVm> makeVmList(Fleet& fleet, std::vector<std::size_t> const& indices)
{
    std::vector<Membership::PlatformVm> list;
    list.reserve(indices.size());
    for (auto index : indices)
        list.push_back({ fleet.node(index).vm, fleet.node(index).endpoint, false });
    return list;
}

BOOST_AUTO_TEST_CASE(VmListOnlyConfirmsDeaths)
{
    // Guards against an outdated list that adds, revives or removes a member by itself.
    auto fleetOwner = makeConvergedFleet({ .nodes = 4, .zones = 2, .seed = 15 });
    auto& fleet = *fleetOwner;
    auto& observer = *fleet.node(0).membership;
    observer.applyVmList(makeVmList(fleet, { 0, 1, 2, 3 }));
    fleet.run(20s);
    observer.applyVmList(makeVmList(fleet, { 0 }));
    BOOST_TEST((fleet.stateSeenBy(0, 1) == MemberState::Alive));

    fleet.crash(3);
    observer.applyVmList(makeVmList(fleet, { 0, 1, 2, 3 }));
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return isSeenByAll(fleet, 3, isUnreachableOrDead); }, 15s).has_value());
    observer.applyVmList(makeVmList(fleet, { 0, 1, 2, 3 }));
    BOOST_TEST((fleet.stateSeenBy(0, 3) == MemberState::Unreachable));
    fleet.run(5s);
    // A replica of the platform may return an older list for a short time.
    observer.applyVmList(makeVmList(fleet, { 0, 1 }));
    BOOST_TEST((fleet.stateSeenBy(0, 3) == MemberState::Unreachable));
    observer.applyVmList({});
    fleet.run(10s);
    observer.applyVmList(makeVmList(fleet, { 0, 1, 2 }));
    BOOST_TEST((fleet.stateSeenBy(0, 3) == MemberState::Dead));
    // The other members learn of the confirmed death by gossip.
    auto isDead = [](MemberState state) { return state == MemberState::Dead; };
    BOOST_TEST(fleet.runUntil([&] { return isSeenByAll(fleet, 3, isDead); }, 10s).has_value());
    observer.applyVmList(makeVmList(fleet, { 0, 1, 2, 3 }));
    BOOST_TEST((fleet.stateSeenBy(0, 3) == MemberState::Dead));
}

BOOST_AUTO_TEST_CASE(VmListProvidesSeeds)
{
    // Guards against a new process that can't join because none of its configured seeds runs.
    auto fleetOwner = makeConvergedFleet({ .nodes = 6, .zones = 2, .seed = 16 });
    auto& fleet = *fleetOwner;
    for (std::size_t seed : { 0, 2, 4 })
        fleet.crash(seed);
    fleet.run(20s);
    fleet.crash(5);
    fleet.run(10s);
    fleet.start(5);
    fleet.node(5).membership->applyVmList(makeVmList(fleet, { 0, 1, 3, 5 }));
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, 20s).has_value());
}

BOOST_AUTO_TEST_CASE(TrafficPerMemberDoesNotGrowWithTheFleet)
{
    // Guards against messages or message sizes that grow with the number of members.
    auto bytesPerNode = [](std::size_t nodes) {
        auto fleetOwner = makeConvergedFleet({ .nodes = nodes, .zones = 3, .seed = 17, .isSealed = true });
        auto& fleet = *fleetOwner;
        fleet.run(30s);
        fleet.resetTraffic();
        fleet.run(30s);
        return static_cast<double>(fleet.totalTraffic().bytes) / 30 / static_cast<double>(nodes);
    };
    auto smallFleetBytes = bytesPerNode(9);
    BOOST_TEST(bytesPerNode(90) <= smallFleetBytes * 1.1);
    BOOST_TEST(smallFleetBytes < 2000);
}

BOOST_AUTO_TEST_CASE(RestartWithTheSameIncarnationTakesAGreaterOne)
{
    // Guards against a VM whose clock was set back, so that its new process starts with the incarnation of the old one
    // and is mistaken for the dead process.
    auto fleetOwner = makeConvergedFleet({ .nodes = 4, .zones = 2, .seed = 18 });
    auto& fleet = *fleetOwner;
    fleet.crash(3);
    BOOST_TEST_REQUIRE(fleet.runUntil([&] { return isSeenByAll(fleet, 3, isUnreachableOrDead); }, 15s).has_value());
    auto before = fleet.node(3).incarnation;
    fleet.node(3).incarnation = Core::Incarnation { before.value() - 1000 };
    fleet.start(3);
    BOOST_TEST(fleet.runUntil([&] { return fleet.isConverged(); }, 10s).has_value());
    BOOST_TEST(fleet.node(3).incarnation.value() > before.value());
}

BOOST_AUTO_TEST_SUITE_END()
