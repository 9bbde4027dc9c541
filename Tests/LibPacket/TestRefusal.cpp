#include "Generators.h"

#include <LibPacket/ByteOrder.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace Chicorytally::Packet;

BOOST_AUTO_TEST_SUITE(TestRefusal)

static ParsedPacket parsePacket(std::vector<std::uint8_t> const& bytes)
{
    auto error = ParseError::None;
    auto packet = parse(bytes, error);
    RC_ASSERT(packet.has_value());
    return *packet;
}

static std::vector<std::uint8_t> buildRefusal(ParsedPacket const& packet)
{
    RefusalBuffer buffer;
    auto size = writeRefusal(packet, buffer);
    return { buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(size) };
}

// libtins can't compute the expected packet because it sets the length field of RFC 4884 for quotes over 128 bytes.
static bool isIcmpChecksumValid(std::vector<std::uint8_t> const& packet)
{
    auto isV4 = packet[0] >> 4 == 4;
    auto headerSize = isV4 ? 20u : 40u;
    // The pseudo-header of ICMPv6 consists of both addresses, the length and the protocol.
    std::uint64_t sum = isV4 ? 0 : packet.size() - headerSize + 58;
    for (std::size_t i = isV4 ? headerSize : 8; i < packet.size(); ++i)
        sum += i % 2 == 0 ? packet[i] * 256u : packet[i];
    return sum % 0xffff == 0;
}

BOOST_AUTO_TEST_CASE(TcpResetMatchesThatOfAClosedPort)
{
    // Guards against a reset that the caller's TCP ignores, so that it retransmits until it times out.
    checkProperty(1, [] {
        auto fields = *arbitraryPacketFields();
        fields.flow.protocol = Core::Protocol::Tcp;
        fields.tcpFlags &= static_cast<std::uint8_t>(~Rst);
        auto packet = buildPacket(fields);
        auto refusal = buildRefusal(parsePacket(packet));
        RC_ASSERT(refusal == reserializedByLibtins(refusal));
        auto reset = parsePacket(refusal);
        RC_ASSERT((reset.flow == Core::FlowKey { fields.flow.destination, fields.flow.source, Core::Protocol::Tcp }));
        if (fields.tcpFlags & Ack) {
            RC_ASSERT(reset.tcpFlags == Rst);
            RC_ASSERT(reset.tcpSequenceNumber == fields.tcpAcknowledgementNumber);
            return;
        }
        auto flagLength = (fields.tcpFlags & Syn ? 1u : 0u) + (fields.tcpFlags & Fin ? 1u : 0u);
        auto length = static_cast<std::uint32_t>(fields.payload.size()) + flagLength;
        RC_ASSERT(reset.tcpFlags == (Rst | Ack));
        RC_ASSERT(reset.tcpSequenceNumber == 0u);
        RC_ASSERT(reset.tcpAcknowledgementNumber == fields.tcpSequenceNumber + length);
    });
}

BOOST_AUTO_TEST_CASE(IcmpUnreachableQuotesThePacket)
{
    // Guards against an ICMP error that the caller can't match to its flow, or that exceeds the maximum size.
    checkProperty(2, [] {
        auto fields = *arbitraryPacketFields();
        fields.flow.protocol = Core::Protocol::Udp;
        std::vector<std::uint8_t> payload(*rc::gen::inRange<std::size_t>(0, 3000), 7);
        fields.payload = payload;
        auto packet = buildPacket(fields);
        auto isV4 = fields.flow.source.address.isV4();
        auto refusal = buildRefusal(parsePacket(packet));
        auto headersSize = isV4 ? 28u : 48u;
        RC_ASSERT(refusal.size() == std::min<std::size_t>(headersSize + packet.size(), isV4 ? 576 : 1280));
        RC_ASSERT(isIcmpChecksumValid(refusal));
        RC_ASSERT(refusal[headersSize - 8] == (isV4 ? 3 : 1));
        RC_ASSERT(refusal[headersSize - 7] == (isV4 ? 13 : 1));
        RC_ASSERT(std::equal(refusal.begin() + headersSize, refusal.end(), packet.begin()));
        // The quoted packet is the caller's own, so the parsed flow runs in the opposite direction.
        auto error = parsePacket(refusal);
        RC_ASSERT(error.isIcmpError);
        RC_ASSERT((error.flow == Core::FlowKey { fields.flow.destination, fields.flow.source, Core::Protocol::Udp }));
    });
}

BOOST_AUTO_TEST_CASE(ResetsAndIcmpErrorsGetNoReply)
{
    // Guards against two hosts that reply to each other's errors forever.
    checkProperty(3, [] {
        auto fields = *arbitraryPacketFields();
        fields.flow.protocol = Core::Protocol::Tcp;
        fields.tcpFlags |= Rst;
        auto reset = buildPacket(fields);
        RefusalBuffer buffer;
        RC_ASSERT(buildRefusal(parsePacket(reset)).empty());
        RC_ASSERT(writeIcmpUnreachable(parsePacket(reset), buffer) == 0u);
        fields.tcpFlags = Syn;
        auto quoted = buildPacket(fields);
        auto error = buildIcmpError(fields.flow.destination.address, fields.flow.source.address, quoted);
        RC_ASSERT(buildRefusal(parsePacket(error)).empty());
        RC_ASSERT(writeIcmpUnreachable(parsePacket(error), buffer) == 0u);
    });
}

BOOST_AUTO_TEST_CASE(OnlyUnicastAddressesGetAReply)
{
    // Guards against a reply that is delivered to many hosts.
    Core::FlowKey flow { *Core::Endpoint::parse("224.0.0.5:9"), *Core::Endpoint::parse("198.51.100.10:7000"),
        Core::Protocol::Udp };
    RefusalBuffer buffer;
    ParsedPacket packet { .flow = flow };
    BOOST_TEST(writeRefusal(packet, buffer) == 0u);
    packet.flow.protocol = Core::Protocol::Tcp;
    BOOST_TEST(writeRefusal(packet, buffer) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
