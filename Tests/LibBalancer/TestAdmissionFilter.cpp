#include <LibBalancer/Balancer.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Placement::PacketKind;
using Placement::Reason;
using Placement::Verdict;

namespace {

Core::ServiceId const Form = Directory::serviceId("form");
auto const Urgent = *Core::Endpoint::parse("198.18.0.1:443");
auto const Other = *Core::Endpoint::parse("198.18.0.1:8080");
constexpr auto Tick = 50ms;
constexpr std::uint32_t GoodBytes = 900;
constexpr std::uint32_t RejectionBytes = 200;
constexpr std::uint64_t Upstreams = 8;

/// A balancer with two routes of different priority to one service.
struct Site {
    Core::ManualClock& clock;
    Telemetry::Metrics metrics;
    unsigned resets { 0 };
    std::unique_ptr<Balancer::TokenBalancer> balancer;

    Site(Core::ManualClock& manualClock, bool hasAdmission)
        : clock(manualClock)
    {
        Balancer::TokenBalancerOptions options { .zone = Core::ZoneId { 1 }, .randomSeed = 1 };
        if (!hasAdmission)
            options.admission.reset();
        Balancer::TokenBalancerHooks hooks {
            .startProbe = [](auto, auto const&) {},
            .sendReset = [this](auto const&, auto) { ++resets; },
            .viewAge = [] { return std::optional<std::chrono::milliseconds> { 0ms }; },
        };
        balancer = std::make_unique<Balancer::TokenBalancer>(clock, options, std::move(hooks), metrics);
        balancer->applyRoutes(routes(1, 1, 2));
        for (std::uint64_t id = 1; id <= Upstreams; ++id) {
            Directory::UpstreamEntry entry;
            entry.upstream.id = Core::UpstreamId { id };
            entry.upstream.address = *Core::Endpoint::parse("10.0.0." + std::to_string(id) + ":80");
            entry.upstream.zone = Core::ZoneId { 1 };
            entry.service = Form;
            entry.incarnation = Core::Incarnation { id };
            entry.revision = Core::Revision { 1 };
            balancer->applyUpstream(entry);
        }
        balancer->setComplete(true);
    }

    static Directory::RouteTable routes(std::uint64_t version, Directory::Priority urgent, Directory::Priority other)
    {
        Directory::RouteTable table;
        table.version = version;
        table.services.emplace(Form, Directory::ServiceLimits {});
        for (auto const& [address, priority] : { std::pair { Urgent, urgent }, std::pair { Other, other } }) {
            Directory::Route route { address.toString(), address, { { Form, 1 } } };
            route.priority = priority;
            table.routes.emplace(address, route);
        }
        return table;
    }

    static Placement::TokenPacket open(Core::Endpoint const& route, unsigned caller, std::uint16_t port)
    {
        Placement::TokenPacket packet;
        auto address = *Core::IpAddress::parse("100.64.0." + std::to_string(caller));
        packet.flow = { { address, port }, route };
        packet.kind = PacketKind::Open;
        return packet;
    }

    static Placement::TokenPacket request(Placement::TokenPacket packet, Directory::RoutingToken token)
    {
        packet.kind = PacketKind::Data;
        packet.token = token;
        packet.sequence = 1;
        packet.acknowledgement = 1;
        packet.length = 100;
        return packet;
    }

    static Placement::TokenPacket acknowledgement(Placement::TokenPacket packet, std::uint32_t bytes)
    {
        packet.sequence += packet.length;
        packet.acknowledgement += bytes;
        packet.length = 0;
        return packet;
    }
};

struct Fixture {
    Core::ManualClock clock;
    std::uint16_t port { 0 };
    std::vector<Placement::TokenPacket> requests;

    /// Opens flows with a request each for some ticks of 50 ms, of which the upstreams answer `capacity` per tick and
    /// reject the rest. Returns the decisions on the opens.
    std::vector<Placement::TokenDecision> play(
        Site& site, int ticks, unsigned urgent, unsigned other, unsigned capacity)
    {
        std::vector<Placement::TokenDecision> decisions;
        for (int i = 0; i < ticks; ++i) {
            std::vector<Placement::TokenPacket> started;
            for (unsigned flow = 0; flow < urgent + other; ++flow) {
                auto open = Site::open(flow < urgent ? Urgent : Other, 1 + flow % 20, ++port);
                auto decision = decisions.emplace_back(site.balancer->decide(open));
                if (decision.verdict != Verdict::Forward)
                    continue;
                started.push_back(Site::request(open, decision.token));
                site.balancer->decide(started.back());
            }
            clock.advance(2ms);
            for (std::size_t j = capacity; j < started.size(); ++j)
                site.balancer->decide(Site::acknowledgement(started[j], RejectionBytes));
            clock.advance(Tick - 2ms);
            for (std::size_t j = 0; j < std::min<std::size_t>(capacity, started.size()); ++j)
                site.balancer->decide(Site::acknowledgement(started[j], GoodBytes));
            for (auto packet : started) {
                packet.kind = PacketKind::Close;
                packet.length = 0;
                site.balancer->decide(packet);
            }
            site.balancer->tick();
        }
        return decisions;
    }

    static auto refusals(std::vector<Placement::TokenDecision> const& decisions)
    {
        return std::ranges::count(decisions, Reason::Overloaded, &Placement::TokenDecision::reason);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(AdmissionFilter, Fixture)

BOOST_AUTO_TEST_CASE(DecisionsAreIdenticalWithSpareCapacity)
{
    // Guards against admission control that changes anything while the upstreams take all requests.
    std::vector<std::vector<std::pair<Verdict, std::uint64_t>>> played;
    for (bool hasAdmission : { false, true }) {
        Core::ManualClock ownClock;
        Site site { ownClock, hasAdmission };
        std::mt19937_64 random { 7 };
        std::vector<std::pair<Verdict, std::uint64_t>> decisions;
        auto decide = [&](Placement::TokenPacket const& packet) {
            auto decision = site.balancer->decide(packet);
            decisions.emplace_back(
                decision.verdict, decision.upstream ? decision.upstream->entry.upstream.id.value() : 0);
            return decision;
        };
        for (std::uint16_t flow = 1; flow < 20'000; ++flow) {
            auto open = Site::open(random() % 3 == 0 ? Urgent : Other, 1 + random() % 200, flow);
            auto request = Site::request(open, decide(open).token);
            decide(request);
            ownClock.advance(std::chrono::microseconds { random() % 4000 });
            // One response in a hundred is short.
            decide(Site::acknowledgement(request, random() % 100 == 0 ? RejectionBytes : GoodBytes));
            if (flow % 16 == 0)
                site.balancer->tick();
        }
        played.push_back(std::move(decisions));
    }
    BOOST_CHECK(played[0] == played[1]);
}

BOOST_AUTO_TEST_CASE(OverloadIsRefusedWithItsReason)
{
    // Guards against refusals that neither metrics nor the log explain, and against reset flows.
    Site site { clock, true };
    BOOST_TEST(refusals(play(site, 40, 4, 4, 20)) == 0);
    auto decisions = play(site, 100, 4, 40, 20);
    BOOST_TEST(refusals(decisions) > 100 * 15);
    for (auto const& decision : decisions) {
        if (decision.reason == Reason::Overloaded) {
            BOOST_CHECK(decision.verdict == Verdict::Refuse);
            BOOST_TEST(!decision.detail.empty());
        }
    }
    BOOST_TEST(site.resets == 0U);
    auto text = site.metrics.renderText();
    BOOST_TEST(text.find("chicorytally_services_in_contention 1") != std::string::npos);
    BOOST_TEST(
        text.find("chicorytally_admission_total{outcome=\"no_capacity\",priority=\"1\"} 0") != std::string::npos);
    BOOST_TEST(text.find("chicorytally_admission_offered_total{priority=\"2\"}") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(CopyOfAForwardedOpenIsForwarded)
{
    // Guards against refusing a caller whose flow an upstream has already accepted.
    Site site { clock, true };
    play(site, 40, 4, 4, 20);
    auto open = Site::open(Other, 9, 60'000);
    BOOST_REQUIRE(site.balancer->decide(open).verdict == Verdict::Forward);
    play(site, 4, 4, 60, 20);
    BOOST_CHECK(site.balancer->decide(open).verdict == Verdict::Forward);
}

BOOST_AUTO_TEST_CASE(CanBeTurnedOff)
{
    // Guards against a setting without effect.
    Site site { clock, false };
    BOOST_TEST(refusals(play(site, 140, 4, 60, 20)) == 0);
}

BOOST_AUTO_TEST_CASE(NewRoutesApplyDuringContention)
{
    // Guards against an order of priorities that stays in force after its configuration was replaced.
    Site site { clock, true };
    play(site, 40, 4, 4, 20);
    BOOST_TEST(refusals(play(site, 60, 4, 40, 20)) > 0);
    site.balancer->applyRoutes(Site::routes(2, 1, 1));
    BOOST_TEST(refusals(play(site, 60, 4, 40, 20)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
