#include <LibPacket/ParsedPacket.h>

#include <LibPacket/ByteOrder.h>

namespace Chicorytally::Packet {

static constexpr std::size_t Ipv4HeaderSize = 20;
static constexpr std::size_t Ipv6HeaderSize = 40;
static constexpr std::size_t TcpHeaderSize = 20;
static constexpr std::size_t UdpHeaderSize = 8;
static constexpr std::uint16_t Ipv4FragmentMask = 0x3fff;
static constexpr std::uint8_t Ipv6FragmentHeader = 44;

std::string_view toString(ParseError error)
{
    switch (error) {
    case ParseError::None:
        return "none";
    case ParseError::Truncated:
        return "truncated";
    case ParseError::UnknownVersion:
        return "unknown_version";
    case ParseError::LengthMismatch:
        return "length_mismatch";
    case ParseError::Fragment:
        return "fragment";
    case ParseError::UnsupportedProtocol:
        return "unsupported_protocol";
    case ParseError::BadHeader:
        return "bad_header";
    }
    return "unknown";
}

static std::optional<ParsedPacket> fail(ParseError& error, ParseError reason)
{
    error = reason;
    return std::nullopt;
}

static std::optional<ParsedPacket> parseTcp(Bytes segment, ParsedPacket packet, ParseError& error)
{
    if (segment.size() < TcpHeaderSize)
        return fail(error, ParseError::Truncated);
    std::size_t headerSize = (segment[12] >> 4) * 4u;
    if (headerSize < TcpHeaderSize || headerSize > segment.size())
        return fail(error, ParseError::BadHeader);
    packet.flow.protocol = Core::Protocol::Tcp;
    packet.flow.source.port = readU16(segment, 0);
    packet.flow.destination.port = readU16(segment, 2);
    packet.tcpSequence = readU32(segment, 4);
    packet.tcpAcknowledgement = readU32(segment, 8);
    packet.tcpFlags = segment[13];
    packet.payload = segment.subspan(headerSize);
    return packet;
}

static std::optional<ParsedPacket> parseUdp(Bytes datagram, ParsedPacket packet, ParseError& error)
{
    if (datagram.size() < UdpHeaderSize)
        return fail(error, ParseError::Truncated);
    std::size_t length = readU16(datagram, 4);
    if (length < UdpHeaderSize || length > datagram.size())
        return fail(error, ParseError::LengthMismatch);
    packet.flow.protocol = Core::Protocol::Udp;
    packet.flow.source.port = readU16(datagram, 0);
    packet.flow.destination.port = readU16(datagram, 2);
    packet.payload = datagram.subspan(UdpHeaderSize, length - UdpHeaderSize);
    return packet;
}

static std::optional<ParsedPacket> parseTransport(
    std::uint8_t protocol, Bytes segment, ParsedPacket packet, ParseError& error)
{
    switch (static_cast<Core::Protocol>(protocol)) {
    case Core::Protocol::Tcp:
        return parseTcp(segment, packet, error);
    case Core::Protocol::Udp:
        return parseUdp(segment, packet, error);
    }
    return fail(error, ParseError::UnsupportedProtocol);
}

static std::optional<ParsedPacket> parseIpv4(Bytes bytes, ParseError& error)
{
    if (bytes.size() < Ipv4HeaderSize)
        return fail(error, ParseError::Truncated);
    std::size_t headerSize = (bytes[0] & 0x0f) * 4u;
    if (headerSize < Ipv4HeaderSize)
        return fail(error, ParseError::BadHeader);
    std::size_t totalSize = readU16(bytes, 2);
    if (totalSize < headerSize || totalSize > bytes.size())
        return fail(error, ParseError::LengthMismatch);
    if (readU16(bytes, 6) & Ipv4FragmentMask)
        return fail(error, ParseError::Fragment);
    ParsedPacket packet;
    packet.flow.source.address = Core::IpAddress::fromV4(bytes.subspan<12, 4>());
    packet.flow.destination.address = Core::IpAddress::fromV4(bytes.subspan<16, 4>());
    return parseTransport(bytes[9], bytes.subspan(headerSize, totalSize - headerSize), packet, error);
}

static std::optional<ParsedPacket> parseIpv6(Bytes bytes, ParseError& error)
{
    if (bytes.size() < Ipv6HeaderSize)
        return fail(error, ParseError::Truncated);
    std::size_t payloadSize = readU16(bytes, 4);
    if (payloadSize > bytes.size() - Ipv6HeaderSize)
        return fail(error, ParseError::LengthMismatch);
    if (bytes[6] == Ipv6FragmentHeader)
        return fail(error, ParseError::Fragment);
    ParsedPacket packet;
    packet.flow.source.address = Core::IpAddress::fromV6(bytes.subspan<8, 16>());
    packet.flow.destination.address = Core::IpAddress::fromV6(bytes.subspan<24, 16>());
    return parseTransport(bytes[6], bytes.subspan(Ipv6HeaderSize, payloadSize), packet, error);
}

std::optional<ParsedPacket> parse(Bytes packet, ParseError& error)
{
    error = ParseError::None;
    if (packet.empty())
        return fail(error, ParseError::Truncated);
    switch (packet[0] >> 4) {
    case 4:
        return parseIpv4(packet, error);
    case 6:
        return parseIpv6(packet, error);
    default:
        return fail(error, ParseError::UnknownVersion);
    }
}

}
