#include <HarnessLoad/Site.h>
#include <LibLoad/DrainSchedule.h>
#include <LibLoad/FlowCount.h>
#include <LibLoad/Load.h>
#include <LibLoad/OpenerSet.h>
#include <LibLoad/OverloadGuard.h>
#include <LibLoad/RetryBudget.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

/// A single balancer and a service of four upstreams in two zones.
struct SingleBalancer {
    SingleBalancer() { apply(); }

    void apply()
    {
        controller.applyConfiguration(std::make_shared<Model::Configuration const>(configuration));
        controller.applyMembers({});
    }

    Model::Service& service() { return configuration.services.front(); }

    Placement::Selection select()
    {
        candidates.clear();
        for (auto const& upstream : service().upstreams)
            candidates.push_back(&upstream);
        return controller.select({ service(), candidates });
    }

    /// The distinct upstreams that are selected for 200 opens.
    std::vector<Core::UpstreamId> selectedUpstreams()
    {
        std::vector<Core::UpstreamId> result;
        for (int i = 0; i < 200; ++i) {
            auto& upstreams = service().upstreams;
            std::rotate(upstreams.begin(), upstreams.begin() + 1, upstreams.end());
            if (auto selection = select(); selection.index)
                result.push_back(candidates[*selection.index]->id);
        }
        std::ranges::sort(service().upstreams, {}, &Model::Upstream::id);
        std::ranges::sort(result);
        result.erase(std::unique(result.begin(), result.end()), result.end());
        return result;
    }

    void probeAll(std::vector<Core::UpstreamId> const& dead, int times = 6)
    {
        for (int i = 0; i < times; ++i) {
            for (auto const& upstream : service().upstreams) {
                bool isHealthy = std::ranges::find(dead, upstream.id) == dead.end();
                controller.recordReport(upstream.id, { .isHealthy = isHealthy });
            }
            clock.advance(500ms);
            controller.tick();
        }
    }

    Core::ManualClock clock;
    Load::LoadController controller { clock, { .self = Core::VmId { 1 }, .incarnation = Core::Incarnation { 1 } } };
    Model::Configuration configuration { Benchmarks::makeConfiguration(
        { .name = "site", .zones = 2, .services = { { .name = "packs", .upstreams = 4, .maxConnections = 1000 } } }) };
    std::vector<Model::Upstream const*> candidates;
};

}

BOOST_AUTO_TEST_SUITE(TestController)

BOOST_AUTO_TEST_CASE(DrainingUpstreamGetsNoFlow)
{
    // Guards against new flows on a draining upstream, and against a drain that never ends.
    SingleBalancer balancer;
    auto& leaving = balancer.service().upstreams[1];
    auto id = leaving.id;
    leaving.state = Model::UpstreamState::Draining;
    leaving.drainDeadline = 60s;
    balancer.apply();
    BOOST_TEST(balancer.selectedUpstreams().size() == 3U);
    auto condition = [&] {
        auto status = balancer.controller.status();
        return std::ranges::find(status, id, &Load::UpstreamStatus::upstream)->condition;
    };
    BOOST_TEST((condition() == Load::UpstreamCondition::Draining));
    balancer.clock.advance(61s);
    BOOST_TEST((condition() == Load::UpstreamCondition::Ended));
}

BOOST_AUTO_TEST_CASE(ZoneOutGetsNoFlowAndReturnsWithARamp)
{
    // Guards against flows into a zone that is out, and against full load on its upstreams as soon as it returns.
    SingleBalancer balancer;
    balancer.clock.advance(60s);
    balancer.configuration.zones[0].state = Model::ZoneState::Out;
    balancer.apply();
    BOOST_TEST(balancer.selectedUpstreams().size() == 2U);
    balancer.configuration.zones[0].state = Model::ZoneState::In;
    balancer.apply();
    auto status = balancer.controller.status();
    auto isStarting = [](auto const& entry) { return entry.condition == Load::UpstreamCondition::Starting; };
    BOOST_TEST(std::ranges::count_if(status, isStarting) == 2);
}

BOOST_AUTO_TEST_CASE(DrainDeadlineCountsFromTheFirstRevision)
{
    // Guards against a drain deadline that restarts with each configuration revision.
    Core::ManualClock clock;
    Load::DrainSchedule drain;
    drain.begin(60s, clock.now());
    clock.advance(50s);
    drain.begin(60s, clock.now());
    clock.advance(11s);
    BOOST_TEST(drain.hasEnded(clock.now()));
    drain.cancel();
    BOOST_TEST(!drain.isDraining());
    drain.remove(clock.now());
    clock.advance(Load::DrainSchedule::RemovedDeadline);
    BOOST_TEST(drain.hasEnded(clock.now()));
}

BOOST_AUTO_TEST_CASE(UnhealthyUpstreamsAreExcludedUnlessMostAreUnhealthy)
{
    // Guards against flows on unhealthy upstreams, and against a fault of the probes that makes a whole service refuse
    // flows.
    SingleBalancer balancer;
    balancer.clock.advance(60s);
    auto const& upstreams = balancer.service().upstreams;
    balancer.probeAll({ upstreams[0].id, upstreams[1].id });
    BOOST_TEST(balancer.selectedUpstreams().size() == 2U);
    balancer.probeAll({ upstreams[0].id, upstreams[1].id, upstreams[2].id });
    BOOST_TEST(balancer.selectedUpstreams().size() == 4U);
}

BOOST_AUTO_TEST_CASE(RefusalSaysWhetherToTryAgain)
{
    // Guards against callers that retry at once although the limit is reached, or give up although a slow start is in
    // progress.
    SingleBalancer balancer;
    for (auto& upstream : balancer.service().upstreams)
        upstream.maxConnections = 1;
    balancer.apply();
    for (auto const& upstream : balancer.service().upstreams)
        balancer.controller.flowOpened(balancer.service().id, upstream.id);
    auto full = balancer.select();
    BOOST_TEST(!full.index);
    BOOST_TEST((Load::refusalAdvice(full.refusal) == Load::RefusalAdvice::DoNotRetry));
    balancer.controller.setOverloaded(true);
    auto overloaded = balancer.select();
    BOOST_TEST(!overloaded.index);
    BOOST_TEST((Load::refusalAdvice(overloaded.refusal) == Load::RefusalAdvice::RetryLater));
}

BOOST_AUTO_TEST_CASE(UnconfirmedBalancerRefusesForNow)
{
    // Guards against a new balancer that opens flows while its peers publish counts but don't count it as an opener
    // yet.
    SingleBalancer balancer;
    Core::VmId peer { 2 };
    Core::Incarnation const incarnation { 1 };
    Load::LoadController added { balancer.clock, { .self = Core::VmId { 3 }, .incarnation = incarnation } };
    added.applyConfiguration(std::make_shared<Model::Configuration const>(balancer.configuration));
    added.applyMembers({ { peer, Load::MemberStatus::Alive, incarnation } });
    auto receiveCounts = [&](std::vector<Load::OpenerId> const& openers, std::int64_t order) {
        Messages::UpstreamCounts counts;
        counts.__set_incarnation(1);
        counts.__set_order(order);
        std::vector<std::int64_t> ids;
        ids.reserve(openers.size());
        for (auto id : openers)
            ids.push_back(static_cast<std::int64_t>(id.value()));
        counts.__set_openers(ids);
        for (auto const& upstream : balancer.service().upstreams) {
            Messages::UpstreamCount count;
            count.upstream = static_cast<std::int64_t>(upstream.id.value());
            counts.counts.push_back(count);
        }
        Messages::LoadMessage message;
        message.__set_upstreamCounts(counts);
        added.receive(peer, message);
    };
    balancer.select();
    auto peerId = Load::openerId(peer, incarnation);
    receiveCounts({ peerId }, 1);
    auto refused = added.select({ balancer.service(), balancer.candidates });
    BOOST_TEST(!refused.index);
    BOOST_TEST((Load::refusalAdvice(refused.refusal) == Load::RefusalAdvice::RetryLater));
    receiveCounts({ peerId, Load::openerId(Core::VmId { 3 }, incarnation) }, 2);
    BOOST_TEST(added.isReady());
    BOOST_TEST(added.select({ balancer.service(), balancer.candidates }).index.has_value());
}

BOOST_AUTO_TEST_CASE(RepeatsAreATenthOfTheOpens)
{
    // Guards against callers whose retries amplify an overload.
    Core::ManualClock clock;
    Load::RetryBudget budget;
    int admitted = 0;
    for (int i = 0; i < 10000; ++i) {
        budget.opened();
        admitted += budget.admitRepeat(clock.now());
        clock.advance(1ms);
    }
    BOOST_TEST(admitted <= 1040);
    BOOST_TEST(admitted >= 1000);
}

BOOST_AUTO_TEST_CASE(SynFloodRecyclesOnlyUnconfirmedOpens)
{
    // Guards against a SYN flood that evicts established flows.
    Load::UnconfirmedOpens opens { 100 };
    Core::Hash128 established { 1, 1 };
    opens.insert(established);
    BOOST_TEST(opens.confirm(established));
    for (std::uint64_t i = 2; i < 10000; ++i) {
        auto evicted = opens.insert({ i, 0 });
        BOOST_TEST(evicted.has_value() == (i >= 102));
        BOOST_TEST((!evicted || evicted->low == i - 100));
    }
    BOOST_TEST(opens.size() == 100U);
}

BOOST_AUTO_TEST_CASE(OverloadedBalancerLimitsItsOpens)
{
    // Guards against a balancer that accepts new flows until it can't serve the established ones.
    Core::ManualClock clock;
    Load::OverloadGuard guard { 100 };
    int admitted = 0;
    for (int i = 0; i < 10000; ++i) {
        admitted += guard.admitOpen(clock.now());
        clock.advance(1ms);
    }
    BOOST_TEST(admitted >= 1090);
    BOOST_TEST(admitted <= 1110);
}

BOOST_AUTO_TEST_CASE(RestartedUpstreamFreesItsSlotsOnce)
{
    // Guards against flows from before a restart that are subtracted twice, which would let a VM exceed its share.
    Load::FlowCount flows;
    for (int i = 0; i < 10; ++i)
        flows.add();
    flows.upstreamStarted();
    BOOST_TEST(flows.open() == 10U);
    BOOST_TEST(flows.openSinceStart() == 0U);
    flows.discardFlowsBeforeStart();
    flows.add();
    for (int i = 0; i < 10; ++i)
        flows.remove();
    BOOST_TEST(flows.open() == 1U);
    flows.remove();
    flows.remove();
    BOOST_TEST(flows.open() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
