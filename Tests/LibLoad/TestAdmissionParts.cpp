#include <LibLoad/Load.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <string>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

constexpr auto Tick = 50ms;
constexpr std::size_t Upstreams = 120;

Core::IpAddress address(unsigned index)
{
    std::array<std::uint8_t, 4> bytes { 100, 64, static_cast<std::uint8_t>(index >> 8),
        static_cast<std::uint8_t>(index) };
    return Core::IpAddress::fromV4(bytes);
}

Core::FlowKey flow(unsigned caller, std::uint16_t port)
{
    return { { address(caller), port }, *Core::Endpoint::parse("198.18.0.1:443") };
}

/// An estimator whose upstreams complete requests up to a rate and reject the rest at once.
struct Estimate {
    Core::ManualClock clock;
    Load::CapacityEstimator estimator { clock, {} };
    double started { 0 };
    double completed { 0 };
    std::uint64_t rejections { 0 };
    std::size_t rejectingUpstreams { Upstreams };
    std::uint64_t zones { 1 };
    std::uint64_t rejectingZones { 1 };

    /// Advances by a tick with the offered rate and capacity in requests per second.
    void tick(double offered, double capacity)
    {
        auto seconds = std::chrono::duration<double> { Tick }.count();
        auto admitted = std::min(offered, estimator.limit().value_or(offered));
        started += admitted * seconds;
        completed += std::min(admitted, capacity) * seconds;
        for (; started >= 1; started -= 1)
            estimator.noteRequest();
        for (; completed >= 1; completed -= 1)
            estimator.noteCompletion(false);
        m_rejected += std::max(0.0, admitted - capacity) * seconds;
        for (; m_rejected >= 1; m_rejected -= 1)
            noteRejection();
        estimator.noteOffered(offered * seconds);
        if (admitted < offered)
            estimator.noteRefusal();
        clock.advance(Tick);
        estimator.tick({ Upstreams, zones });
    }

    void noteRejection()
    {
        ++rejections;
        estimator.noteRejection(
            Core::UpstreamId { 1 + rejections % rejectingUpstreams }, Core::ZoneId { 1 + rejections % rejectingZones });
    }

    void run(std::chrono::milliseconds duration, double offered, double capacity)
    {
        for (auto end = clock.now() + duration; clock.now() < end;)
            tick(offered, capacity);
    }

private:
    double m_rejected { 0 };
};

}

BOOST_AUTO_TEST_SUITE(CapacityEstimator)

static constexpr std::array RequestRates { 60.0, 100.0, 300.0 };

BOOST_DATA_TEST_CASE(FollowsHalvingAndDoubling, boost::unit_test::data::make(RequestRates), capacity)
{
    // Guards against an estimate that stays above a halved capacity for over 1 s, or below a doubled one for over 3 s,
    // also on a balancer that sees 60 requests per second.
    Estimate estimate;
    estimate.run(5s, 3 * capacity, capacity);
    BOOST_REQUIRE(estimate.estimator.limit().has_value());
    BOOST_TEST(*estimate.estimator.limit() > 0.85 * capacity);
    BOOST_TEST(*estimate.estimator.limit() < 1.15 * capacity);
    estimate.run(1s, 3 * capacity, capacity / 2);
    BOOST_TEST(*estimate.estimator.limit() < 1.25 * capacity / 2);
    estimate.run(3s, 3 * capacity, capacity);
    BOOST_TEST(*estimate.estimator.limit() > 0.85 * capacity);
}

BOOST_AUTO_TEST_CASE(EndsWithTheOverload)
{
    // Guards against a limit that stays in force with spare capacity.
    Estimate estimate;
    estimate.run(3s, 300, 100);
    BOOST_TEST(estimate.estimator.limit().has_value());
    estimate.run(2s, 50, 100);
    BOOST_TEST(!estimate.estimator.limit().has_value());
}

BOOST_AUTO_TEST_CASE(FailingUpstreamIsNoContention)
{
    // Guards against refusals because one upstream of many fails, and attracts requests by doing so at once.
    Estimate estimate;
    estimate.rejectingUpstreams = 1;
    estimate.run(3s, 300, 200);
    BOOST_TEST(!estimate.estimator.limit().has_value());
}

BOOST_AUTO_TEST_CASE(FullLocalZoneIsNoContention)
{
    // Guards against refusals at a peak in one zone while the other zones have free slots.
    Estimate estimate;
    estimate.zones = 3;
    estimate.run(3s, 300, 200);
    BOOST_TEST(!estimate.estimator.limit().has_value());
    estimate.rejectingZones = 2;
    estimate.run(1s, 300, 200);
    BOOST_TEST(estimate.estimator.limit().has_value());
}

BOOST_AUTO_TEST_CASE(NoLimitWithoutData)
{
    // Guards against refusals at the start, and by a service whose responses no longer pass here.
    Estimate estimate;
    estimate.run(2s, 4, 2);
    BOOST_TEST(!estimate.estimator.limit().has_value());
    estimate.run(2s, 300, 100);
    BOOST_TEST(estimate.estimator.limit().has_value());
    for (int i = 0; i < 50; ++i) {
        estimate.clock.advance(Tick);
        estimate.estimator.tick({ Upstreams, 1 });
    }
    BOOST_TEST(!estimate.estimator.limit().has_value());
}

BOOST_AUTO_TEST_CASE(PauseIsNotMeasured)
{
    // Guards against a limit near zero after a pause of the process, whose time passes without responses.
    Estimate estimate;
    estimate.run(3s, 300, 100);
    auto before = *estimate.estimator.limit();
    estimate.clock.advance(4s);
    estimate.estimator.tick({ Upstreams, 1 });
    BOOST_TEST(*estimate.estimator.limit() == before);
    BOOST_TEST(!estimate.estimator.isCertain());
    estimate.run(2s, 300, 100);
    BOOST_TEST(*estimate.estimator.limit() > 85);
}

BOOST_AUTO_TEST_CASE(LateResponsesDoNotPushItBelowCompletions)
{
    // Guards against a limit that keeps falling because responses are long without any being rejected.
    Core::ManualClock clock;
    Load::CapacityEstimator estimator { clock, {} };
    for (int i = 0; i < 200; ++i) {
        for (int request = 0; request < 10; ++request) {
            estimator.noteRequest();
            estimator.noteCompletion(true);
        }
        estimator.noteOffered(10);
        clock.advance(Tick);
        estimator.tick({ Upstreams, 1 });
        if (estimator.limit())
            BOOST_TEST(*estimator.limit() >= 199);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PriorityShares)

using Supply = Load::PriorityShares::Supply;

BOOST_AUTO_TEST_CASE(BetterRankTakesFromWorseOnes)
{
    // Guards against a priority inversion: load of rank 1 must not keep out rank 0, and the other way round it must.
    Core::ManualClock clock;
    Load::PriorityShares shares { clock, 2 };
    shares.restart(100);
    for (int i = 0; i < 40; ++i) {
        shares.noteDemand(0, 5);
        shares.noteDemand(1, 50);
        shares.charge(0, 5);
        shares.charge(1, 50);
        clock.advance(100ms);
        shares.refill(100);
        shares.updateDemand(0.1);
    }
    BOOST_CHECK(shares.supplyOf(0) == Supply::Enough);
    BOOST_CHECK(shares.supplyOf(1) == Supply::None);
}

BOOST_AUTO_TEST_CASE(LowerRanksKeepAShare)
{
    // Guards against lower priorities that get nothing at all while the best one takes everything.
    Core::ManualClock clock;
    Load::PriorityShares shares { clock, 2 };
    shares.restart(100);
    unsigned admitted = 0;
    for (int i = 0; i < 1000; ++i) {
        clock.advance(10ms);
        shares.refill(100);
        shares.noteDemand(0, 2);
        shares.noteDemand(1, 2);
        shares.charge(0, 1);
        if (shares.supplyOf(1) != Supply::None) {
            ++admitted;
            shares.charge(1, 1);
        }
        if (i % 10 == 0)
            shares.updateDemand(0.1);
    }
    // 5% of 100 requests per second for 10 s, and what the buckets held at the start.
    BOOST_TEST(admitted >= 45U);
    BOOST_TEST(admitted <= 80U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CallerShares)

BOOST_AUTO_TEST_CASE(UnusedCreditGoesToOthers)
{
    // Guards against shares that are not max-min fair: 9 callers use a tenth of their equal share each, and what they
    // leave must go to the tenth caller.
    Core::ManualClock clock;
    Load::CallerShares shares { clock, 64 };
    std::array<double, 10> used {};
    double unused = 0;
    for (int i = 0; i < 1000; ++i) {
        clock.advance(100ms);
        for (unsigned caller = 0; caller < used.size(); ++caller) {
            auto& entry = shares.find(1, address(caller), 1);
            bool isAsking = caller == 0 || i % 10 == 0;
            while (isAsking && entry.credit >= 1) {
                Load::CallerShares::charge(entry, 1, 4);
                used[caller] += 1;
                isAsking = caller == 0;
            }
        }
        unused = shares.grant(1, 10 + unused, 1);
    }
    BOOST_TEST(used[0] > 8000);
    for (unsigned caller = 1; caller < used.size(); ++caller)
        BOOST_TEST(used[caller] >= 99);
}

BOOST_AUTO_TEST_CASE(NewCallersStartWithPartialCredit)
{
    // Guards against callers with few opens that all get, or all lack, their first one.
    Core::ManualClock clock;
    Load::CallerShares shares { clock, 4096 };
    double credit = 0;
    for (unsigned caller = 0; caller < 1000; ++caller)
        credit += shares.find(1, address(caller), 2).credit;
    BOOST_TEST(credit / 1000 == 1, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(TableIsBounded)
{
    // Guards against memory that grows with the number of caller addresses, and evictions that nobody can see.
    Core::ManualClock clock;
    Load::CallerShares shares { clock, 64 };
    for (unsigned caller = 0; caller < 10'000; ++caller)
        shares.find(1, address(caller), 1);
    BOOST_TEST(shares.evictions() >= 9'900U);
    clock.advance(1min);
    auto before = shares.evictions();
    for (unsigned caller = 0; caller < 4; ++caller)
        shares.find(2, address(caller), 1);
    BOOST_TEST(shares.evictions() == before);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RefusedOpens)

BOOST_AUTO_TEST_CASE(RemembersForTheTimeOfRetransmissions)
{
    // Guards against a copy of a refused opening packet that is admitted, and a later flow that is refused for it.
    Core::ManualClock clock;
    Load::RefusedOpens opens { clock, 64 };
    opens.add(flow(1, 4000), 7);
    clock.advance(600ms);
    BOOST_TEST(opens.contains(flow(1, 4000), 7));
    BOOST_TEST(!opens.contains(flow(1, 4000), 8));
    BOOST_TEST(!opens.contains(flow(1, 4001), 7));
    clock.advance(200ms);
    BOOST_TEST(!opens.contains(flow(1, 4000), 7));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RouteProfile)

BOOST_AUTO_TEST_CASE(LearnsRequestsPerOpen)
{
    // Guards against opens of long-lived flows that are charged as one request each.
    Load::RouteProfile profile;
    BOOST_TEST(profile.requestsPerOpen() == 1);
    for (int i = 0; i < 1000; ++i) {
        profile.noteOpen();
        for (int request = 0; request < 4; ++request)
            profile.notePrepaidRequest();
    }
    BOOST_TEST(profile.requestsPerOpen() == 4, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(LearnsWhetherShortResponsesAreUsual)
{
    // Guards against good short responses that count as rejections, and against an overload whose rejections soon pass
    // for usual.
    for (bool areUsual : { false, true }) {
        Load::RouteProfile profile;
        for (int second = 0; second < 5; ++second) {
            for (int i = 0; i < 100; ++i)
                profile.noteSize(areUsual && i % 5 == 0);
            profile.learnSizes(false);
        }
        BOOST_TEST(profile.isShortUnusual() == !areUsual);
        for (int i = 0; i < 100; ++i)
            profile.noteSize(true);
        profile.learnSizes(true);
        profile.learnSizes(false);
        BOOST_TEST(profile.isShortUnusual() == !areUsual);
    }
}

BOOST_AUTO_TEST_CASE(LearnsFastTimePerZone)
{
    // Guards against rejections from another zone that count as slow because of the network path.
    Load::RouteProfile profile;
    BOOST_TEST(!profile.fastTime(Core::ZoneId { 1 }).has_value());
    for (int i = 0; i < 2000; ++i) {
        profile.noteResponse(Core::ZoneId { 1 }, 10ms + std::chrono::milliseconds { i * 7 % 90 });
        profile.noteResponse(Core::ZoneId { 2 }, 80ms + std::chrono::milliseconds { i * 7 % 90 });
    }
    BOOST_CHECK(*profile.fastTime(Core::ZoneId { 1 }) > 12ms);
    BOOST_CHECK(*profile.fastTime(Core::ZoneId { 1 }) < 30ms);
    BOOST_CHECK(*profile.fastTime(Core::ZoneId { 2 }) > 80ms);
}

BOOST_AUTO_TEST_SUITE_END()
