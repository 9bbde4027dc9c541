#include <LibLoad/Load.h>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

auto const Stream = *Core::Endpoint::parse("198.18.0.1:443");
auto const Download = *Core::Endpoint::parse("198.18.0.2:443");

struct Fixture {
    Core::ManualClock clock;
    Load::UpstreamSpeed speeds { clock, {} };
    std::mt19937_64 random { 1 };
    std::lognormal_distribution<double> work { 0, 0.5 };
    std::bernoulli_distribution isLong { 0.03 };

    /// Time of a response with the work of the sites: 3% of the requests take 7 times as long.
    std::chrono::nanoseconds duration(std::chrono::milliseconds usual, double speed)
    {
        auto factor = work(random) * (isLong(random) ? 7 : 1) / speed;
        return std::chrono::nanoseconds { std::llround(factor * std::chrono::nanoseconds { usual }.count()) };
    }

    /// Ten upstreams respond 50 times a second each; the first one has the given speed.
    void run(std::chrono::milliseconds span, double speedOfFirst)
    {
        for (auto elapsed = 0ms; elapsed < span; elapsed += 20ms) {
            clock.advance(20ms);
            for (std::uint64_t id = 1; id <= 10; ++id)
                speeds.noteResponse(Core::UpstreamId { id }, Stream, duration(22ms, id == 1 ? speedOfFirst : 1));
        }
    }

    double speedOf(std::uint64_t id) const
    {
        std::vector<Load::SpeedEstimate> estimates;
        speeds.forEach([&](auto, auto const& estimate) { estimates.push_back(estimate); });
        return Load::SpeedDistribution { estimates, 1.5 }.speedOf(speeds.estimateOf(Core::UpstreamId { id }));
    }
};

}

BOOST_FIXTURE_TEST_SUITE(UpstreamSpeed, Fixture)

BOOST_AUTO_TEST_CASE(ChangeIsLearntWithinTwoSeconds)
{
    // Guards against requests that go on at the former rate to upstreams that have become slow or fast again.
    // Estimates may be off by the ratio below which differences have no influence.
    auto tolerance = Load::SharedLoadViewOptions {}.evenSpeedRatio;
    run(5s, 1);
    for (double speed : { 0.25, 1.0, 0.5, 2.0, 1.0 }) {
        run(2s, speed);
        BOOST_TEST(speedOf(1) > speed / tolerance);
        BOOST_TEST(speedOf(1) < speed * tolerance);
    }
}

BOOST_AUTO_TEST_CASE(LongResponsesDoNotCountAsSlowness)
{
    // Guards against upstreams that count as slow because of a few requests with much work.
    run(5s, 1);
    unsigned deviating = 0;
    for (int round = 0; round < 100; ++round) {
        run(100ms, 1);
        for (std::uint64_t id = 1; id <= 10; ++id)
            deviating += speedOf(id) < 1 / 1.5 || speedOf(id) > 1.5 ? 1 : 0;
    }
    BOOST_TEST(deviating == 0U);
}

BOOST_AUTO_TEST_CASE(SingleResponseIsNoEvidence)
{
    // Guards against decisions by a single long response on a balancer that sees few.
    run(5s, 1);
    speeds.noteResponse(Core::UpstreamId { 11 }, Stream, 7 * 22ms);
    BOOST_TEST(speedOf(11) == 1);
}

BOOST_AUTO_TEST_CASE(RoutesAreComparedWithThemselves)
{
    // Guards against an upstream that counts as slow because it gets the requests with long responses.
    for (int i = 0; i < 200; ++i) {
        clock.advance(10ms);
        for (std::uint64_t id = 1; id <= 4; ++id)
            speeds.noteResponse(Core::UpstreamId { id }, id == 1 ? Download : Stream, id == 1 ? 300ms : 20ms);
    }
    for (std::uint64_t id = 1; id <= 4; ++id)
        BOOST_TEST(speedOf(id) == 1);
    BOOST_TEST((speeds.usualTimeOf(Core::UpstreamId { 1 }).value() > 290ms));
    BOOST_TEST((speeds.usualTimeOf(Core::UpstreamId { 2 }).value() < 21ms));
}

BOOST_AUTO_TEST_CASE(EstimateIsBoundedAndAges)
{
    // Guards against a slow upstream that never gets requests again, by which it could show its recovery.
    run(3s, 1);
    run(5s, 0.001);
    BOOST_TEST(speedOf(1) >= Load::SpeedDistribution::MinSpeed);
    BOOST_TEST(speedOf(1) < 1.25 * Load::SpeedDistribution::MinSpeed);
    auto previous = speedOf(1);
    for (int second = 1; second <= 6; ++second) {
        clock.advance(1s);
        BOOST_TEST(speedOf(1) >= previous);
        previous = speedOf(1);
    }
    BOOST_TEST(previous == 1);
    clock.advance(3s);
    speeds.removeExpired();
    BOOST_TEST(speeds.upstreamCount() == 0U);
}

BOOST_AUTO_TEST_CASE(ResetDiscardsTheEstimate)
{
    // Guards against judging a new process by the one that had its ID before.
    run(3s, 0.2);
    BOOST_TEST(speedOf(1) < 0.5);
    speeds.reset(Core::UpstreamId { 1 });
    BOOST_TEST(speedOf(1) == 1);
    BOOST_TEST(!speeds.usualTimeOf(Core::UpstreamId { 1 }).has_value());
}

BOOST_AUTO_TEST_CASE(ExtremeDurations)
{
    // Guards against infinite or undefined estimates from durations at their limits.
    for (auto duration : { 0ns, std::chrono::nanoseconds::max(), -1ns, 1ns }) {
        for (int i = 0; i < 50; ++i)
            speeds.noteResponse(Core::UpstreamId { 1 }, Stream, duration);
        BOOST_TEST(speedOf(1) >= Load::SpeedDistribution::MinSpeed);
        BOOST_TEST(speedOf(1) <= Load::SpeedDistribution::MaxSpeed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
