#include "Harness.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <nlohmann/json.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Packet::Ack;
using Packet::Syn;
using Placement::PacketKind;
using Placement::Verdict;

BOOST_AUTO_TEST_SUITE(TestPipeline)

static Packet::ParsedPacket parseInner(std::vector<std::uint8_t> const& datagram)
{
    auto encapsulated = Packet::parseGue(datagram);
    BOOST_REQUIRE(encapsulated);
    auto error = Packet::ParseError::None;
    auto packet = Packet::parse(encapsulated->inner, error);
    BOOST_REQUIRE_MESSAGE(packet, toString(error));
    return *packet;
}

BOOST_AUTO_TEST_CASE(ForwardedPacketHasDecrementedHopLimit)
{
    // Guards against a modified inner packet, and against a forwarding loop that no hop limit terminates.
    Harness harness;
    auto inner = callerPacket(4000, Syn);
    harness.sendFromFabric(inner);
    BOOST_TEST(harness.run() == 1u);
    auto received = harness.receivedBy(harness.upstream);
    BOOST_REQUIRE(received.size() == 1u);
    Packet::decrementHopLimit(inner);
    std::vector<std::uint8_t> expected { 0, 4, 0, 0 };
    expected.insert(expected.end(), inner.begin(), inner.end());
    BOOST_TEST(received[0] == expected, boost::test_tools::per_element());
    BOOST_TEST((harness.decided[0].service == exampleConfiguration().services[0].id));
    BOOST_TEST(harness.hasMetric("chicorytally_packets_received_total{from=\"fabric\"} 1"));
    BOOST_TEST(harness.hasMetric("chicorytally_packets_decided_total{reason=\"steady\",verdict=\"forward\"} 1"));
}

BOOST_AUTO_TEST_CASE(PeerHopCarriesHopCountAndSender)
{
    // Guards against hops that the peer rejects, and against a hop count that is not incremented.
    Harness harness;
    harness.decide(Verdict::ForwardToPeer);
    harness.decision.peer = Harness::PeerVm;
    harness.sendFromFabric(callerPacket(4000, Syn));
    harness.sendFromPeer(callerPacket(4001, Syn), { Core::VmId { 3 }, 1, true });
    harness.run();
    auto received = harness.receivedBy(harness.peer);
    BOOST_REQUIRE(received.size() == 2u);
    for (std::uint8_t i = 0; i < 2; ++i) {
        auto packet = Packet::parseGue(received[i]);
        BOOST_REQUIRE(packet && packet->hop);
        BOOST_TEST(Packet::isAuthentic(*packet, { 7 }));
        BOOST_TEST(packet->hop->hopCount == i + 1);
        BOOST_TEST(packet->hop->sender.value() == 1u);
        BOOST_TEST(packet->hop->isKnownFlow == (i == 1));
    }
    BOOST_TEST(harness.decided[1].hopCount == 1);
    BOOST_TEST(harness.decided[1].sender.value() == 3u);
    BOOST_TEST(harness.decided[1].isKnownToSender);
}

BOOST_AUTO_TEST_CASE(PacketAtMaxHopCountIsNotForwardedToPeer)
{
    // Guards against a forwarding loop between balancers.
    Harness harness;
    harness.decide(Verdict::ForwardToPeer);
    harness.decision.peer = Harness::PeerVm;
    harness.sendFromPeer(callerPacket(4000, Syn), { Core::VmId { 3 }, 2 });
    harness.run();
    BOOST_TEST(harness.receivedBy(harness.peer).empty());
    BOOST_TEST(harness.hasMetric("chicorytally_packets_dropped_total{reason=\"bad_hop\"} 1"));
}

BOOST_DATA_TEST_CASE(
    RefusalGoesBackToTheFabric, boost::unit_test::data::make({ Verdict::Refuse, Verdict::Reset }), verdict)
{
    // Guards against callers that run into a timeout because they receive no refusal.
    Harness harness;
    harness.decide(verdict);
    harness.sendFromFabric(callerPacket(4000, Syn));
    harness.sendFromFabric(callerPacket(4001, 0, Register, Core::Protocol::Udp));
    harness.sendFromFabric(callerPacket(4002, Syn, RegisterV6));
    harness.run();
    auto received = harness.receivedBy(harness.fabric);
    BOOST_REQUIRE(received.size() == 3u);
    BOOST_TEST(parseInner(received[0]).tcpFlags == (Packet::Rst | Ack));
    BOOST_TEST((parseInner(received[0]).flow.destination == endpoint("10.9.0.1:4000")));
    BOOST_TEST(parseInner(received[1]).isIcmpError);
    BOOST_TEST((parseInner(received[2]).flow.source == RegisterV6));
    BOOST_TEST(harness.receivedBy(harness.upstream).empty());
}

BOOST_AUTO_TEST_CASE(RefusalOfPacketFromPeerGoesToFabric)
{
    // Guards against a refusal that is sent to the forwarding balancer, which drops it.
    Harness harness;
    harness.decide(Verdict::Refuse);
    harness.sendFromPeer(callerPacket(4000, Syn), { Harness::PeerVm, 1 });
    harness.run();
    BOOST_TEST(harness.hasMetric("chicorytally_packets_dropped_total{reason=\"no_fabric\"} 1"));
    harness.sendFromFabric(callerPacket(4001, Syn));
    harness.run();
    harness.sendFromPeer(callerPacket(4002, Syn), { Harness::PeerVm, 1 });
    harness.run();
    BOOST_TEST(harness.receivedBy(harness.peer).empty());
    BOOST_TEST(harness.receivedBy(harness.fabric).size() == 2u);
}

BOOST_AUTO_TEST_CASE(RefusalsGoToConfiguredFabricEndpoint)
{
    // Guards against a configured fabric address that is ignored.
    auto configured = bindLoopback();
    DataPath::PipelineOptions options;
    options.fabricAddress = configured.localEndpoint();
    Harness harness { options };
    harness.decide(Verdict::Refuse);
    harness.sendFromFabric(callerPacket(4000, Syn));
    harness.sendFromPeer(callerPacket(4001, Syn), { Harness::PeerVm, 1 });
    harness.run();
    BOOST_TEST(harness.receivedBy(configured).size() == 2u);
}

BOOST_AUTO_TEST_CASE(RefusalsAreLimitedPerSecond)
{
    // Guards against a reflection attack: a flood of spoofed packets that makes the balancer flood the spoofed sources.
    DataPath::PipelineOptions options;
    options.maxRefusalsPerSecond = 5;
    Harness harness { options };
    harness.decide(Verdict::Refuse);
    auto countRefusalsForTenPackets = [&] {
        for (std::uint16_t i = 0; i < 10; ++i)
            harness.sendFromFabric(callerPacket(i, Syn));
        harness.run();
        return harness.receivedBy(harness.fabric).size();
    };
    BOOST_TEST(countRefusalsForTenPackets() == 5u);
    BOOST_TEST(countRefusalsForTenPackets() == 0u);
    harness.clock.advance(std::chrono::milliseconds { 400 });
    BOOST_TEST(countRefusalsForTenPackets() == 2u);
    harness.clock.advance(std::chrono::hours { 1 });
    BOOST_TEST(countRefusalsForTenPackets() == 5u);
    BOOST_TEST(harness.hasMetric("chicorytally_packets_dropped_total{reason=\"refusal_limit\"} 28"));
}

BOOST_AUTO_TEST_CASE(ResetIsNotAnswered)
{
    // Guards against an endless exchange of RST packets.
    Harness harness;
    harness.decide(Verdict::Reset);
    harness.sendFromFabric(callerPacket(4000, Packet::Rst));
    harness.run();
    BOOST_TEST(harness.receivedBy(harness.fabric).empty());
    BOOST_TEST(harness.hasMetric("chicorytally_packets_dropped_total{reason=\"unanswerable\"} 1"));
}

BOOST_AUTO_TEST_CASE(IcmpErrorIsDecidedByItsQuotedFlow)
{
    // Guards against a "packet too big" message that never reaches the upstream, which then retransmits forever.
    Harness harness;
    auto caller = endpoint("10.9.0.1:4000");
    auto quoted = Packet::buildPacket({ .flow = { Register, caller, Core::Protocol::Udp } });
    Packet::RefusalBuffer buffer;
    auto error = Packet::ParseError::None;
    auto size = Packet::writeIcmpUnreachable(*Packet::parse(quoted, error), buffer);
    harness.sendFromFabric({ buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(size) });
    harness.run();
    BOOST_REQUIRE(harness.decided.size() == 1u);
    BOOST_TEST((harness.decided[0].flow == Core::FlowKey { caller, Register, Core::Protocol::Udp }));
    BOOST_TEST((harness.decided[0].kind == PacketKind::Data));
    BOOST_TEST(harness.receivedBy(harness.upstream).size() == 1u);
}

BOOST_AUTO_TEST_CASE(InvalidPacketsAreDroppedAndCounted)
{
    // Guards against invalid packets that are forwarded, and against drops that are not counted.
    Harness harness;
    harness.sendFromFabric(callerPacket(1, Syn, endpoint("198.51.100.10:7001")));
    harness.sendFromFabric(callerPacket(1, 0, Packs, Core::Protocol::Udp));
    harness.sendFromFabric(Packet::buildPacket({ .flow = { Packs, Register, Core::Protocol::Tcp }, .tcpFlags = Syn }));
    harness.sendFromFabric(Packet::buildPacket({ .flow = { Register, Register, Core::Protocol::Tcp } }));
    harness.sendFromPeer(callerPacket(1, Syn), { Harness::PeerVm, 1 }, { 8 });
    harness.sendFromPeer(callerPacket(1, Syn), { Harness::PeerVm, 3 });
    harness.sendFromPeer(callerPacket(1, Syn), { Harness::PeerVm, 0 });
    harness.sendFromPeer(callerPacket(1, Syn), { Core::VmId { 1 }, 1 });
    harness.fabric.send({ {}, std::vector<std::uint8_t> { 0x20, 4, 0, 0 }, harness.dataEndpoint() });
    harness.fabric.send({ {}, std::vector<std::uint8_t>(DataPath::MaxDatagramSize + 1), harness.dataEndpoint() });
    BOOST_TEST(harness.run() == 10u);
    BOOST_TEST(harness.decided.empty());
    for (auto const* dropped : { "unknown_service\"} 2", "spoofed_source\"} 1", "loop\"} 1", "unauthentic_hop\"} 1",
             "bad_hop\"} 3", "bad_encapsulation\"} 1", "oversized\"} 1" })
        BOOST_TEST(
            harness.hasMetric(std::string { "chicorytally_packets_dropped_total{reason=\"" } + dropped), dropped);
}

BOOST_AUTO_TEST_CASE(ConfigurationAppliesFromNextBatch)
{
    // Guards against workers that keep using an old configuration.
    Harness harness;
    harness.pipeline->applyConfiguration({});
    harness.sendFromFabric(callerPacket(1, Syn));
    harness.run();
    BOOST_TEST(harness.decided.empty());
    harness.pipeline->applyConfiguration(exampleConfiguration());
    harness.sendFromFabric(callerPacket(1, Syn));
    harness.run();
    BOOST_TEST(harness.decided.size() == 1u);
}

static std::vector<PacketKind> decidedKindsOfBatch(Harness& harness, std::size_t size)
{
    harness.decided.clear();
    for (std::size_t i = 0; i < size; ++i)
        harness.sendFromFabric(callerPacket(static_cast<std::uint16_t>(i), i % 2 ? Ack : Syn));
    BOOST_TEST(harness.run() == size);
    std::vector<PacketKind> kinds;
    for (auto const& info : harness.decided)
        kinds.push_back(info.kind);
    harness.receivedBy(harness.upstream);
    return kinds;
}

BOOST_AUTO_TEST_CASE(FullBatchHandlesEstablishedFlowsFirst)
{
    // Guards against a burst of new flows that delays established flows.
    Harness harness;
    auto kinds = decidedKindsOfBatch(harness, DataPath::BatchSize);
    BOOST_TEST(kinds.size() == DataPath::BatchSize);
    BOOST_TEST(
        std::ranges::is_sorted(kinds, [](auto a, auto b) { return a == PacketKind::Data && b == PacketKind::Open; }));
    kinds = decidedKindsOfBatch(harness, DataPath::BatchSize - 1);
    BOOST_TEST((kinds[0] == PacketKind::Open));
}

BOOST_AUTO_TEST_CASE(OverloadShedsNewFlowsOnly)
{
    // Guards against a SYN flood that starves established flows, and against load shedding on a short burst.
    Harness harness;
    for (int i = 0; i < 3; ++i)
        BOOST_TEST(decidedKindsOfBatch(harness, DataPath::BatchSize).size() == DataPath::BatchSize);
    auto kinds = decidedKindsOfBatch(harness, DataPath::BatchSize);
    BOOST_TEST(std::ranges::count(kinds, PacketKind::Data) == 32);
    BOOST_TEST(std::ranges::count(kinds, PacketKind::Open) == 16);
    BOOST_TEST(harness.hasMetric("chicorytally_packets_dropped_total{reason=\"overloaded\"} 16"));
    BOOST_TEST(decidedKindsOfBatch(harness, 10).size() == 10u);
    harness.isRefusingOpens = true;
    kinds = decidedKindsOfBatch(harness, 10);
    BOOST_TEST(std::ranges::count(kinds, PacketKind::Data) == 5);
    BOOST_TEST(std::ranges::count(kinds, PacketKind::Open) == 0);
}

BOOST_AUTO_TEST_CASE(PausedWorkerDropsQueuedPackets)
{
    // Guards against forwarding stale packets after the process was paused.
    Harness harness;
    auto& worker = harness.pipeline->worker(0);
    std::array<std::pair<std::chrono::milliseconds, std::uint64_t>, 3> const steps { { { 900ms, 1 }, { 30s, 1 },
        { 50ms, 2 } } };
    for (auto [pause, forwarded] : steps) {
        harness.clock.advance(pause);
        harness.sendFromFabric(callerPacket(4000, Ack));
        worker.runOnceDroppingStale();
        BOOST_TEST(harness.pipeline->forwardedCount() == forwarded);
    }
}

BOOST_AUTO_TEST_CASE(StopProcessesReceivedPackets)
{
    // Guards against packet loss on a graceful stop.
    Harness harness;
    for (std::uint16_t i = 0; i < 200; ++i)
        harness.sendFromFabric(callerPacket(i, Syn));
    harness.pipeline->start();
    harness.pipeline->stop();
    BOOST_TEST(harness.pipeline->receivedCount() == 200u);
    BOOST_TEST(harness.pipeline->forwardedCount() == 200u);
}

BOOST_AUTO_TEST_CASE(BothBalancersOfAFlowRecordOneTrace)
{
    // Guards against a trace that ends at the first balancer.
    std::vector<nlohmann::json> spans;
    auto sink = [&](std::string const& line) {
        spans.push_back(nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"][0]);
    };
    for (auto const* vm : { "first", "second" }) {
        Telemetry::Tracer tracer { { .vmName = vm, .key = 3, .sampledShare = 1 }, sink };
        Harness harness { {}, &tracer };
        if (spans.empty()) {
            harness.decide(Verdict::ForwardToPeer);
            harness.decision.peer = Harness::PeerVm;
            harness.sendFromFabric(callerPacket(4000, Syn));
        } else {
            harness.sendFromPeer(callerPacket(4000, Syn), { Harness::PeerVm, 1 });
        }
        harness.run();
        BOOST_TEST(tracer.flush() == 1u);
        BOOST_TEST(harness.hasMetric("chicorytally_spans_recorded_total 1"));
    }
    BOOST_TEST(spans[0]["traceId"] == spans[1]["traceId"]);
    BOOST_TEST(spans[0]["spanId"] != spans[1]["spanId"]);
    BOOST_TEST(spans[0]["attributes"][0]["value"]["stringValue"] == "forward_to_peer");
    BOOST_TEST(spans[1]["attributes"][3]["value"]["intValue"] == "1");
}

BOOST_AUTO_TEST_SUITE_END()
