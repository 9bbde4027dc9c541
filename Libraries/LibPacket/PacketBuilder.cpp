#include <LibPacket/PacketBuilder.h>

#include <LibPacket/ByteOrder.h>
#include <LibPacket/Checksum.h>
#include <LibPacket/IpHeader.h>

#include <algorithm>

namespace Chicorytally::Packet {

static std::uint16_t transportChecksum(Core::FlowKey const& flow, Bytes segment)
{
    auto sum = sumPseudoHeader(
        flow.source.address, flow.destination.address, static_cast<std::uint8_t>(flow.protocol), segment.size());
    return foldChecksum(sumWords(segment, sum));
}

static void writeTcp(PacketFields const& fields, std::span<std::uint8_t> segment)
{
    writeU32(segment, 4, fields.tcpSequenceNumber);
    writeU32(segment, 8, fields.tcpAcknowledgementNumber);
    segment[12] = (TcpHeaderSize / 4) << 4;
    segment[13] = fields.tcpFlags;
    // A reset closes the connection, so it advertises no receive window.
    writeU16(segment, 14, fields.tcpFlags & Rst ? 0 : 0xffff);
    writeU16(segment, 16, transportChecksum(fields.flow, segment));
}

static void writeUdp(PacketFields const& fields, std::span<std::uint8_t> segment)
{
    writeU16(segment, 4, static_cast<std::uint16_t>(segment.size()));
    auto checksum = transportChecksum(fields.flow, segment);
    // A checksum field of zero means that no checksum was computed (RFC 768).
    writeU16(segment, 6, checksum ? checksum : 0xffff);
}

std::size_t packetSize(PacketFields const& fields)
{
    auto isTcp = fields.flow.protocol == Core::Protocol::Tcp;
    return ipHeaderSize(fields.flow.source.address.isV4()) + (isTcp ? TcpHeaderSize : UdpHeaderSize)
        + fields.payload.size();
}

std::size_t writePacket(PacketFields const& fields, std::span<std::uint8_t> buffer)
{
    auto size = packetSize(fields);
    if (size > buffer.size())
        return 0;
    auto packet = buffer.first(size);
    auto segment = packet.subspan(ipHeaderSize(fields.flow.source.address.isV4()));
    auto headerSize = segment.size() - fields.payload.size();
    std::ranges::fill(segment.first(headerSize), 0);
    std::ranges::copy(fields.payload, segment.subspan(headerSize).begin());
    writeU16(segment, 0, fields.flow.source.port);
    writeU16(segment, 2, fields.flow.destination.port);
    if (fields.flow.protocol == Core::Protocol::Tcp)
        writeTcp(fields, segment);
    else
        writeUdp(fields, segment);
    writeIpHeader(packet, fields.flow.source.address, fields.flow.destination.address,
        static_cast<std::uint8_t>(fields.flow.protocol));
    return size;
}

std::vector<std::uint8_t> buildPacket(PacketFields const& fields)
{
    std::vector<std::uint8_t> packet(packetSize(fields));
    writePacket(fields, packet);
    return packet;
}

}
