#include <LibPacket/PacketBuilder.h>

#include <LibPacket/ByteOrder.h>

#include <algorithm>

namespace Chicorytally::Packet {

static constexpr std::size_t Ipv4HeaderSize = 20;
static constexpr std::size_t Ipv6HeaderSize = 40;
static constexpr std::size_t TcpHeaderSize = 20;
static constexpr std::size_t UdpHeaderSize = 8;
static constexpr std::uint8_t HopLimit = 64;

static std::uint32_t sumWords(Bytes bytes, std::uint32_t sum)
{
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
        sum += readU16(bytes, i);
    if (bytes.size() % 2)
        sum += static_cast<std::uint32_t>(bytes.back() << 8);
    return sum;
}

// The Internet checksum of RFC 1071.
static std::uint16_t foldChecksum(std::uint32_t sum)
{
    while (sum >> 16)
        sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum);
}

static Bytes addressBytes(Core::IpAddress const& address)
{
    if (address.isV4())
        return address.v4Bytes();
    return address.bytes();
}

static std::uint16_t transportChecksum(PacketFields const& fields, Bytes segment)
{
    auto sum = sumWords(addressBytes(fields.flow.source.address), 0);
    sum = sumWords(addressBytes(fields.flow.destination.address), sum);
    sum += static_cast<std::uint32_t>(fields.flow.protocol);
    sum += static_cast<std::uint32_t>(segment.size());
    return foldChecksum(sumWords(segment, sum));
}

static void writeTcp(PacketFields const& fields, std::span<std::uint8_t> segment)
{
    writeU32(segment, 4, fields.tcpSequence);
    writeU32(segment, 8, fields.tcpAcknowledgement);
    segment[12] = (TcpHeaderSize / 4) << 4;
    segment[13] = fields.tcpFlags;
    writeU16(segment, 14, 0xffff);
    writeU16(segment, 16, transportChecksum(fields, segment));
}

static void writeUdp(PacketFields const& fields, std::span<std::uint8_t> segment)
{
    writeU16(segment, 4, static_cast<std::uint16_t>(segment.size()));
    auto checksum = transportChecksum(fields, segment);
    // Zero would mean "no checksum" (RFC 768).
    writeU16(segment, 6, checksum ? checksum : 0xffff);
}

static void writeIpv4Header(PacketFields const& fields, std::span<std::uint8_t> packet)
{
    packet[0] = 0x45;
    writeU16(packet, 2, static_cast<std::uint16_t>(packet.size()));
    packet[8] = HopLimit;
    packet[9] = static_cast<std::uint8_t>(fields.flow.protocol);
    std::ranges::copy(fields.flow.source.address.v4Bytes(), packet.begin() + 12);
    std::ranges::copy(fields.flow.destination.address.v4Bytes(), packet.begin() + 16);
    writeU16(packet, 10, foldChecksum(sumWords(packet.first(Ipv4HeaderSize), 0)));
}

static void writeIpv6Header(PacketFields const& fields, std::span<std::uint8_t> packet)
{
    packet[0] = 0x60;
    writeU16(packet, 4, static_cast<std::uint16_t>(packet.size() - Ipv6HeaderSize));
    packet[6] = static_cast<std::uint8_t>(fields.flow.protocol);
    packet[7] = HopLimit;
    std::ranges::copy(fields.flow.source.address.bytes(), packet.begin() + 8);
    std::ranges::copy(fields.flow.destination.address.bytes(), packet.begin() + 24);
}

std::vector<std::uint8_t> buildPacket(PacketFields const& fields)
{
    bool isV4 = fields.flow.source.address.isV4();
    bool isTcp = fields.flow.protocol == Core::Protocol::Tcp;
    auto ipHeaderSize = isV4 ? Ipv4HeaderSize : Ipv6HeaderSize;
    auto transportHeaderSize = isTcp ? TcpHeaderSize : UdpHeaderSize;

    std::vector<std::uint8_t> packet(ipHeaderSize + transportHeaderSize + fields.payload.size());
    auto segment = std::span { packet }.subspan(ipHeaderSize);
    std::ranges::copy(fields.payload, segment.begin() + static_cast<std::ptrdiff_t>(transportHeaderSize));
    writeU16(segment, 0, fields.flow.source.port);
    writeU16(segment, 2, fields.flow.destination.port);
    if (isTcp)
        writeTcp(fields, segment);
    else
        writeUdp(fields, segment);

    if (isV4)
        writeIpv4Header(fields, packet);
    else
        writeIpv6Header(fields, packet);
    return packet;
}

}
