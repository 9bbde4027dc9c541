#include <Harness/Traffic.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

namespace Chicorytally::Placement {

using Harness::Fleet;
using Harness::FleetOptions;
using Harness::Flow;
using Harness::Sites;
using Harness::Traffic;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    /// A single engine with its own manual clock.
    struct SingleEngine {
        explicit SingleEngine(EngineHooks hooks = {}, std::size_t maximumRecords = 1'000'000)
            : engine(clock, { .self = Model::vmId("alone"), .hashKey = 5, .maximumRecords = maximumRecords },
                std::move(hooks))
        {
        }

        void apply() { engine.applyConfiguration(Sites::commit(configuration)); }
        void advance(std::chrono::nanoseconds duration)
        {
            for (std::chrono::nanoseconds passed { 0 }; passed < duration; passed += milliseconds { 100 }) {
                clock.advance(milliseconds { 100 });
                engine.tick();
            }
        }
        PacketInfo packet(std::uint16_t port, PacketKind kind, std::string const& name = "register")
        {
            auto const& service = Sites::service(configuration, name);
            std::array<std::uint8_t, 4> caller { 100, 0, 0, 1 };
            return { .flow = { { Core::IpAddress::fromV4(caller), port }, service.address, service.protocol },
                .service = service.id,
                .kind = kind };
        }
        Decision send(std::uint16_t port, PacketKind kind) { return engine.decide(packet(port, kind)); }

        Core::ManualClock clock;
        Model::Configuration configuration { Sites::accra() };
        Engine engine;
    };

}

BOOST_AUTO_TEST_SUITE(Engines)

BOOST_AUTO_TEST_CASE(SingleEngineServesAtOnce)
{
    // Guards against a single balancer that waits for members that don't exist.
    SingleEngine single;
    BOOST_TEST(!single.engine.isSynchronised());
    single.apply();
    BOOST_TEST(single.engine.isSynchronised());
    auto opened = single.send(1, PacketKind::Open);
    BOOST_REQUIRE(opened.verdict == Verdict::Forward);
    BOOST_TEST((opened.reason == Reason::NewFlow));
    BOOST_TEST((single.send(1, PacketKind::Data).upstream == opened.upstream));
    BOOST_TEST((single.engine.decide({ .service = Core::ServiceId { 1 } }).reason == Reason::UnknownService));
}

BOOST_AUTO_TEST_CASE(HooksCountEachFlowOnce)
{
    // Guards against flow counts that drift when opens or closes are retransmitted.
    int opened = 0;
    int closed = 0;
    EngineHooks hooks;
    hooks.flowOpened = [&](Core::ServiceId, Core::UpstreamId) { ++opened; };
    hooks.flowClosed = [&](Core::ServiceId, Core::UpstreamId) { ++closed; };
    SingleEngine single { hooks };
    single.apply();
    for (int i = 0; i < 3; ++i)
        single.send(1, PacketKind::Open);
    BOOST_TEST(opened == 1);
    for (int i = 0; i < 3; ++i)
        single.send(1, PacketKind::Close);
    BOOST_TEST(closed == 1);
    single.send(1, PacketKind::Open);
    BOOST_TEST(opened == 2);
    BOOST_TEST(closed == 1);
}

BOOST_AUTO_TEST_CASE(SelectingAnotherUpstreamTracksTheBucket)
{
    // Guards against a flow that is placed off a full target without a record.
    bool isFull = false;
    EngineHooks hooks;
    hooks.select = [&](SelectionRequest const& request) -> Selection {
        BOOST_TEST(request.candidates.size() == 15u);
        return { isFull ? 1u : 0u, Reason::LimitReached };
    };
    SingleEngine single { hooks };
    single.apply();
    auto before = single.send(1, PacketKind::Open);
    isFull = true;
    BOOST_TEST((single.send(2, PacketKind::Open).reason == Reason::AwaitingAcknowledgement));
    single.advance(milliseconds { 200 });
    auto after = single.send(2, PacketKind::Open);
    BOOST_REQUIRE(after.verdict == Verdict::Forward);
    BOOST_TEST((single.send(2, PacketKind::Data).upstream == after.upstream));
    BOOST_TEST((single.send(1, PacketKind::Data).upstream == before.upstream));
    auto explanation
        = single.engine.explain(single.packet(2, PacketKind::Data).service, single.packet(2, PacketKind::Data).flow);
    BOOST_REQUIRE(explanation);
    BOOST_TEST(explanation->isTracked);
    BOOST_TEST((explanation->record == after.upstream));
    BOOST_TEST((explanation->decision.reason == Reason::Record));
}

BOOST_AUTO_TEST_CASE(RefusedOpenLeavesNoRecord)
{
    // Guards against a refused open that leaves a record, so that its retransmission would be forwarded.
    EngineHooks hooks;
    hooks.select = [](SelectionRequest const&) -> Selection { return { std::nullopt, Reason::LimitReached }; };
    SingleEngine single { hooks };
    single.apply();
    auto refused = single.send(1, PacketKind::Open);
    BOOST_TEST((refused.verdict == Verdict::Refuse));
    BOOST_TEST((refused.reason == Reason::LimitReached));
    BOOST_TEST(single.engine.counters().records == 0u);
}

BOOST_AUTO_TEST_CASE(RecordsAreBounded)
{
    // Guards against unbounded memory growth in a SYN flood.
    SingleEngine single { {}, 100 };
    single.apply();
    for (std::uint16_t port = 1; port <= 300; ++port)
        single.send(port, PacketKind::Open);
    BOOST_TEST(single.engine.counters().records == 100u);
    BOOST_TEST((single.send(301, PacketKind::Open).reason == Reason::Overloaded));
    BOOST_TEST((single.send(1, PacketKind::Data).verdict == Verdict::Forward));
}

BOOST_AUTO_TEST_CASE(BucketsReturnToSteadyAfterADrain)
{
    // Guards against buckets that stay tracked forever, or whose baseline moves while flows without a record are alive.
    SingleEngine single;
    Sites::service(single.configuration, "register").idleTimeout = seconds { 10 };
    single.apply();
    std::map<std::uint16_t, Core::UpstreamId> flows;
    for (std::uint16_t port = 1; port <= 500; ++port)
        flows[port] = single.send(port, PacketKind::Open).upstream;
    Sites::upstream(single.configuration, "register", 2).state = Model::UpstreamState::Draining;
    single.apply();
    single.advance(milliseconds { 500 });
    BOOST_TEST(single.engine.counters().trackedBuckets > 0u);
    for (int round = 0; round < 10; ++round) {
        for (auto const& [port, upstream] : flows)
            BOOST_REQUIRE(single.send(port, PacketKind::Data).upstream == upstream);
        single.advance(seconds { 4 });
    }
    BOOST_TEST(single.engine.counters().trackedBuckets > 0u);
    for (auto const& [port, upstream] : flows)
        single.send(port, PacketKind::Close);
    single.advance(seconds { 80 });
    BOOST_TEST(single.engine.counters().trackedBuckets == 0u);
    BOOST_TEST(single.engine.counters().records == 0u);
}

BOOST_AUTO_TEST_CASE(FlowsAreResetAfterTheDrainDeadline)
{
    // Guards against a draining upstream that keeps flows beyond its configured deadline.
    SingleEngine single;
    single.apply();
    auto opened = single.send(1, PacketKind::Open);
    auto& upstreams = Sites::service(single.configuration, "register").upstreams;
    auto& upstream = *std::ranges::find(upstreams, opened.upstream, &Model::Upstream::id);
    upstream.state = Model::UpstreamState::Draining;
    upstream.drainDeadline = seconds { 20 };
    single.apply();
    single.advance(seconds { 19 });
    BOOST_TEST((single.send(1, PacketKind::Data).verdict == Verdict::Forward));
    single.advance(seconds { 3 });
    BOOST_TEST((single.send(1, PacketKind::Data).verdict == Verdict::Reset));
}

BOOST_AUTO_TEST_CASE(PauseDropsUntilSynchronised)
{
    // Guards against a process that resumes with an outdated view and forwards the packets queued in its sockets.
    Fleet fleet { { .seed = 3 } };
    auto configuration = Sites::accra();
    fleet.start(Sites::commit(configuration));
    Traffic traffic { fleet, {}, { Sites::service(configuration, "register").id } };
    traffic.run(seconds { 2 });
    fleet.advance(seconds { 3 });
    fleet.pause(0, seconds { 5 }, false);
    auto& flow = traffic.flows().front();
    fleet.sendTo(0, flow, PacketKind::Data);
    auto forwarded = fleet.model().count(Verdict::Forward);
    fleet.advance(milliseconds { 4999 });
    auto dropped = fleet.model().count(Reason::NotSynchronised);
    fleet.advance(milliseconds { 2 });
    BOOST_TEST(fleet.model().count(Reason::NotSynchronised) > dropped);
    BOOST_TEST(fleet.model().count(Verdict::Forward) >= forwarded);
    fleet.advance(seconds { 3 });
    BOOST_TEST(fleet.balancers()[0].method->engine()->isSynchronised());
}

BOOST_AUTO_TEST_CASE(ActiveUdpFlowsKeepTheirUpstream)
{
    // Guards against moving UDP flows, which have no opening packet, when their upstream drains.
    Fleet fleet { { .seed = 4 } };
    auto configuration = Sites::accra();
    Sites::addService(configuration, "datagrams", 5, 8, 4, Core::Protocol::Udp);
    fleet.start(Sites::commit(configuration));
    Traffic traffic { fleet, { .packetInterval = milliseconds { 300 } },
        { Sites::service(configuration, "datagrams").id } };
    traffic.run(seconds { 40 });
    fleet.advance(seconds { 10 });
    Sites::upstream(configuration, "datagrams", 2).state = Model::UpstreamState::Draining;
    fleet.spread(Sites::commit(configuration), seconds { 12 });
    fleet.advance(seconds { 50 });
    BOOST_TEST(fleet.model().brokenFlows() == 0u);
    for (auto const& violation : fleet.model().violations())
        BOOST_TEST_MESSAGE(violation);
}

BOOST_AUTO_TEST_CASE(DecisionsAreThreadSafeDuringConfigurationChanges)
{
    // Guards against crashes and moved flows when packets are decided while configurations and ticks are processed.
    // Doesn't check timing.
    SingleEngine single;
    single.apply();
    std::map<std::uint16_t, Core::UpstreamId> flows;
    for (std::uint16_t port = 1; port <= 200; ++port)
        flows[port] = single.send(port, PacketKind::Open).upstream;
    std::vector<PacketInfo> packets;
    packets.reserve(flows.size());
    for (auto const& [port, upstream] : flows)
        packets.push_back(single.packet(port, PacketKind::Data));
    std::atomic<bool> isStopped { false };
    std::atomic<std::uint64_t> moved { 0 };
    std::vector<std::thread> threads;
    threads.reserve(2);
    for (int i = 0; i < 2; ++i) {
        threads.emplace_back([&] {
            while (!isStopped) {
                for (auto const& packet : packets) {
                    auto decision = single.engine.decide(packet);
                    if (decision.upstream != flows.at(packet.flow.source.port))
                        ++moved;
                }
            }
        });
    }
    for (std::size_t round = 0; round < 60; ++round) {
        auto& upstream = Sites::upstream(single.configuration, "register", round % 15);
        upstream.state = upstream.isDraining() ? Model::UpstreamState::Active : Model::UpstreamState::Draining;
        Sites::addUpstream(single.configuration, "packs", round % 4);
        single.apply();
        single.engine.tick();
        Sites::service(single.configuration, "packs").upstreams.pop_back();
    }
    isStopped = true;
    for (auto& thread : threads)
        thread.join();
    BOOST_TEST(moved == 0u);
}

BOOST_AUTO_TEST_CASE(MessagesFitADatagram)
{
    // Guards against control messages that need IP fragmentation. A join and a zone that goes out send the largest
    // ones.
    std::size_t largest = 0;
    std::map<Core::VmId, Engine*> engines;
    Core::ManualClock clock;
    MemberView view;
    std::vector<std::unique_ptr<Engine>> owned;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        Core::VmId vm { i << 40 };
        view.members.push_back({ vm, Core::Incarnation { i } });
        owned.push_back(std::make_unique<Engine>(clock, EngineOptions { .self = vm }, EngineHooks {}));
        engines[vm] = owned.back().get();
    }
    auto configuration = Sites::accra();
    auto advance = [&](int rounds) {
        for (int round = 0; round < rounds; ++round) {
            std::vector<std::pair<Core::VmId, OutgoingMessage>> messages;
            for (auto& [vm, engine] : engines) {
                for (auto& outgoing : engine->tick())
                    messages.emplace_back(vm, std::move(outgoing));
            }
            clock.advance(milliseconds { 50 });
            for (auto const& [sender, outgoing] : messages) {
                largest = std::max(largest, Harness::encodedSize(outgoing.message));
                engines.at(outgoing.receiver)->receive(sender, outgoing.message);
            }
        }
    };
    for (auto& [vm, engine] : engines) {
        engine->applyMembers(view);
        engine->applyConfiguration(Sites::commit(configuration));
    }
    advance(100);
    Sites::setZone(configuration, 1, Model::ZoneState::Out);
    for (std::size_t index : { 0, 2, 3, 6 })
        Sites::removeUpstream(configuration, "register", index);
    auto next = Sites::commit(configuration);
    for (auto& [vm, engine] : engines)
        engine->applyConfiguration(next);
    advance(100);
    // The envelope takes up to 80 of the 1,200 bytes.
    BOOST_TEST(largest > 200u);
    BOOST_TEST(largest <= 1120u);
}

BOOST_AUTO_TEST_SUITE_END()

}
