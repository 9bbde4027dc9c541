#include "SiteModel.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Tests::Outcome;
using Tests::SiteModel;

namespace {

/// A change to a site that has run for two seconds, and what it may cost its callers.
struct Scene {
    char const* name;
    void (*change)(SiteModel&);
    /// Requests without an answer and failed tries of opens, over all callers.
    unsigned maximumLost;
    /// The naive kind loses more than this, so that the scene shows something; 0: the scene only guards.
    unsigned naiveLosesMoreThan;
};

std::ostream& operator<<(std::ostream& stream, Scene const& scene) { return stream << scene.name; }

Scene const Scenes[] {
    { "calm", [](SiteModel&) {}, 0, 0 },
    { "upstream goes dark", [](SiteModel& site) { site.goDark(0); }, 12, 20 },
    { "two upstreams crash and refuse",
        [](SiteModel& site) {
            site.crash(0);
            site.crash(3);
        },
        20, 40 },
    { "upstream drains and leaves",
        [](SiteModel& site) {
            site.drain(1);
            site.run(4s);
            site.leave(1);
        },
        6, 0 },
    { "upstream is slow", [](SiteModel& site) { site.setWorkTime(2, 700ms); }, 0, 0 },
    { "entries lapse and return",
        [](SiteModel& site) {
            for (std::size_t i = 0; i < site.upstreamCount(); i += 2)
                site.setListed(i, false);
            site.run(2s);
            for (std::size_t i = 0; i < site.upstreamCount(); i += 2)
                site.setListed(i, true);
        },
        0, 0 },
    { "zone out and back",
        [](SiteModel& site) {
            site.setZoneOutOfService(0, true);
            site.run(4s);
            site.setZoneOutOfService(0, false);
        },
        0, 20 },
    { "zone cut off",
        [](SiteModel& site) {
            site.setCut(true);
            site.run(4s);
            site.setCut(false);
        },
        0, 0 },
    { "zone out and cut off",
        [](SiteModel& site) {
            site.setZoneOutOfService(1, true);
            site.run(500ms);
            site.setCut(true);
            site.run(4s);
            site.setCut(false);
        },
        40, 60 },
    { "balancers restart in turn",
        [](SiteModel& site) {
            site.restart(0, 300ms);
            site.run(1s);
            site.restart(1, 300ms);
        },
        0, 0 },
    { "all balancers restart",
        [](SiteModel& site) {
            site.restart(0, 800ms);
            site.restart(1, 900ms);
        },
        // All copies of an opening packet that is first sent within the first 300 ms are lost.
        10, 0 },
};

Outcome play(SiteModel::Kind kind, Scene const& scene, std::uint64_t seed)
{
    SiteModel site { kind, seed };
    site.run(2s);
    scene.change(site);
    site.run(8s);
    return site.outcome();
}

}

BOOST_AUTO_TEST_SUITE(SiteScenes)

BOOST_DATA_TEST_CASE(CallersAreServed, boost::unit_test::data::make(Scenes), scene)
{
    // Guards against changes and faults that callers notice more than they must.
    unsigned naiveLost = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        auto outcome = play(SiteModel::Kind::Tokens, scene, seed);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(outcome.served > 1000U);
            BOOST_TEST(outcome.lost + outcome.failedOpens <= scene.maximumLost);
            BOOST_TEST(outcome.brokenFlows == 0U);
            BOOST_TEST(outcome.lateOpens == 0U);
        }
        auto naive = play(SiteModel::Kind::Naive, scene, seed);
        naiveLost += naive.lost + naive.failedOpens;
    }
    if (scene.naiveLosesMoreThan != 0)
        BOOST_TEST(naiveLost > 5 * scene.naiveLosesMoreThan);
}

BOOST_AUTO_TEST_CASE(RunsWithTheSameSeedAreTheSame)
{
    // Guards against a failure that can't be played again.
    auto first = play(SiteModel::Kind::Tokens, Scenes[1], 7);
    auto second = play(SiteModel::Kind::Tokens, Scenes[1], 7);
    BOOST_TEST(first.served == second.served);
    BOOST_TEST(first.lost == second.lost);
}

BOOST_AUTO_TEST_SUITE_END()
