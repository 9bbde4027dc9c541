#include <LibLoad/Load.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <limits>
#include <string>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Load::Admission;

namespace {

Core::ServiceId const Form = Directory::serviceId("form");
auto const Urgent = *Core::Endpoint::parse("198.18.0.1:443");
auto const Other = *Core::Endpoint::parse("198.18.0.1:8080");
constexpr auto Tick = 50ms;

Directory::Route makeRoute(Core::Endpoint const& address, Directory::Priority priority)
{
    Directory::Route route { address.toString(), address, { { Form, 1 } } };
    route.priority = priority;
    return route;
}

Directory::RouteTable makeRoutes(Directory::Priority urgent, Directory::Priority other)
{
    Directory::RouteTable table;
    table.routes.emplace(Urgent, makeRoute(Urgent, urgent));
    table.routes.emplace(Other, makeRoute(Other, other));
    return table;
}

struct Fixture {
    Core::ManualClock clock;
    std::size_t upstreams { 100 };
    std::vector<Load::Contention> started;
    std::vector<Load::Contention> ended;
    Load::AdmissionController controller { clock, {},
        { .spreadOf =
                [this](auto) {
                    return Load::ServiceSpread { upstreams, 1 };
                },
            .contentionStarted = [this](auto const& contention) { started.push_back(contention); },
            .contentionEnded = [this](auto const& contention) { ended.push_back(contention); } } };
    std::uint16_t port { 0 };
    std::uint64_t responses { 0 };

    Fixture() { controller.configure(makeRoutes(1, 2)); }

    Core::FlowKey flow(Core::Endpoint const& route, unsigned caller = 0)
    {
        std::array<std::uint8_t, 4> bytes { 100, 64, static_cast<std::uint8_t>(caller >> 8),
            static_cast<std::uint8_t>(caller) };
        return { { Core::IpAddress::fromV4(bytes), ++port }, route };
    }

    Admission open(Core::Endpoint const& route, unsigned caller = 0)
    {
        return controller.admit(Form, flow(route, caller), 1);
    }

    void respond(Core::Endpoint const& route, bool isRejection)
    {
        controller.noteResponse(Form, route,
            { .upstream = Core::UpstreamId { 1 + responses++ % upstreams },
                .zone = Core::ZoneId { 1 },
                .duration = isRejection ? 2ms : 30ms,
                .isShort = isRejection });
    }

    /// Opens flows with one request each for some ticks. Upstreams complete `capacity` requests per tick and reject the
    /// rest. Returns the number of refusals by route.
    std::array<unsigned, 2> run(int ticks, unsigned urgent, unsigned other, unsigned capacity)
    {
        std::array<unsigned, 2> refused {};
        for (int i = 0; i < ticks; ++i) {
            unsigned admitted = 0;
            for (unsigned open = 0; open < urgent + other; ++open) {
                bool isUrgent = open < urgent;
                auto key = flow(isUrgent ? Urgent : Other, open % 50);
                if (controller.admit(Form, key, 1) != Admission::Admitted) {
                    ++refused[isUrgent ? 0 : 1];
                    continue;
                }
                controller.noteRequest(Form, key, 0ns);
                respond(key.destination, ++admitted > capacity);
            }
            clock.advance(Tick);
            controller.tick();
        }
        return refused;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(AdmissionController, Fixture)

BOOST_AUTO_TEST_CASE(BestPriorityThatFitsIsNeverRefused)
{
    // Guards against a priority inversion.
    run(40, 5, 5, 20);
    auto refused = run(200, 5, 40, 20);
    BOOST_TEST(refused[0] == 0U);
    BOOST_TEST(refused[1] > 200U * 20);
    BOOST_REQUIRE(started.size() == 1U);
    BOOST_TEST(started[0].refusedPriorities == std::vector<Directory::Priority> { 2 });
    run(80, 5, 5, 20);
    BOOST_TEST(ended.size() == 1U);
    auto const& counters = controller.counters();
    auto const& other = counters.at(2);
    BOOST_TEST(counters.at(1).outcomes[0] == counters.at(1).offered);
    BOOST_TEST(other.offered - other.outcomes[0] >= refused[1]);
}

BOOST_AUTO_TEST_CASE(EqualPrioritiesAreNotLimited)
{
    // Guards against refusals for a service whose operators gave it no order.
    controller.configure(makeRoutes(2, 2));
    BOOST_TEST(!controller.isEnabled());
    auto refused = run(100, 20, 40, 20);
    BOOST_TEST(refused[0] + refused[1] == 0U);
}

BOOST_AUTO_TEST_CASE(RouteWithoutWeightDoesNotCount)
{
    // Guards against limits because of a route that sends nothing to the service.
    auto table = makeRoutes(1, 2);
    auto& services = table.routes.at(Other).services;
    services = { { Form, 0 }, { Directory::serviceId("export"), 1 } };
    controller.configure(table);
    BOOST_TEST(!controller.isEnabled());
}

BOOST_AUTO_TEST_CASE(CopyGetsTheSameVerdict)
{
    // Guards against a caller that is refused and admitted at the same time.
    run(100, 5, 60, 20);
    std::vector<Core::FlowKey> refused;
    for (unsigned i = 0; i < 200; ++i) {
        auto key = flow(Other, i);
        if (controller.admit(Form, key, 1) != Admission::Admitted)
            refused.push_back(key);
    }
    BOOST_REQUIRE(!refused.empty());
    clock.advance(200ms);
    controller.tick();
    for (auto const& key : refused)
        BOOST_CHECK(controller.admit(Form, key, 1) == Admission::Copy);
}

BOOST_AUTO_TEST_CASE(AtMostNineOfTenAreRefusedWhileUncertain)
{
    // Guards against an outage that is caused by an estimate that rests on nothing.
    run(100, 5, 60, 20);
    clock.advance(4s);
    controller.tick();
    unsigned admitted = 0;
    for (unsigned i = 0; i < 1000; ++i)
        admitted += open(Other, i % 5) == Admission::Admitted ? 1 : 0;
    BOOST_TEST(admitted >= 100U);
}

BOOST_AUTO_TEST_CASE(RequestsOnOpenFlowsUseCapacityFirst)
{
    // Guards against opens that are admitted although open flows fill the upstreams.
    run(100, 5, 60, 20);
    auto const key = flow(Other, 1);
    unsigned admitted = 0;
    for (int i = 0; i < 40; ++i) {
        for (int request = 0; request < 20; ++request) {
            controller.noteRequest(Form, key, 5s);
            respond(Other, false);
        }
        for (unsigned request = 0; request < 20; ++request) {
            auto opened = flow(Other, 10 + request);
            if (controller.admit(Form, opened, 1) != Admission::Admitted)
                continue;
            ++admitted;
            controller.noteRequest(Form, opened, 0ns);
            respond(Other, true);
        }
        clock.advance(Tick);
        controller.tick();
    }
    // A tenth of the 800 opens; without the flows, a third would fit.
    BOOST_TEST(admitted < 200U);
}

BOOST_AUTO_TEST_CASE(PrioritiesCanFlipDuringContention)
{
    // Guards against the order of a former configuration, and against a change that ends the contention.
    run(100, 5, 60, 20);
    controller.configure(makeRoutes(2, 1));
    BOOST_TEST(controller.contendedCount() == 1U);
    run(40, 30, 5, 20);
    auto refused = run(100, 40, 5, 20);
    BOOST_TEST(refused[0] > 100U * 20);
    BOOST_TEST(refused[1] == 0U);
}

BOOST_AUTO_TEST_CASE(CanBeTurnedOffDuringContention)
{
    // Guards against refusals, and an event that is missing, after the operators gave all routes the same priority or
    // removed them.
    run(100, 5, 60, 20);
    controller.configure(makeRoutes(1, 1));
    BOOST_TEST(ended.size() == 1U);
    auto refused = run(20, 5, 60, 20);
    BOOST_TEST(refused[0] + refused[1] == 0U);
    controller.configure({});
    BOOST_CHECK(open(Other) == Admission::Admitted);
}

BOOST_AUTO_TEST_CASE(PrioritiesAtTheirLimits)
{
    // Guards against overflows, and against more priorities than ranks or metrics exist for.
    auto table = makeRoutes(0, std::numeric_limits<Directory::Priority>::max());
    for (std::uint16_t i = 0; i < 100; ++i) {
        Core::Endpoint address { Urgent.address, static_cast<std::uint16_t>(10'000 + i) };
        table.routes.emplace(address, makeRoute(address, 1'000'000U * i));
    }
    controller.configure(table);
    run(40, 5, 5, 20);
    auto refused = run(200, 5, 40, 20);
    BOOST_TEST(refused[0] == 0U);
    BOOST_TEST(refused[1] > 200U * 20);
    BOOST_TEST(controller.counters().size() <= 17U);
}

BOOST_AUTO_TEST_CASE(ThousandsOfRoutesWithOneUpstream)
{
    // Guards against a contention that is never found because no second upstream rejects.
    upstreams = 1;
    auto table = makeRoutes(1, 2);
    for (std::uint16_t i = 0; i < 5000; ++i) {
        Core::Endpoint address { Urgent.address, static_cast<std::uint16_t>(10'000 + i) };
        table.routes.emplace(address, makeRoute(address, 2));
    }
    controller.configure(table);
    run(40, 5, 5, 20);
    auto refused = run(100, 5, 40, 20);
    BOOST_TEST(refused[0] == 0U);
    BOOST_TEST(refused[1] > 100U * 20);
}

BOOST_AUTO_TEST_CASE(OneCallerWithAllFlows)
{
    // Guards against shares that leave capacity unused if there is nobody to share it with.
    run(40, 5, 5, 20);
    unsigned admitted = 0;
    unsigned counted = 0;
    for (int i = 0; i < 200; ++i) {
        unsigned now = 0;
        for (unsigned request = 0; request < 60; ++request) {
            auto key = flow(Other, 1);
            if (controller.admit(Form, key, 1) != Admission::Admitted)
                continue;
            controller.noteRequest(Form, key, 0ns);
            respond(Other, ++now > 20);
        }
        if (i >= 100) {
            admitted += std::min(now, 20U);
            ++counted;
        }
        clock.advance(Tick);
        controller.tick();
    }
    BOOST_TEST(admitted >= counted * 18);
}

BOOST_AUTO_TEST_CASE(LateRejectionsAreFound)
{
    // Guards against an overload that goes unnoticed because rejections take as long as responses, as from another
    // zone.
    for (int i = 0; i < 100; ++i) {
        run(1, 5, 5, 20);
    }
    for (int i = 0; i < 20; ++i) {
        for (int request = 0; request < 40; ++request) {
            controller.noteResponse(Form, Other,
                { .upstream = Core::UpstreamId { 1 + responses++ % upstreams },
                    .zone = Core::ZoneId { 1 },
                    .duration = 90ms,
                    .isShort = request % 2 == 0 });
        }
        clock.advance(Tick);
        controller.tick();
    }
    BOOST_TEST(started.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
