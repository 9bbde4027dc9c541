#include <LibPlacement/Placement.h>

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Placement::PacketKind;
using Placement::Reason;
using Placement::Verdict;

namespace {

Core::ServiceId const Register = Directory::serviceId("register");
auto const Address = *Core::Endpoint::parse("198.18.0.1:443");

Directory::UpstreamEntry entry(std::uint64_t id, std::uint64_t revision = 1)
{
    Directory::UpstreamEntry entry;
    entry.upstream.id = Core::UpstreamId { id };
    entry.upstream.address = *Core::Endpoint::parse("10.0.0." + std::to_string(id) + ":80");
    entry.service = Register;
    entry.revision = Core::Revision { revision };
    return entry;
}

Directory::RouteTable routes(std::uint64_t version, bool hasRoute = true)
{
    Directory::RouteTable table;
    table.version = version;
    table.services.emplace(Register, Directory::ServiceLimits {});
    if (hasRoute)
        table.routes.emplace(Address, Directory::Route { "r", Address, { { Register, 1 } } });
    return table;
}

struct Fixture {
    Core::ManualClock clock;
    std::map<std::uint64_t, int> openFlows;
    std::map<std::uint64_t, int> requests;
    std::set<std::uint64_t> lost;
    unsigned progress { 0 };
    unsigned unanswered { 0 };
    std::chrono::milliseconds upstreamExpectedIn { std::chrono::hours { 1 } };
    Directory::UpstreamDirectory directory { clock, {}, {} };
    Placement::TokenFlowTable flows { clock, 1000,
        { .opened = [this](auto id) { ++openFlows[id.value()]; },
            .closed = [this](auto id) { --openFlows[id.value()]; },
            .requestStarted = [this](auto const&, auto const& flow) { ++requests[flow.upstream.value()]; },
            .responseStarted = [this](auto const&, auto const& flow, auto) { --requests[flow.upstream.value()]; },
            .requestDropped = [this](auto id) { --requests[id.value()]; } } };
    Placement::TokenPlacer placer { clock, {}, directory, flows,
        { .choose =
                [this](auto service, auto excluded) {
                    for (auto const* record : directory.upstreamsOf(service)) {
                        if (record->entry.upstream.id != excluded && directory.acceptsNewFlows(*record))
                            return record;
                    }
                    return static_cast<Directory::UpstreamRecord const*>(nullptr);
                },
            .acceptsSoon = [this](auto, auto limit) { return upstreamExpectedIn <= limit; },
            .isLost = [this](auto id) { return lost.contains(id.value()); },
            .progressed = [this](auto, auto) { ++progress; },
            .openUnanswered = [this](auto, auto) { ++unanswered; } } };

    Fixture()
    {
        directory.applyRoutes(routes(1));
        directory.applyUpstream(entry(1));
        directory.applyUpstream(entry(2));
        placer.setDirectoryComplete(true);
    }

    static Placement::TokenPacket packet(PacketKind kind, std::uint16_t port = 4000)
    {
        Placement::TokenPacket packet;
        packet.flow = { { *Core::IpAddress::parse("100.64.0.7"), port }, Address };
        packet.kind = kind;
        return packet;
    }

    Placement::TokenPacket data(
        std::uint64_t upstream, std::uint32_t sequence, std::uint32_t acknowledgement, std::uint16_t length)
    {
        auto result = packet(PacketKind::Data);
        result.token = Directory::routingToken(Core::UpstreamId { upstream });
        result.sequence = sequence;
        result.acknowledgement = acknowledgement;
        result.length = length;
        return result;
    }

    static std::uint64_t upstreamOf(Placement::TokenDecision const& decision)
    {
        return decision.upstream ? decision.upstream->entry.upstream.id.value() : 0;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(TokenPlacer, Fixture)

BOOST_AUTO_TEST_CASE(LaterPacketsFollowTheToken)
{
    // Guards against a flow that moves when its packets reach a balancer that has no record of it.
    for (std::uint64_t upstream : { 1, 2 }) {
        auto decision = placer.decide(data(upstream, 1, 1, 10));
        BOOST_CHECK(decision.verdict == Verdict::Forward);
        BOOST_TEST(upstreamOf(decision) == upstream);
    }
}

BOOST_AUTO_TEST_CASE(EstablishedFlowSurvivesDrainAndRemoval)
{
    // Guards against planned changes that break flows.
    auto draining = entry(1, 2);
    draining.upstream.state = Model::UpstreamState::Draining;
    directory.applyUpstream(draining);
    BOOST_TEST(upstreamOf(placer.decide(data(1, 1, 1, 10))) == 1U);
    directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 3 });
    BOOST_TEST(upstreamOf(placer.decide(data(1, 11, 1, 10))) == 1U);
    BOOST_TEST(upstreamOf(placer.decide(packet(PacketKind::Open, 4001))) == 2U);
}

BOOST_AUTO_TEST_CASE(OpenWithoutUpstreamIsRefused)
{
    // Guards against callers that wait 1.4 s for an answer that can't come.
    for (std::uint64_t id : { 1, 2 })
        directory.removeUpstream(Core::UpstreamId { id }, Core::Revision { 2 });
    auto decision = placer.decide(packet(PacketKind::Open));
    BOOST_CHECK(decision.verdict == Verdict::Refuse);
    BOOST_CHECK(decision.reason == Reason::NoUpstream);
    placer.setDirectoryComplete(false);
    BOOST_CHECK(placer.decide(packet(PacketKind::Open)).verdict == Verdict::Refuse);
}

BOOST_AUTO_TEST_CASE(OpenIsNotRefusedIfACopyCanBeServed)
{
    // Guards against using up a caller's attempts while its upstreams are about to end their slow start.
    for (std::uint64_t id : { 1, 2 })
        directory.removeUpstream(Core::UpstreamId { id }, Core::Revision { 2 });
    upstreamExpectedIn = 600ms;
    BOOST_CHECK(placer.decide(packet(PacketKind::Open)).verdict == Verdict::Drop);
    upstreamExpectedIn = 601ms;
    BOOST_CHECK(placer.decide(packet(PacketKind::Open)).verdict == Verdict::Refuse);
}

BOOST_AUTO_TEST_CASE(OpenIsNotRefusedBeforeTheUpstreamsAreKnown)
{
    // Guards against refusals by a balancer that has started and received the routes before the upstreams.
    Placement::TokenPlacer started { clock, {}, directory, flows,
        { .choose = [](auto, auto) { return static_cast<Directory::UpstreamRecord const*>(nullptr); },
            .acceptsSoon = [](auto, auto) { return false; } } };
    auto decision = started.decide(packet(PacketKind::Open));
    BOOST_CHECK(decision.verdict == Verdict::Drop);
    BOOST_CHECK(decision.reason == Reason::NotSynchronised);
    started.setDirectoryComplete(true);
    BOOST_CHECK(started.decide(packet(PacketKind::Open)).verdict == Verdict::Refuse);
}

BOOST_AUTO_TEST_CASE(PromptCopyOfAnOpenGoesToTheSameUpstream)
{
    // Guards against two upstreams that respond to one open after a balancer was paused.
    auto first = placer.decide(packet(PacketKind::Open));
    clock.advance(149ms);
    auto copy = placer.decide(packet(PacketKind::Open));
    BOOST_CHECK(copy.reason == Reason::RepeatedOpen);
    BOOST_TEST(upstreamOf(copy) == upstreamOf(first));
    BOOST_TEST(unanswered == 0U);
}

BOOST_AUTO_TEST_CASE(UnansweredOpenIsTriedElsewhere)
{
    // Guards against callers that give up because one upstream is dead or full.
    auto first = placer.decide(packet(PacketKind::Open));
    clock.advance(200ms);
    auto copy = placer.decide(packet(PacketKind::Open));
    BOOST_TEST(upstreamOf(copy) != upstreamOf(first));
    BOOST_TEST(unanswered == 1U);
    BOOST_TEST(openFlows[upstreamOf(first)] == 0);
    BOOST_TEST(openFlows[upstreamOf(copy)] == 1);
}

BOOST_AUTO_TEST_CASE(NextOpenOfTheCallerAvoidsAnUnconfirmedUpstream)
{
    // Guards against a caller whose retries all go to one upstream that resets them.
    auto first = upstreamOf(placer.decide(packet(PacketKind::Open, 4000)));
    clock.advance(3ms);
    auto second = upstreamOf(placer.decide(packet(PacketKind::Open, 4001)));
    BOOST_TEST(second != first);
    auto confirmed = data(second, 1, 1, 0);
    confirmed.flow.source.port = 4001;
    placer.decide(confirmed);
    BOOST_TEST(upstreamOf(placer.decide(packet(PacketKind::Open, 4002))) == first);
}

BOOST_AUTO_TEST_CASE(UnconfirmedOpenIsReportedOnce)
{
    // Guards against an upstream that resets every open and is never suspected.
    auto upstream = upstreamOf(placer.decide(packet(PacketKind::Open, 4000)));
    placer.decide(packet(PacketKind::Open, 4001));
    auto confirmed = data(2, 1, 1, 0);
    confirmed.flow.source.port = 4001;
    placer.decide(confirmed);
    BOOST_TEST(flows.takeUnconfirmedOpens(40ms).empty());
    clock.advance(40ms);
    auto unconfirmed = flows.takeUnconfirmedOpens(40ms);
    BOOST_REQUIRE(unconfirmed.size() == 1U);
    BOOST_TEST(unconfirmed.front().upstream.value() == upstream);
    BOOST_TEST(flows.takeUnconfirmedOpens(40ms).empty());
}

BOOST_AUTO_TEST_CASE(LateCopyOfAnOpenFollowsTheEstablishedFlow)
{
    // Guards against a delayed opening packet that moves an established flow.
    auto first = upstreamOf(placer.decide(packet(PacketKind::Open)));
    placer.decide(data(first, 1, 1, 10));
    clock.advance(600ms);
    BOOST_TEST(upstreamOf(placer.decide(packet(PacketKind::Open))) == first);
}

BOOST_AUTO_TEST_CASE(RemovedRouteResetsAtOnce)
{
    // Guards against callers that wait for their timeout on a route that was removed.
    directory.applyRoutes(routes(2, false));
    BOOST_CHECK(placer.decide(packet(PacketKind::Open)).verdict == Verdict::Refuse);
    BOOST_CHECK(placer.decide(data(1, 1, 1, 10)).verdict == Verdict::Reset);
}

BOOST_AUTO_TEST_CASE(NothingIsRefusedBeforeTheRoutesAreKnown)
{
    // Guards against resets by a balancer that has just started.
    Directory::UpstreamDirectory empty { clock, {}, {} };
    Placement::TokenPlacer starting { clock, {}, empty, flows, {} };
    BOOST_CHECK(starting.decide(packet(PacketKind::Open)).verdict == Verdict::Drop);
    BOOST_CHECK(starting.decide(data(1, 1, 1, 10)).verdict == Verdict::Drop);
}

BOOST_AUTO_TEST_CASE(UnknownTokenIsResetOnlyAfterTheTimeout)
{
    // Guards against resets of flows whose upstream's entry has expired or has not arrived yet.
    auto unknown = data(9, 1, 1, 10);
    BOOST_CHECK(placer.decide(unknown).verdict == Verdict::Drop);
    clock.advance(2999ms);
    BOOST_CHECK(placer.decide(unknown).verdict == Verdict::Drop);
    placer.setDirectoryComplete(false);
    clock.advance(10s);
    BOOST_CHECK(placer.decide(unknown).verdict == Verdict::Drop);
    placer.setDirectoryComplete(true);
    clock.advance(3s);
    BOOST_CHECK(placer.decide(unknown).verdict == Verdict::Reset);
}

BOOST_AUTO_TEST_CASE(LostUpstreamResetsItsFlows)
{
    // Guards against callers that wait for their timeout on an upstream that is gone.
    lost.insert(1);
    BOOST_CHECK(placer.decide(data(1, 1, 1, 10)).verdict == Verdict::Reset);
    BOOST_TEST(flows.size() == 0U);
    BOOST_CHECK(placer.decide(data(2, 1, 1, 10)).verdict == Verdict::Forward);
}

BOOST_AUTO_TEST_CASE(OnlyPromptAcknowledgementsCountAsProgress)
{
    // Guards against a dead upstream that seems alive because callers acknowledge earlier responses with new requests.
    auto upstream = upstreamOf(placer.decide(packet(PacketKind::Open)));
    placer.decide(data(upstream, 1, 100, 0));
    BOOST_TEST(progress == 1U);
    placer.decide(data(upstream, 1, 100, 50));
    BOOST_TEST(requests[upstream] == 1);
    placer.decide(data(upstream, 51, 300, 50));
    BOOST_TEST(progress == 1U);
    placer.decide(data(upstream, 101, 500, 0));
    BOOST_TEST(progress == 2U);
    BOOST_TEST(requests[upstream] == 0);
}

BOOST_AUTO_TEST_CASE(RetransmissionOnAnUnknownFlowIsNoProgress)
{
    // Guards against a balancer that takes over flows of a dead upstream and considers it alive.
    placer.decide(data(1, 1, 100, 50));
    placer.decide(data(1, 1, 100, 50));
    BOOST_TEST(progress == 0U);
}

BOOST_AUTO_TEST_CASE(ClosedFlowIsCountedOnce)
{
    // Guards against flow counts that drift when packets arrive after a close.
    auto upstream = upstreamOf(placer.decide(packet(PacketKind::Open)));
    auto close = data(upstream, 1, 100, 0);
    close.kind = PacketKind::Close;
    placer.decide(close);
    placer.decide(data(upstream, 2, 101, 0));
    placer.decide(close);
    BOOST_TEST(openFlows[upstream] == 0);
    clock.advance(16s);
    flows.expire(15s);
    BOOST_TEST(flows.size() == 0U);
    BOOST_TEST(openFlows[upstream] == 0);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A clock that advances with each reading, as a real one does.
class AutoAdvancingClock final : public Core::Clock {
public:
    Core::TimePoint now() const override { return m_now += 1us; }
    void advance(std::chrono::nanoseconds step) { m_now += step; }

private:
    mutable Core::TimePoint m_now { 24h };
};

Placement::TokenPacket request(Core::FlowKey const& flow)
{
    Placement::TokenPacket packet;
    packet.flow = flow;
    packet.sequence = 1;
    packet.acknowledgement = 100;
    packet.length = 50;
    return packet;
}

}

BOOST_AUTO_TEST_SUITE(TokenFlowTable)

BOOST_AUTO_TEST_CASE(UnansweredRequestIsReportedWithARunningClock)
{
    // Guards against a request and its timeout check that have different start times.
    AutoAdvancingClock clock;
    auto ignore = [](auto) {};
    Placement::TokenFlowTable flows { clock, 10,
        { ignore, ignore, [](auto const&, auto const&) {}, [](auto const&, auto const&, auto) {}, ignore } };
    Core::FlowKey key { { *Core::IpAddress::parse("100.64.0.7"), 4000 }, Address };
    Core::UpstreamId upstream { 1 };
    flows.recordOpen(key, upstream);
    flows.recordPacket(request(key), upstream);
    BOOST_TEST(flows.takeUnansweredRequests(200ms).empty());
    clock.advance(200ms);
    auto unanswered = flows.takeUnansweredRequests(200ms);
    BOOST_REQUIRE(unanswered.size() == 1U);
    BOOST_CHECK(unanswered.front().upstream == upstream);
    BOOST_TEST(flows.takeUnansweredRequests(200ms).empty());
}

BOOST_AUTO_TEST_CASE(PauseDoesNotCountTowardsTheRequestTimeout)
{
    // Guards against a process that suspects every upstream after a pause.
    Core::ManualClock clock;
    auto ignore = [](auto) {};
    Placement::TokenFlowTable flows { clock, 10,
        { ignore, ignore, [](auto const&, auto const&) {}, [](auto const&, auto const&, auto) {}, ignore } };
    Core::FlowKey key { { *Core::IpAddress::parse("100.64.0.7"), 4000 }, Address };
    flows.recordPacket(request(key), Core::UpstreamId { 1 });
    clock.advance(4s);
    flows.restartRequestTimers();
    BOOST_TEST(flows.takeUnansweredRequests(200ms).empty());
    clock.advance(200ms);
    BOOST_TEST(flows.takeUnansweredRequests(200ms).size() == 1U);
}

BOOST_AUTO_TEST_CASE(FullTableKeepsItsFlows)
{
    // Guards against a flood of opens that displaces established flows.
    Core::ManualClock clock;
    auto ignore = [](auto) {};
    Placement::TokenFlowTable flows { clock, 1,
        { ignore, ignore, [](auto const&, auto const&) {}, [](auto const&, auto const&, auto) {}, ignore } };
    Core::FlowKey first { { *Core::IpAddress::parse("100.64.0.7"), 4000 }, Address };
    Core::FlowKey second { { *Core::IpAddress::parse("100.64.0.7"), 4001 }, Address };
    flows.recordOpen(first, Core::UpstreamId { 1 });
    flows.recordOpen(second, Core::UpstreamId { 1 });
    BOOST_TEST(flows.size() == 1U);
    BOOST_TEST(flows.find(first) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
