#include <LibLoad/Load.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Core::ServiceId const Service { 1 };
constexpr auto Goal = 250ms;

struct Fixture {
    Core::ManualClock clock;
    std::vector<bool> changes;
    Load::SpilloverControl spillover { clock, {}, [this](auto, bool isSpilling) { changes.push_back(isSpilling); } };

    /// 20 responses of each side a second; without spillover none of other zones.
    void run(std::chrono::milliseconds span, std::chrono::milliseconds local, std::chrono::milliseconds remote)
    {
        for (auto elapsed = 0ms; elapsed < span; elapsed += 50ms) {
            clock.advance(50ms);
            spillover.noteResponse(Service, true, local, Goal);
            if (fraction() > 0)
                spillover.noteResponse(Service, false, remote, Goal);
            spillover.tick();
        }
    }

    double fraction() const { return spillover.fractionOf(Service); }
};

}

BOOST_FIXTURE_TEST_SUITE(SpilloverControl, Fixture)

BOOST_AUTO_TEST_CASE(NothingSpillsWithinTheGoal)
{
    // Guards against traffic between zones at normal load.
    run(20s, 240ms, 20ms);
    BOOST_TEST(fraction() == 0);
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(SpillsAndReturnsSlowly)
{
    // Guards against requests that miss their goal while another zone has room, and against sudden shifts between
    // zones.
    run(10s, 400ms, 50ms);
    BOOST_TEST(fraction() == 1);
    BOOST_TEST(spillover.spillingCount() == 1U);
    // Between the limits nothing changes.
    run(10s, 225ms, 50ms);
    BOOST_TEST(fraction() == 1);
    run(2s, 50ms, 50ms);
    BOOST_TEST(fraction() < 1);
    for (int second = 0; second < 25 && fraction() > 0; ++second) {
        auto previous = fraction();
        run(1s, 50ms, 50ms);
        BOOST_TEST(previous - fraction() <= 0.0501);
    }
    BOOST_TEST(fraction() == 0);
    BOOST_TEST(changes.size() == 2U);
}

BOOST_AUTO_TEST_CASE(SlowRemoteZonesGetATrialOnly)
{
    // Guards against moving load to zones that would miss the goal, too.
    run(20s, 400ms, 300ms);
    BOOST_TEST(fraction() <= 0.2);
}

BOOST_AUTO_TEST_CASE(WithoutResponsesOpensReturn)
{
    // Guards against spilling over forever because no local response shows the recovery.
    run(10s, 400ms, 50ms);
    for (int i = 0; i < 600; ++i) {
        clock.advance(50ms);
        spillover.tick();
    }
    BOOST_TEST(fraction() == 0);
}

BOOST_AUTO_TEST_CASE(DisabledOrWithoutGoal)
{
    // Guards against an influence of the feature when it is off or the route has no usable goal.
    Load::SpilloverControl disabled { clock, { .isEnabled = false }, {} };
    for (int i = 0; i < 100; ++i) {
        clock.advance(50ms);
        disabled.noteResponse(Service, true, 1s, Goal);
        spillover.noteResponse(Service, true, 1s, 0ms);
        disabled.tick();
        spillover.tick();
    }
    BOOST_TEST(disabled.fractionOf(Service) == 0);
    BOOST_TEST(fraction() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
