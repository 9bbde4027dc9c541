#include <LibBalancer/Balancer.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Placement::PacketKind;
using Placement::Verdict;

namespace {

Core::ServiceId const RegisterService = Directory::serviceId("register");
auto const Address = *Core::Endpoint::parse("198.18.0.1:443");
Core::ZoneId const LocalZone { 1 };
Core::ZoneId const RemoteZone { 2 };

/// A balancer with upstreams 1 and 2 in its own zone and upstream 3 in another zone.
struct Fixture {
    Core::ManualClock clock;
    Telemetry::Metrics metrics;
    std::vector<std::uint64_t> probed;
    std::vector<std::pair<std::uint64_t, Load::ReportKind>> reports;
    std::vector<Core::FlowKey> resets;
    /// Since when the store has been unavailable, so that the directory may lack changes.
    std::optional<Core::TimePoint> storeLostAt;
    Balancer::TokenBalancer balancer { clock, { .zone = LocalZone, .randomSeed = 1 }, hooks(), metrics };

    Fixture()
    {
        balancer.applyRoutes(routes());
        addUpstream(1, LocalZone);
        addUpstream(2, LocalZone);
        addUpstream(3, RemoteZone);
        balancer.setComplete(true);
    }

    Balancer::TokenBalancerHooks hooks()
    {
        return { .startProbe = [this](auto id, auto const&) { probed.push_back(id.value()); },
            .report = [this](auto id, auto kind) { reports.emplace_back(id.value(), kind); },
            .sendReset = [this](auto const& flow, auto) { resets.push_back(flow); },
            .viewAge = [this]() -> std::optional<std::chrono::milliseconds> {
                if (!storeLostAt)
                    return 0ms;
                return std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - *storeLostAt);
            } };
    }

    static Directory::RouteTable routes()
    {
        Directory::RouteTable table;
        table.version = 1;
        table.services.emplace(RegisterService, Directory::ServiceLimits {});
        table.routes.emplace(Address, Directory::Route { "r", Address, { { RegisterService, 1 } } });
        return table;
    }

    void addUpstream(std::uint64_t id, Core::ZoneId zone, std::uint64_t revision = 1, std::string const& address = {})
    {
        balancer.applyUpstream(makeEntry(id, zone, revision, address));
    }

    static Directory::UpstreamEntry makeEntry(
        std::uint64_t id, Core::ZoneId zone, std::uint64_t revision = 1, std::string const& address = {})
    {
        Directory::UpstreamEntry entry;
        entry.upstream.id = Core::UpstreamId { id };
        entry.upstream.name = "u" + std::to_string(id);
        auto text = address.empty() ? "10.0.0." + std::to_string(id) + ":80" : address;
        entry.upstream.address = *Core::Endpoint::parse(text);
        entry.upstream.zone = zone;
        entry.service = RegisterService;
        entry.incarnation = Core::Incarnation { id };
        entry.revision = Core::Revision { revision };
        return entry;
    }

    Placement::TokenPacket packet(PacketKind kind, std::uint16_t port) const
    {
        Placement::TokenPacket packet;
        packet.flow = { { *Core::IpAddress::parse("100.64.0.7"), port }, Address };
        packet.kind = kind;
        return packet;
    }

    /// Opens a flow, sends a request on it and returns the ID of its upstream.
    std::uint64_t openAndRequest(std::uint16_t port)
    {
        auto decision = balancer.decide(packet(PacketKind::Open, port));
        BOOST_REQUIRE(decision.verdict == Verdict::Forward);
        auto data = packet(PacketKind::Data, port);
        data.token = decision.token;
        data.sequence = 1;
        data.acknowledgement = 1;
        data.length = 100;
        BOOST_CHECK(balancer.decide(data).verdict == Verdict::Forward);
        return decision.upstream->entry.upstream.id.value();
    }

    void tickFor(std::chrono::milliseconds duration)
    {
        for (auto end = clock.now() + duration; clock.now() < end;) {
            clock.advance(50ms);
            balancer.tick();
        }
    }

    /// Completes all pending probes with the result.
    void completeProbes(Load::LivenessProbeResult result)
    {
        for (auto id : std::exchange(probed, {}))
            balancer.handleProbeResult(Core::UpstreamId { id }, result);
    }

    /// Ticks for the duration, during which probes of the upstream are refused and those of others are answered.
    void refuseProbesOf(std::uint64_t upstream, std::chrono::milliseconds duration)
    {
        for (auto end = clock.now() + duration; clock.now() < end;) {
            tickFor(50ms);
            for (auto id : std::exchange(probed, {}))
                balancer.handleProbeResult(Core::UpstreamId { id },
                    id == upstream ? Load::LivenessProbeResult::Refused : Load::LivenessProbeResult::Answered);
        }
    }

    /// Opens confirmed flows for the duration and returns how many of them got the upstream.
    unsigned countOpens(std::uint64_t upstream, std::chrono::milliseconds duration, std::uint16_t firstPort)
    {
        unsigned count = 0;
        for (auto end = clock.now() + duration; clock.now() < end; ++firstPort) {
            auto open = packet(PacketKind::Open, firstPort);
            auto decision = balancer.decide(open);
            BOOST_REQUIRE(decision.verdict == Verdict::Forward);
            count += decision.upstream->entry.upstream.id.value() == upstream ? 1 : 0;
            auto close = packet(PacketKind::Close, firstPort);
            close.token = decision.token;
            balancer.decide(close);
            tickFor(50ms);
            completeProbes(Load::LivenessProbeResult::Answered);
        }
        return count;
    }

    void makeAllUnreachable()
    {
        for (std::uint16_t port = 1; port <= 9; ++port)
            openAndRequest(port);
        tickFor(250ms);
        while (!probed.empty())
            completeProbes(Load::LivenessProbeResult::NoAnswer);
    }
};

}

BOOST_FIXTURE_TEST_SUITE(TokenBalancer, Fixture)

BOOST_AUTO_TEST_CASE(OpenIsRefusedIfNoUpstreamIsWarmSoon)
{
    // Guards against callers that wait for upstreams in a long slow start, and against refusals when a copy of the
    // opening packet comes late enough.
    for (std::uint64_t id = 1; id <= 3; ++id) {
        auto entry = makeEntry(id, LocalZone, 2);
        entry.slowStartRemaining = 2s;
        balancer.applyUpstream(entry);
    }
    BOOST_CHECK(balancer.decide(packet(PacketKind::Open, 1)).verdict == Verdict::Refuse);
    clock.advance(1400ms);
    BOOST_CHECK(balancer.decide(packet(PacketKind::Open, 2)).verdict == Verdict::Drop);
    clock.advance(600ms);
    BOOST_CHECK(balancer.decide(packet(PacketKind::Open, 2)).verdict == Verdict::Forward);
}

BOOST_AUTO_TEST_CASE(IdleFlowsOfAReportedUnresponsiveUpstreamAreReset)
{
    // Guards against each balancer losing a request before it detects an unresponsive upstream that another one has
    // reported.
    auto upstream = openAndRequest(1);
    auto answer = packet(PacketKind::Data, 1);
    answer.token = Directory::routingToken(Core::UpstreamId { upstream });
    answer.sequence = 101;
    answer.acknowledgement = 500;
    balancer.decide(answer);
    tickFor(1s);
    BOOST_TEST(probed.empty());
    balancer.handlePeerReport({ Core::UpstreamId { upstream }, Load::ReportKind::Unanswered, Core::VmId { 9 } });
    BOOST_REQUIRE(probed.size() == 1U);
    BOOST_TEST(resets.empty());
    completeProbes(Load::LivenessProbeResult::NoAnswer);
    completeProbes(Load::LivenessProbeResult::NoAnswer);
    BOOST_TEST(resets.size() == 1U);
    BOOST_TEST(reports.empty());
}

BOOST_AUTO_TEST_CASE(IsolatedBalancerDetectsIsolationFromAFewUpstreams)
{
    // Guards against a partitioned balancer that stays ready until opens were lost on each of hundreds of upstreams.
    Core::ZoneId const thirdZone { 3 };
    for (std::uint64_t id = 10; id < 60; ++id)
        addUpstream(id, id % 2 == 0 ? RemoteZone : thirdZone);
    balancer.setZoneOutOfService(LocalZone, true);
    BOOST_TEST(balancer.canServe());
    auto isolatedAt = clock.now();
    for (std::uint16_t port = 1; balancer.canServe() && clock.now() - isolatedAt < 10s; ++port) {
        // The caller gets no answer and sends nothing further.
        balancer.decide(packet(PacketKind::Open, port));
        tickFor(50ms);
        // A probe takes 150 ms, which is three iterations of 50 ms.
        if (port % 3 == 0)
            completeProbes(Load::LivenessProbeResult::NoAnswer);
    }
    BOOST_TEST(std::chrono::duration<double>(clock.now() - isolatedAt).count() < 1.5);

    // One answer makes the zone reachable again and triggers probes of the eight upstreams that became unreachable.
    while (!probed.empty())
        completeProbes(Load::LivenessProbeResult::NoAnswer);
    balancer.handleProbeResult(Core::UpstreamId { 11 }, Load::LivenessProbeResult::Answered);
    BOOST_TEST(balancer.canServe());
    BOOST_TEST(probed.size() >= 7U);
}

BOOST_AUTO_TEST_CASE(DrainingUpstreamThatRefusesConnectionsKeepsItsFlows)
{
    // Guards against resetting flows because a draining upstream has closed its listening socket.
    auto upstream = openAndRequest(1);
    Directory::UpstreamEntry draining = balancer.directory().find(Core::UpstreamId { upstream })->entry;
    draining.upstream.state = Model::UpstreamState::Draining;
    draining.revision = Core::Revision { 2 };
    balancer.applyUpstream(draining);
    tickFor(250ms);
    completeProbes(Load::LivenessProbeResult::Refused);
    tickFor(200ms);
    BOOST_TEST(resets.empty());
    balancer.removeUpstream(Core::UpstreamId { upstream }, Core::Revision { 3 });
    tickFor(50ms);
    completeProbes(Load::LivenessProbeResult::Refused);
    BOOST_TEST(resets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ReportOfAResponsiveUpstreamIsIgnored)
{
    // Guards against a partitioned balancer whose reports make all other balancers abandon healthy upstreams.
    auto upstream = openAndRequest(1);
    balancer.handlePeerReport({ Core::UpstreamId { upstream }, Load::ReportKind::Unanswered, Core::VmId { 9 } });
    completeProbes(Load::LivenessProbeResult::Answered);
    BOOST_TEST(resets.empty());
    balancer.handlePeerReport({ Core::UpstreamId { upstream }, Load::ReportKind::Unanswered, Core::VmId { 9 } });
    BOOST_TEST(probed.empty());
}

BOOST_AUTO_TEST_CASE(FlowsOfAnUnresponsiveUpstreamAreResetWithinHalfASecond)
{
    // Guards against callers that wait until their timeout on flows, idle ones included, of an unresponsive upstream.
    auto upstream = openAndRequest(1);
    std::uint16_t port = 2;
    while (openAndRequest(port) != upstream)
        ++port;
    tickFor(200ms);
    BOOST_REQUIRE(!probed.empty());
    BOOST_TEST(resets.empty());
    for (int probe = 0; probe < 2; ++probe) {
        tickFor(150ms);
        for (auto id : std::exchange(probed, {}))
            balancer.handleProbeResult(Core::UpstreamId { id },
                id == upstream ? Load::LivenessProbeResult::NoAnswer : Load::LivenessProbeResult::Answered);
    }
    BOOST_TEST(resets.size() == 2U);
    for (port = 10; port < 20; ++port)
        BOOST_TEST(openAndRequest(port) != upstream);
}

BOOST_AUTO_TEST_CASE(RestartedUpstreamGetsNoFlowsWhileTheStoreIsUnavailable)
{
    // Guards against the full share of opens on a cold upstream whose entry can't show that its process was restarted.
    storeLostAt = clock.now();
    auto upstream = openAndRequest(1);
    refuseProbesOf(upstream, 1200ms);
    BOOST_TEST(balancer.unreachableCount() == 1U);
    tickFor(1s);
    completeProbes(Load::LivenessProbeResult::Answered);
    BOOST_TEST(balancer.unreachableCount() == 0U);
    BOOST_TEST(countOpens(upstream, 1900ms, 100) == 0U);
    BOOST_TEST(countOpens(upstream, 1000ms, 200) > 3U);
    std::pair const expected { upstream, Load::ReportKind::Returned };
    BOOST_TEST((std::ranges::count(reports, expected) == 1));
}

BOOST_AUTO_TEST_CASE(LateEntryOfARestartedUpstreamKeepsTheFlowsOfItsNewProcess)
{
    // Guards against resetting flows of a living process because its entry arrives when the store is back, long after
    // the restart. Flows of the ended process are reset.
    storeLostAt = clock.now();
    auto upstream = openAndRequest(1);
    refuseProbesOf(upstream, 1200ms);
    tickFor(1s);
    completeProbes(Load::LivenessProbeResult::Answered);
    tickFor(3s);
    std::uint16_t port = 100;
    while (openAndRequest(port) != upstream)
        ++port;
    resets.clear();
    storeLostAt.reset();
    auto entry = balancer.directory().find(Core::UpstreamId { upstream })->entry;
    entry.incarnation = Core::Incarnation { 1000 };
    entry.revision = Core::Revision { 2 };
    balancer.applyUpstream(entry);
    BOOST_TEST(resets.empty());
    entry.incarnation = Core::Incarnation { 2000 };
    entry.revision = Core::Revision { 3 };
    balancer.applyUpstream(entry);
    BOOST_REQUIRE(resets.size() == 1U);
    BOOST_TEST(resets.front().source.port == port);
}

BOOST_AUTO_TEST_CASE(RestartedUpstreamThatAnotherBalancerLostGetsNoFlows)
{
    // Guards against opens on a cold upstream through balancers that had no flows to it while it was down, and against
    // a service that stops because no other upstream is left.
    storeLostAt = clock.now();
    balancer.handlePeerReport({ Core::UpstreamId { 1 }, Load::ReportKind::Returned, Core::VmId { 9 } });
    BOOST_TEST(countOpens(1, 1900ms, 100) == 0U);
    BOOST_TEST(countOpens(1, 1000ms, 200) > 3U);
    tickFor(8s);
    balancer.handlePeerReport({ Core::UpstreamId { 1 }, Load::ReportKind::Returned, Core::VmId { 9 } });
    balancer.removeUpstream(Core::UpstreamId { 2 }, Core::Revision { 2 });
    balancer.removeUpstream(Core::UpstreamId { 3 }, Core::Revision { 2 });
    BOOST_TEST(countOpens(1, 1000ms, 300) == 20U);
}

BOOST_AUTO_TEST_CASE(UpstreamsOfAZoneThatWasCutOffAreUsedAtOnce)
{
    // Guards against avoiding the upstreams of a whole zone after its link was cut, although none of them restarted.
    storeLostAt = clock.now();
    for (std::uint16_t port = 1; port <= 9; ++port)
        openAndRequest(port);
    // A zone counts as silent 300 ms after its last answer.
    tickFor(350ms);
    while (!probed.empty())
        completeProbes(Load::LivenessProbeResult::NoAnswer);
    BOOST_TEST(balancer.lostZoneCount() != 0U);
    tickFor(2s);
    while (!probed.empty())
        completeProbes(Load::LivenessProbeResult::Answered);
    BOOST_TEST(balancer.lostZoneCount() == 0U);
    BOOST_TEST(countOpens(1, 1000ms, 100) > 3U);
    BOOST_TEST(countOpens(2, 1000ms, 200) > 3U);
}

BOOST_AUTO_TEST_CASE(SlowUpstreamKeepsItsFlows)
{
    // Guards against resetting flows whose upstream is slow but responsive.
    openAndRequest(1);
    for (int i = 0; i < 20; ++i) {
        tickFor(200ms);
        completeProbes(Load::LivenessProbeResult::Answered);
    }
    BOOST_TEST(resets.empty());
}

BOOST_AUTO_TEST_CASE(SlowUpstreamDoesNotCountAsFailing)
{
    // Guards against slow upstreams that are avoided for seconds as if they failed, by which the others become slow,
    // and against upstreams that hang all requests but aren't avoided.
    std::uint16_t port = 1;
    auto answer = [&](std::uint16_t flow, Directory::RoutingToken token) {
        auto acknowledgement = packet(PacketKind::Data, flow);
        acknowledgement.token = token;
        acknowledgement.sequence = 101;
        acknowledgement.acknowledgement = 1001;
        balancer.decide(acknowledgement);
    };
    auto request = [&](std::chrono::milliseconds slowTime) {
        auto id = openAndRequest(++port);
        auto token = balancer.directory().find(Core::UpstreamId { id })->token;
        clock.advance(id == 1 ? slowTime : 20ms);
        balancer.tick();
        answer(port, token);
        return id;
    };
    for (int i = 0; i < 60; ++i)
        request(120ms);
    auto hang = [&] {
        while (openAndRequest(++port) != 1)
            continue;
        tickFor(250ms);
        completeProbes(Load::LivenessProbeResult::Answered);
    };
    auto failureReports = [&] {
        return std::ranges::count(reports, std::pair { std::uint64_t { 1 }, Load::ReportKind::Failing });
    };
    hang();
    BOOST_TEST(failureReports() == 0);
    tickFor(5s);
    hang();
    BOOST_TEST(failureReports() == 1);
}

BOOST_AUTO_TEST_CASE(UnlistedUpstreamThatAnswersKeepsItsFlows)
{
    // Guards against resetting flows when entries expire because the store, not the upstream, is unreachable.
    auto upstream = openAndRequest(1);
    balancer.removeUpstream(Core::UpstreamId { upstream }, Core::Revision { 2 });
    completeProbes(Load::LivenessProbeResult::Answered);
    BOOST_TEST(resets.empty());
    BOOST_TEST(openAndRequest(2) != upstream);
}

BOOST_AUTO_TEST_CASE(FlowsOfAnUnlistedUpstreamThatRefusesProbesAreReset)
{
    // Guards against a request on an idle flow of a terminated upstream, which could not be retried.
    auto upstream = openAndRequest(1);
    balancer.removeUpstream(Core::UpstreamId { upstream }, Core::Revision { 2 });
    completeProbes(Load::LivenessProbeResult::Refused);
    BOOST_TEST(resets.empty());
    refuseProbesOf(upstream, 1200ms);
    BOOST_TEST(resets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(UpstreamAtItsConnectionLimitKeepsItsFlows)
{
    // Guards against resetting flows of a slow upstream that refuses probes and opens because it has as many
    // connections as it accepts. It is unlisted for a moment meanwhile.
    auto upstream = openAndRequest(1);
    auto token = Directory::routingToken(Core::UpstreamId { upstream });
    refuseProbesOf(upstream, 1500ms);
    BOOST_TEST(balancer.unreachableCount() == 1U);
    auto request = packet(PacketKind::Data, 1);
    request.token = token;
    request.sequence = 1;
    request.acknowledgement = 1;
    request.length = 100;
    BOOST_CHECK(balancer.decide(request).verdict == Verdict::Forward);
    auto answer = packet(PacketKind::Data, 1);
    answer.token = token;
    answer.sequence = 101;
    answer.acknowledgement = 500;
    BOOST_CHECK(balancer.decide(answer).verdict == Verdict::Forward);
    BOOST_TEST(balancer.unreachableCount() == 0U);
    balancer.removeUpstream(Core::UpstreamId { upstream }, Core::Revision { 2 });
    refuseProbesOf(upstream, 500ms);
    answer.acknowledgement = 900;
    balancer.decide(answer);
    refuseProbesOf(upstream, 500ms);
    auto entry = balancer.directory().find(Core::UpstreamId { upstream })->entry;
    entry.revision = Core::Revision { 3 };
    balancer.applyUpstream(entry);
    refuseProbesOf(upstream, 1500ms);
    BOOST_TEST(resets.empty());
}

BOOST_AUTO_TEST_CASE(SampleOfAZoneThatRefusesProbesKeepsItsFlows)
{
    // Guards against resetting idle flows of busy upstreams that are probed only because others of their zone fell
    // silent, as after the replacement of many upstreams at a peak.
    balancer.setZoneOutOfService(LocalZone, true);
    for (std::uint64_t id = 10; id < 16; ++id)
        addUpstream(id, RemoteZone);
    std::multiset<std::uint64_t> upstreams;
    for (std::uint16_t port = 1; port <= 14; ++port) {
        auto upstream = openAndRequest(port);
        upstreams.insert(upstream);
        auto answer = packet(PacketKind::Data, port);
        answer.token = Directory::routingToken(Core::UpstreamId { upstream });
        answer.sequence = 101;
        answer.acknowledgement = 500;
        balancer.decide(answer);
    }
    tickFor(1s);
    std::set<std::uint64_t> const silent { 10, 11 };
    for (auto id : silent)
        balancer.handlePeerReport({ Core::UpstreamId { id }, Load::ReportKind::Unanswered, Core::VmId { 9 } });
    std::set<std::uint64_t> sampled;
    for (int i = 0; i < 10; ++i) {
        for (auto id : std::exchange(probed, {})) {
            if (!silent.contains(id))
                sampled.insert(id);
            balancer.handleProbeResult(Core::UpstreamId { id },
                silent.contains(id) ? Load::LivenessProbeResult::NoAnswer : Load::LivenessProbeResult::Refused);
        }
        tickFor(50ms);
    }
    BOOST_TEST(sampled.size() >= 4U);
    BOOST_TEST(balancer.lostZoneCount() == 0U);
    BOOST_TEST(resets.size() == upstreams.count(10) + upstreams.count(11));
}

BOOST_AUTO_TEST_CASE(CrashedUpstreamThatRefusesProbesGetsNoNewFlows)
{
    // Guards against opens that a crashed upstream's VM refuses. The VM resets its flows with their next packet, which
    // must therefore be forwarded.
    auto upstream = openAndRequest(1);
    refuseProbesOf(upstream, 500ms);
    BOOST_TEST(countOpens(upstream, 1000ms, 100) == 0U);
    auto data = packet(PacketKind::Data, 1);
    data.token = Directory::routingToken(Core::UpstreamId { upstream });
    BOOST_CHECK(balancer.decide(data).verdict == Verdict::Forward);
}

BOOST_AUTO_TEST_CASE(ReusedAddressResetsFlowsOfThePreviousUpstream)
{
    // Guards against keeping flows of an upstream whose address another one has reused.
    auto upstream = openAndRequest(1);
    addUpstream(9, LocalZone, 5, "10.0.0." + std::to_string(upstream) + ":80");
    BOOST_TEST(resets.size() == 1U);
    auto data = packet(PacketKind::Data, 1);
    data.token = Directory::routingToken(Core::UpstreamId { upstream });
    BOOST_CHECK(balancer.decide(data).verdict == Verdict::Reset);
}

BOOST_AUTO_TEST_CASE(RestartedBalancerKeepsFlowsWhenTheRoutesArriveLast)
{
    // Guards against resets of a living upstream's flows by a balancer that starts from a peer's listing, which has
    // another writer's entry for the same address before the routes.
    auto upstream = openAndRequest(1);
    Balancer::TokenBalancer restarted { clock, { .zone = LocalZone, .randomSeed = 2 }, hooks(), metrics };
    auto living = makeEntry(upstream, LocalZone);
    restarted.applyUpstream(living);
    auto foreign = makeEntry(9, LocalZone, 2, living.upstream.address.toString());
    foreign.service = Directory::serviceId("stocktaking");
    restarted.applyUpstream(foreign);
    restarted.applyRoutes(routes());
    restarted.setComplete(true);
    auto request = packet(PacketKind::Data, 1);
    request.token = Directory::routingToken(living.upstream.id);
    BOOST_CHECK(restarted.decide(request).verdict == Verdict::Forward);
    auto opened = restarted.decide(packet(PacketKind::Open, 2));
    BOOST_REQUIRE(opened.verdict == Verdict::Forward);
    BOOST_TEST(opened.upstream->entry.upstream.id.value() == upstream);
}

BOOST_AUTO_TEST_CASE(PausedProcessSuspectsNoUpstream)
{
    // Guards against a resumed process that mistakes its own pause for unresponsive upstreams.
    openAndRequest(1);
    tickFor(50ms);
    clock.advance(4s);
    balancer.tick();
    BOOST_TEST(probed.empty());
}

BOOST_AUTO_TEST_CASE(BalancerWithoutReachableUpstreamIsNotReady)
{
    // Guards against sending callers to a partitioned balancer whose zone is out of service.
    BOOST_TEST(balancer.canServe());
    makeAllUnreachable();
    BOOST_TEST(!balancer.canServe());
    tickFor(500ms);
    completeProbes(Load::LivenessProbeResult::Answered);
    BOOST_TEST(balancer.canServe());
}

BOOST_AUTO_TEST_CASE(ZoneOutOfServiceGetsNoNewFlows)
{
    // Guards against opening flows in a zone that is out of service, and against resetting its established flows.
    openAndRequest(1);
    balancer.setZoneOutOfService(LocalZone, true);
    BOOST_TEST(resets.empty());
    for (std::uint16_t port = 2; port < 10; ++port)
        BOOST_TEST(openAndRequest(port) == 3U);
    balancer.setZoneOutOfService(RemoteZone, true);
    BOOST_TEST(!balancer.canServe());
}

BOOST_AUTO_TEST_SUITE_END()
