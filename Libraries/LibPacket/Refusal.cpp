#include <LibPacket/Refusal.h>

#include <LibPacket/ByteOrder.h>
#include <LibPacket/Checksum.h>
#include <LibPacket/IpHeader.h>
#include <LibPacket/PacketBuilder.h>

#include <algorithm>

namespace Chicorytally::Packet {

// An ICMPv4 error is at most 576 bytes long (RFC 1812, section 4.3.2.3). An ICMPv6 error is at most as long as the
// minimum MTU of IPv6 (RFC 4443, section 2.4 c).
static constexpr std::size_t MaxIcmpv4Size = 576;
static constexpr std::size_t MaxIcmpv6Size = 1280;

static constexpr std::uint8_t Icmpv4DestinationUnreachableType = 3;
static constexpr std::uint8_t Icmpv4ProhibitedCode = 13;
static constexpr std::uint8_t Icmpv6DestinationUnreachableType = 1;
static constexpr std::uint8_t Icmpv6ProhibitedCode = 1;

static bool isReplyAllowed(ParsedPacket const& packet)
{
    if (packet.isIcmpError || (packet.tcpFlags & Rst))
        return false;
    return isUnicast(packet.flow.source.address) && isUnicast(packet.flow.destination.address);
}

static std::uint32_t segmentLength(ParsedPacket const& packet)
{
    auto length = static_cast<std::uint32_t>(packet.payload.size());
    length += packet.tcpFlags & Syn ? 1 : 0;
    length += packet.tcpFlags & Fin ? 1 : 0;
    return length;
}

std::size_t writeTcpReset(ParsedPacket const& packet, std::span<std::uint8_t> buffer)
{
    if (packet.flow.protocol != Core::Protocol::Tcp || !isReplyAllowed(packet))
        return 0;
    PacketFields fields { .flow = { packet.flow.destination, packet.flow.source, Core::Protocol::Tcp } };
    fields.tcpFlags = Rst;
    if (packet.tcpFlags & Ack) {
        fields.tcpSequenceNumber = packet.tcpAcknowledgementNumber;
    } else {
        fields.tcpFlags = Rst | Ack;
        fields.tcpAcknowledgementNumber = packet.tcpSequenceNumber + segmentLength(packet);
    }
    return writePacket(fields, buffer);
}

static std::uint16_t icmpChecksum(ParsedPacket const& packet, Bytes message, bool isV4)
{
    std::uint32_t sum = 0;
    if (!isV4)
        sum = sumPseudoHeader(
            packet.flow.destination.address, packet.flow.source.address, Icmpv6Protocol, message.size());
    return foldChecksum(sumWords(message, sum));
}

std::size_t writeIcmpUnreachable(ParsedPacket const& packet, std::span<std::uint8_t> buffer)
{
    if (!isReplyAllowed(packet))
        return 0;
    bool isV4 = packet.flow.source.address.isV4();
    auto headerSize = ipHeaderSize(isV4) + IcmpHeaderSize;
    auto maxSize = std::min(buffer.size(), isV4 ? MaxIcmpv4Size : MaxIcmpv6Size);
    if (maxSize <= headerSize)
        return 0;
    auto quoted = packet.ip.first(std::min(packet.ip.size(), maxSize - headerSize));
    auto reply = buffer.first(headerSize + quoted.size());
    auto message = reply.subspan(ipHeaderSize(isV4));
    std::ranges::fill(message.first(IcmpHeaderSize), 0);
    message[0] = isV4 ? Icmpv4DestinationUnreachableType : Icmpv6DestinationUnreachableType;
    message[1] = isV4 ? Icmpv4ProhibitedCode : Icmpv6ProhibitedCode;
    std::ranges::copy(quoted, message.subspan(IcmpHeaderSize).begin());
    writeU16(message, 2, icmpChecksum(packet, message, isV4));
    writeIpHeader(
        reply, packet.flow.destination.address, packet.flow.source.address, isV4 ? IcmpProtocol : Icmpv6Protocol);
    return reply.size();
}

std::size_t writeRefusal(ParsedPacket const& packet, std::span<std::uint8_t> buffer)
{
    if (packet.flow.protocol == Core::Protocol::Tcp)
        return writeTcpReset(packet, buffer);
    return writeIcmpUnreachable(packet, buffer);
}

}
