#include <HarnessLoad/Fleet.h>
#include <LibLoad/OpenerSet.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <memory>
#include <random>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

constexpr auto IdleTimeout = 20s;

std::vector<Load::OpenerId> openers(std::size_t count)
{
    std::vector<Load::OpenerId> result;
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(Load::openerId(Core::VmId { i + 1 }, Core::Incarnation { 1 }));
    return result;
}

/// A service with a connection limit, callers that open as many flows as they are allowed to, and the actual number of
/// open flows.
class Callers {
public:
    Callers(std::uint64_t seed, std::uint32_t limit, Benchmarks::NetworkShape network)
        : fleet(seed, network)
        , m_limit(limit)
        , m_random(seed)
    {
        Benchmarks::ServiceShape shape {
            .name = "register", .upstreams = 3, .maxConnections = limit, .idleTimeout = IdleTimeout, .slowStart = 1s
        };
        m_configuration = std::make_shared<Model::Configuration const>(
            Benchmarks::makeConfiguration({ .name = "site", .zones = 2, .services = { shape } }));
        fleet.setConfiguration(m_configuration);
    }

    Model::Service const& service() const { return m_configuration->services.front(); }

    void openAll(std::size_t attempts)
    {
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            for (std::size_t n = 0; fleet.isRunning(i) && n < attempts; ++n)
                open(i);
        }
    }

    bool open(std::size_t balancer)
    {
        std::vector<Model::Upstream const*> candidates;
        for (auto const& upstream : service().upstreams)
            candidates.push_back(&upstream);
        std::ranges::shuffle(candidates, m_random);
        auto selection = fleet.at(balancer).select({ service(), candidates });
        if (!selection.index)
            return false;
        auto id = candidates[*selection.index]->id;
        fleet.at(balancer).flowOpened(service().id, id);
        ++m_open[balancer][id];
        return true;
    }

    /// Closes a random fraction of the flows. For flows of a lost balancer, the close is either seen by another
    /// balancer that has taken them over or, if `isSilent`, by none.
    void closeFraction(double part, bool isSilent = false)
    {
        for (auto& [balancer, counts] : m_open) {
            for (auto& [id, count] : counts) {
                std::binomial_distribution<std::uint32_t> draw { count, part };
                for (auto ended = draw(m_random); ended > 0; --ended)
                    close(balancer, id, isSilent);
            }
        }
    }

    void close(std::size_t balancer, Core::UpstreamId id, bool isSilent)
    {
        if (fleet.isAlive(balancer)) {
            fleet.at(balancer).flowClosed(service().id, id);
        } else if (!isSilent) {
            for (std::size_t i = 0; i < fleet.size(); ++i) {
                if (!fleet.isRunning(i))
                    continue;
                fleet.at(i).adoptedFlowClosed(service().id, id);
                break;
            }
        }
        --m_open[balancer][id];
    }

    /// Ends all flows of a balancer without any balancer seeing it, as when idle flows time out at their upstream.
    void expire(std::size_t balancer) { m_open[balancer].clear(); }

    std::uint32_t open(Core::UpstreamId id) const
    {
        std::uint32_t sum = 0;
        for (auto const& [balancer, counts] : m_open) {
            auto position = counts.find(id);
            sum += position != counts.end() ? position->second : 0;
        }
        return sum;
    }

    std::uint32_t maxExcess() const
    {
        std::uint32_t excess = 0;
        for (auto const& upstream : service().upstreams)
            excess = std::max(excess, open(upstream.id) > m_limit ? open(upstream.id) - m_limit : 0);
        return excess;
    }

    std::uint32_t totalOpen() const
    {
        std::uint32_t sum = 0;
        for (auto const& upstream : service().upstreams)
            sum += open(upstream.id);
        return sum;
    }

    Benchmarks::Fleet fleet;

private:
    std::uint32_t m_limit;
    std::mt19937_64 m_random;
    std::shared_ptr<Model::Configuration const> m_configuration;
    std::map<std::size_t, std::map<Core::UpstreamId, std::uint32_t>> m_open;
};

}

BOOST_AUTO_TEST_SUITE(TestLimits)

static std::uint32_t const Limits[] = { 0, 1, 2, 4, 5, 30, 1999, 2000 };

BOOST_DATA_TEST_CASE(SharesAddUpToTheLimit, boost::unit_test::data::make(Limits), limit)
{
    // Guards against slots that no member may use when there are more members than slots.
    for (std::size_t count = 1; count <= 9; ++count) {
        auto all = openers(count);
        for (std::uint64_t upstream = 1; upstream < 50; ++upstream) {
            std::uint32_t sum = 0;
            for (auto opener : all)
                sum += Load::shareOf(limit, Load::shareRank(all, opener, Core::UpstreamId { upstream }));
            BOOST_TEST(sum == limit);
        }
    }
}

BOOST_AUTO_TEST_CASE(SmallLimitsAreDistributedEvenly)
{
    // Guards against a remainder that always goes to the same members, so that the others can't open flows on any
    // upstream.
    auto all = openers(5);
    for (auto opener : all) {
        std::uint32_t sum = 0;
        for (std::uint64_t upstream = 1; upstream <= 100; ++upstream)
            sum += Load::shareOf(2, Load::shareRank(all, opener, Core::UpstreamId { upstream }));
        BOOST_TEST(sum > 20U);
        BOOST_TEST(sum < 60U);
    }
}

BOOST_AUTO_TEST_CASE(ShareNeverShrinksWhenAnotherLeaves)
{
    // Guards against a share rule under which members with different opener sets together exceed the limit.
    for (std::uint32_t limit = 0; limit < 40; ++limit) {
        for (std::size_t count = 2; count <= 8; ++count) {
            auto all = openers(count);
            for (std::uint64_t upstream = 1; upstream < 20; ++upstream) {
                for (std::size_t removedIndex = 1; removedIndex < count; ++removedIndex) {
                    auto fewer = all;
                    fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(removedIndex));
                    Core::UpstreamId id { upstream };
                    auto before = Load::shareOf(limit, Load::shareRank(all, all[0], id));
                    auto after = Load::shareOf(limit, Load::shareRank(fewer, all[0], id));
                    BOOST_TEST(after >= before);
                }
            }
        }
    }
}

static std::uint32_t const FleetLimits[] = { 2, 4, 7, 60 };

BOOST_DATA_TEST_CASE(FullFleetUsesTheWholeLimit, boost::unit_test::data::make(FleetLimits), limit)
{
    // Guards against shares that stay within the limit only because they leave part of it unused.
    Callers callers { 1, limit, {} };
    for (int i = 0; i < 5; ++i)
        callers.fleet.add();
    callers.fleet.run(3s);
    callers.openAll(200);
    BOOST_TEST(callers.totalOpen() == 3 * limit);
    BOOST_TEST(callers.maxExcess() == 0U);
}

BOOST_DATA_TEST_CASE(SuspicionGrowsNoShare, boost::unit_test::data::make(FleetLimits), limit)
{
    // Guards against dividing the limit by the number of reachable members: both sides of a partition would fill it.
    Callers callers { 2, limit, {} };
    for (int i = 0; i < 4; ++i)
        callers.fleet.add();
    callers.fleet.run(3s);
    callers.fleet.setPartition({ 0, 1 });
    callers.fleet.run(30s);
    callers.openAll(200);
    BOOST_TEST(callers.maxExcess() == 0U);
    // The total if each side divides the limit by the two members that it reaches.
    std::uint32_t simpleRule = 4 * (limit / 2);
    BOOST_TEST(simpleRule > limit);
}

BOOST_DATA_TEST_CASE(OrphansCountUntilTheyEnd, boost::unit_test::data::make(FleetLimits), limit)
{
    // Guards against dividing the limit by the number of live members: the flows of the lost one would exceed the
    // limit.
    Callers callers { 3, limit, {} };
    for (int i = 0; i < 4; ++i)
        callers.fleet.add();
    callers.fleet.run(3s);
    callers.openAll(200);
    auto full = callers.totalOpen();
    callers.fleet.crash(0);
    callers.fleet.run(Benchmarks::Fleet::ConfirmationTime + 2s);
    callers.openAll(200);
    BOOST_TEST(callers.totalOpen() == full);
    BOOST_TEST(callers.maxExcess() == 0U);
    // After the idle timeout the orphans have ended, and the live members use the whole limit.
    callers.expire(0);
    callers.fleet.run(IdleTimeout + 2s);
    callers.openAll(200);
    BOOST_TEST(callers.totalOpen() == 3 * limit);
    BOOST_TEST(callers.maxExcess() == 0U);
}

BOOST_AUTO_TEST_CASE(ObservedOrphanCloseFreesItsSlot)
{
    // Guards against slots of a lost balancer that stay unused until the idle timeout although their flows have ended.
    Callers callers { 4, 60, {} };
    for (int i = 0; i < 4; ++i)
        callers.fleet.add();
    callers.fleet.run(3s);
    callers.openAll(200);
    callers.fleet.crash(3);
    callers.fleet.run(Benchmarks::Fleet::ConfirmationTime + 2s);
    auto id = callers.service().upstreams.front().id;
    for (int i = 0; i < 4; ++i)
        callers.close(3, id, false);
    BOOST_TEST(callers.open(id) == 56U);
    callers.openAll(200);
    BOOST_TEST(callers.open(id) == 60U);
}

BOOST_AUTO_TEST_CASE(StillReportedOrphansOutliveTheIdleTimeout)
{
    // Guards against active long-lived flows of a lost balancer that are no longer counted after the idle timeout.
    Callers callers { 5, 60, {} };
    callers.fleet.probe
        = [&](std::size_t, Core::UpstreamId id) { return Load::UpstreamReport { .connections = callers.open(id) }; };
    for (int i = 0; i < 4; ++i)
        callers.fleet.add();
    callers.fleet.run(3s);
    callers.openAll(200);
    callers.fleet.crash(0);
    callers.fleet.run(IdleTimeout + 60s);
    callers.openAll(200);
    BOOST_TEST(callers.maxExcess() == 0U);
}

BOOST_AUTO_TEST_CASE(StartedBalancerWaitsUntilAllCountIt)
{
    // Guards against a new balancer that uses its share while the others still use their earlier, larger shares.
    Callers callers { 6, 60, {} };
    for (int i = 0; i < 4; ++i)
        callers.fleet.add();
    callers.fleet.run(3s);
    callers.openAll(200);
    auto added = callers.fleet.add();
    BOOST_TEST(!callers.fleet.at(added).isReady());
    BOOST_TEST(!callers.open(added));
    callers.fleet.run(3s);
    // The others have filled the limit, so the new balancer gets a slot only after one of their flows has ended.
    BOOST_TEST(callers.fleet.at(added).isReady());
    callers.openAll(200);
    BOOST_TEST(callers.maxExcess() == 0U);
    callers.closeFraction(0.5);
    callers.fleet.run(12s);
    BOOST_TEST(callers.open(added));
    callers.openAll(200);
    BOOST_TEST(callers.maxExcess() == 0U);
}

BOOST_AUTO_TEST_CASE(CountsWithoutConfirmationAreNotEnough)
{
    // Guards against a new balancer that uses its share because it has received counts, although their sender doesn't
    // count it as an opener yet.
    Load::OpenerSet set { Core::VmId { 1 }, Core::Incarnation { 1 } };
    Core::ManualClock clock;
    Core::VmId other { 2 };
    set.applyMembers({ { other, Load::MemberStatus::Alive, Core::Incarnation { 1 } } }, clock.now());
    auto message = [&](std::vector<Load::OpenerId> const& openers, std::int64_t order) {
        Messages::UpstreamCounts counts;
        counts.__set_incarnation(1);
        counts.__set_order(order);
        std::vector<std::int64_t> ids;
        ids.reserve(openers.size());
        for (auto id : openers)
            ids.push_back(static_cast<std::int64_t>(id.value()));
        counts.__set_openers(ids);
        return counts;
    };
    auto otherId = Load::openerId(other, Core::Incarnation { 1 });
    auto third = Load::openerId(Core::VmId { 3 }, Core::Incarnation { 1 });
    set.receiveCounts(other, message({ otherId }, 1), clock.now());
    BOOST_TEST(!set.isReady());
    // The peer counts this opener, but also a third one that this opener didn't know and that hasn't confirmed it.
    set.receiveCounts(other, message({ otherId, set.self(), third }, 2), clock.now());
    BOOST_TEST(!set.isReady());
    BOOST_TEST(set.unconfirmedBy().size() == 1U);
    // The third opener has gone: no opener names it any more.
    set.receiveCounts(other, message({ otherId, set.self() }, 3), clock.now());
    BOOST_TEST(set.isReady());
}

BOOST_AUTO_TEST_CASE(MemberListNeverRestoresALostMember)
{
    // Guards against a stale platform list that restores a member known to be gone, and with it a share of the limits.
    Load::OpenerSet set { Core::VmId { 1 }, Core::Incarnation { 1 } };
    Core::ManualClock clock;
    Core::UpstreamId upstream { 7 };
    Load::LoadMember member { Core::VmId { 2 }, Load::MemberStatus::Alive, Core::Incarnation { 1 } };
    auto apply = [&](Load::MemberStatus status) {
        member.status = status;
        set.applyMembers({ member }, clock.now());
    };
    auto retire = [&] { set.releaseLostOpeners({ upstream }, [](auto, auto) { return true; }); };
    apply(Load::MemberStatus::Alive);
    BOOST_TEST(set.ownShare(upstream, 10) == 5U);
    apply(Load::MemberStatus::Gone);
    BOOST_TEST(set.ownShare(upstream, 10) == 5U);
    apply(Load::MemberStatus::Alive);
    BOOST_TEST(set.hasLostOpeners(upstream));
    retire();
    apply(Load::MemberStatus::Alive);
    BOOST_TEST(set.ownShare(upstream, 10) == 10U);
    // Unlike the list, a message from the member itself proves that it is alive.
    Messages::UpstreamCounts message;
    message.__set_incarnation(1);
    set.receiveCounts(member.vm, message, clock.now());
    BOOST_TEST(set.ownShare(upstream, 10) == 5U);
}

BOOST_AUTO_TEST_CASE(TwoRestartedBalancersGetShares)
{
    // Guards against balancers that restart together and wait forever for confirmations from each other's former
    // processes.
    Callers callers { 1, 40, { 1ms, 4ms, 0 } };
    for (int i = 0; i < 4; ++i)
        callers.fleet.add();
    callers.fleet.setPlatformDown(true);
    callers.fleet.run(5s);
    callers.fleet.crash(0);
    callers.fleet.crash(1);
    callers.fleet.run(5s);
    std::vector<std::size_t> restarted { callers.fleet.restart(0), callers.fleet.restart(1) };
    callers.fleet.run(30s);
    for (auto index : restarted) {
        for (auto const& status : callers.fleet.at(index).status())
            BOOST_TEST(status.share > 0U);
    }
}

BOOST_AUTO_TEST_CASE(GreaterIncarnationIsCountedAgainFirst)
{
    // Guards against a process that was declared dead and opens flows in a share that others have redistributed.
    Core::VmId self { 1 };
    Load::OpenerSet set { self, Core::Incarnation { 1 } };
    Core::ManualClock clock;
    set.applyMembers({ { Core::VmId { 2 }, Load::MemberStatus::Alive, Core::Incarnation { 1 } } }, clock.now());
    auto receiveOpeners = [&](std::uint64_t incarnation) {
        Messages::UpstreamCounts message;
        message.__set_incarnation(1);
        auto id = Load::openerId(self, Core::Incarnation { incarnation });
        message.__set_openers({ static_cast<std::int64_t>(id.value()) });
        set.receiveCounts(Core::VmId { 2 }, message, clock.now());
    };
    receiveOpeners(1);
    BOOST_TEST(set.isReady());
    set.setIncarnation(Core::Incarnation { 2 });
    BOOST_TEST(!set.isReady());
    receiveOpeners(1);
    BOOST_TEST(!set.isReady());
    receiveOpeners(2);
    BOOST_TEST(set.isReady());
}

BOOST_AUTO_TEST_CASE(LostFirstCountsAreRepeatedSoon)
{
    // Guards against balancers that start together and refuse all opens for 10 s because their first counts were lost.
    Core::ManualClock clock;
    std::array<Core::VmId, 2> const vms { Core::VmId { 1 }, Core::VmId { 2 } };
    std::vector<std::unique_ptr<Load::LoadController>> controllers;
    for (auto vm : vms) {
        Load::LoadOptions options { .self = vm, .incarnation = Core::Incarnation { 1 } };
        controllers.push_back(std::make_unique<Load::LoadController>(clock, options));
        controllers.back()->applyMembers({ { vms[0], Load::MemberStatus::Alive, Core::Incarnation { 1 } },
            { vms[1], Load::MemberStatus::Alive, Core::Incarnation { 1 } } });
    }
    Benchmarks::ServiceShape shape { .name = "s", .upstreams = 3, .maxConnections = 100, .slowStart = 1s };
    auto configuration = std::make_shared<Model::Configuration const>(
        Benchmarks::makeConfiguration({ .name = "site", .zones = 1, .services = { shape } }));
    for (auto& controller : controllers)
        controller->applyConfiguration(configuration);
    auto tick = [&](std::size_t rounds, bool isLost) {
        for (std::size_t round = 0; round < rounds; ++round) {
            clock.advance(100ms);
            for (std::size_t i = 0; i < 2; ++i) {
                for (auto const& outgoing : controllers[i]->tick()) {
                    if (!isLost)
                        controllers[1 - i]->receive(vms[i], outgoing.message);
                }
            }
        }
    };
    tick(8, true);
    tick(20, false);
    for (auto& controller : controllers) {
        for (auto const& status : controller->status())
            BOOST_TEST(status.share > 0U);
    }
}

static int const Seeds[] = { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15 };

BOOST_DATA_TEST_CASE(SumNeverPassesTheLimit, boost::unit_test::data::make(Seeds), seed)
{
    // Guards against any sequence of crashes, restarts, pauses, partitions, late and lost messages that exceeds a
    // limit.
    auto random = std::mt19937_64 { static_cast<std::uint64_t>(seed) };
    auto draw = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t> { 0, count - 1 }(random); };
    std::uint32_t limit = FleetLimits[draw(4)];
    Callers callers { static_cast<std::uint64_t>(seed), limit, { 1ms, 2500ms, 0.2 } };
    for (int i = 0; i < 4; ++i)
        callers.fleet.add();
    callers.fleet.run(5s);
    std::map<std::size_t, Core::TimePoint> lost;
    for (int round = 0; round < 150; ++round) {
        auto index = draw(callers.fleet.size());
        switch (draw(12)) {
        case 0:
            if (callers.fleet.isRunning(index) && lost.size() < 6) {
                callers.fleet.crash(index);
                lost[index] = callers.fleet.now();
                if (draw(2) == 0)
                    callers.fleet.restart(index);
            }
            break;
        case 1:
            if (callers.fleet.size() < 12)
                callers.fleet.add();
            break;
        case 2:
            callers.fleet.setPaused(index, true);
            break;
        case 3:
            callers.fleet.setPartition({ index });
            break;
        case 4:
            callers.fleet.setPartition({});
            for (std::size_t i = 0; i < callers.fleet.size(); ++i)
                callers.fleet.setPaused(i, false);
            break;
        default:
            callers.openAll(limit);
        }
        callers.closeFraction(0.1);
        callers.fleet.run(std::chrono::milliseconds { 100 * (1 + draw(30)) });
        for (auto const& [balancer, lostAt] : lost) {
            if (callers.fleet.now() - lostAt > IdleTimeout)
                callers.expire(balancer);
        }
        BOOST_REQUIRE_EQUAL(callers.maxExcess(), 0U);
    }
}

BOOST_AUTO_TEST_SUITE_END()
