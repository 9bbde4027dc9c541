#include "Harness.h"

namespace Chicorytally {

BOOST_AUTO_TEST_SUITE(TestRecentFlowCache)

static std::vector<std::uint8_t> udpPacket(std::uint16_t port)
{
    return callerPacket(port, 0, Register, Core::Protocol::Udp);
}

static bool isKnownOnNextPacket(Harness& harness, std::uint16_t port)
{
    harness.sendFromFabric(udpPacket(port));
    BOOST_REQUIRE_EQUAL(harness.run(), 1u);
    return harness.decided.back().isKnownToSender;
}

BOOST_AUTO_TEST_CASE(ForwardedUdpFlowIsKnownUntilIdleTimeout)
{
    // Guards against moving an established UDP flow because the owner of its bucket has no record of it.
    Harness harness;
    BOOST_TEST(!isKnownOnNextPacket(harness, 4000));
    BOOST_TEST(isKnownOnNextPacket(harness, 4000));
    BOOST_TEST(!isKnownOnNextPacket(harness, 4001));
    harness.clock.advance(DataPath::RecentFlowCache::EntryLifetime);
    BOOST_TEST(!isKnownOnNextPacket(harness, 4000));
}

BOOST_AUTO_TEST_CASE(PacketForwardedToPeerDoesNotMarkFlowKnown)
{
    // Guards against sending a new flow to a draining upstream after the owner of its bucket dropped its first packet.
    Harness harness;
    harness.decision.verdict = Placement::Verdict::ForwardToPeer;
    harness.decision.peer = Harness::PeerVm;
    BOOST_TEST(!isKnownOnNextPacket(harness, 4000));
    BOOST_TEST(!isKnownOnNextPacket(harness, 4000));
}

BOOST_AUTO_TEST_CASE(PeerHopsWithAnyAcceptedKeyAreAccepted)
{
    // Guards against packet loss between balancers during a rotation of the fleet's key.
    DataPath::PipelineOptions options;
    options.hopKeys.accepted = { { 8 } };
    Harness harness { options };
    Packet::PeerHop hop { .sender = Harness::PeerVm, .hopCount = 1 };
    for (std::uint8_t key : { 7, 8, 9 })
        harness.sendFromPeer(callerPacket(4000, Packet::Ack), hop, { key });
    harness.run();
    BOOST_TEST(harness.decided.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

}
