#include <LibPacket/ParsedPacket.h>

#include <LibPacket/ByteOrder.h>
#include <LibPacket/IpHeader.h>

namespace Chicorytally::Packet {

static constexpr std::uint16_t Ipv4FragmentMask = 0x3fff;
static constexpr std::uint16_t Ipv4FragmentOffsetMask = 0x1fff;
static constexpr std::uint8_t Ipv6FragmentHeader = 44;

// An ICMP error quotes at least this much of the transport header (RFC 792), which includes the ports.
static constexpr std::size_t MinQuotedTransportSize = 8;

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
    case ParseError::HopLimitExpired:
        return "hop_limit_expired";
    case ParseError::Loop:
        return "loop";
    case ParseError::Martian:
        return "martian";
    case ParseError::IcmpInformational:
        return "icmp_informational";
    case ParseError::BadQuote:
        return "bad_quote";
    }
    return "unknown";
}

bool isUnicast(Core::IpAddress const& address)
{
    if (address.isV4()) {
        auto first = address.v4Bytes()[0];
        // 0.0.0.0/8 is "this network", 224.0.0.0/4 is multicast, 240.0.0.0/4 is reserved and includes broadcast.
        return first != 0 && first < 224;
    }
    return address != Core::IpAddress {} && address.bytes()[0] != 0xff;
}

namespace {

    // The fields read from the IP header of a complete packet or of one quoted in an ICMP error.
    struct IpFields {
        Core::IpAddress source;
        Core::IpAddress destination;
        std::uint8_t protocol { 0 };
        std::uint8_t hopLimit { 0 };
        Bytes transport;
    };

    class Parser {
    public:
        explicit Parser(ParseError& error)
            : m_error(error)
        {
        }

        std::optional<ParsedPacket> parse(Bytes bytes);

    private:
        std::nullopt_t fail(ParseError reason)
        {
            m_error = reason;
            return std::nullopt;
        }

        std::optional<IpFields> parseIp(Bytes bytes, bool isQuoted);
        std::optional<IpFields> parseIpv4(Bytes bytes, bool isQuoted);
        std::optional<IpFields> parseIpv6(Bytes bytes, bool isQuoted);
        std::optional<ParsedPacket> parseTcp(Bytes segment, ParsedPacket);
        std::optional<ParsedPacket> parseUdp(Bytes datagram, ParsedPacket);
        std::optional<ParsedPacket> parseIcmp(IpFields const&, ParsedPacket);

        ParseError& m_error;
    };

    std::optional<IpFields> Parser::parseIpv4(Bytes bytes, bool isQuoted)
    {
        if (bytes.size() < Ipv4HeaderSize)
            return fail(ParseError::Truncated);
        std::size_t headerSize = (bytes[0] & 0x0f) * 4u;
        if (headerSize < Ipv4HeaderSize)
            return fail(ParseError::BadHeader);
        if (headerSize > bytes.size())
            return fail(ParseError::Truncated);
        std::size_t totalSize = readU16(bytes, 2);
        // The total length field of a quoted packet is that of the original packet, before truncation.
        if (totalSize < headerSize || (totalSize > bytes.size() && !isQuoted))
            return fail(ParseError::LengthMismatch);
        if (readU16(bytes, 6) & (isQuoted ? Ipv4FragmentOffsetMask : Ipv4FragmentMask))
            return fail(ParseError::Fragment);
        IpFields fields;
        fields.source = Core::IpAddress::fromV4(bytes.subspan<12, 4>());
        fields.destination = Core::IpAddress::fromV4(bytes.subspan<16, 4>());
        fields.protocol = bytes[9];
        fields.hopLimit = bytes[8];
        fields.transport = bytes.subspan(headerSize, std::min(totalSize, bytes.size()) - headerSize);
        return fields;
    }

    std::optional<IpFields> Parser::parseIpv6(Bytes bytes, bool isQuoted)
    {
        if (bytes.size() < Ipv6HeaderSize)
            return fail(ParseError::Truncated);
        std::size_t payloadSize = readU16(bytes, 4);
        auto available = bytes.size() - Ipv6HeaderSize;
        if (payloadSize > available && !isQuoted)
            return fail(ParseError::LengthMismatch);
        if (bytes[6] == Ipv6FragmentHeader)
            return fail(ParseError::Fragment);
        IpFields fields;
        fields.source = Core::IpAddress::fromV6(bytes.subspan<8, 16>());
        fields.destination = Core::IpAddress::fromV6(bytes.subspan<24, 16>());
        // An IPv4-mapped address on the wire would match IPv4 flows and services (RFC 4942, section 2.2).
        if (fields.source.isV4() || fields.destination.isV4())
            return fail(ParseError::Martian);
        fields.protocol = bytes[6];
        fields.hopLimit = bytes[7];
        fields.transport = bytes.subspan(Ipv6HeaderSize, std::min(payloadSize, available));
        return fields;
    }

    std::optional<IpFields> Parser::parseIp(Bytes bytes, bool isQuoted)
    {
        if (bytes.empty())
            return fail(ParseError::Truncated);
        switch (bytes[0] >> 4) {
        case 4:
            return parseIpv4(bytes, isQuoted);
        case 6:
            return parseIpv6(bytes, isQuoted);
        default:
            return fail(ParseError::UnknownVersion);
        }
    }

    std::optional<ParsedPacket> Parser::parseTcp(Bytes segment, ParsedPacket packet)
    {
        if (segment.size() < TcpHeaderSize)
            return fail(ParseError::Truncated);
        std::size_t headerSize = (segment[12] >> 4) * 4u;
        if (headerSize < TcpHeaderSize || headerSize > segment.size())
            return fail(ParseError::BadHeader);
        packet.flow.protocol = Core::Protocol::Tcp;
        packet.flow.source.port = readU16(segment, 0);
        packet.flow.destination.port = readU16(segment, 2);
        packet.tcpSequenceNumber = readU32(segment, 4);
        packet.tcpAcknowledgementNumber = readU32(segment, 8);
        packet.tcpFlags = segment[13];
        packet.payload = segment.subspan(headerSize);
        return packet;
    }

    std::optional<ParsedPacket> Parser::parseUdp(Bytes datagram, ParsedPacket packet)
    {
        if (datagram.size() < UdpHeaderSize)
            return fail(ParseError::Truncated);
        std::size_t length = readU16(datagram, 4);
        if (length < UdpHeaderSize || length > datagram.size())
            return fail(ParseError::LengthMismatch);
        packet.flow.protocol = Core::Protocol::Udp;
        packet.flow.source.port = readU16(datagram, 0);
        packet.flow.destination.port = readU16(datagram, 2);
        packet.payload = datagram.subspan(UdpHeaderSize, length - UdpHeaderSize);
        return packet;
    }

    bool isIcmpErrorType(IpFields const& fields, std::uint8_t type)
    {
        // ICMPv4: destination unreachable, time exceeded and parameter problem. ICMPv6: all types below 128.
        if (fields.protocol == IcmpProtocol)
            return type == 3 || type == 11 || type == 12;
        return type > 0 && type < 128;
    }

    std::optional<ParsedPacket> Parser::parseIcmp(IpFields const& fields, ParsedPacket packet)
    {
        if (fields.transport.size() < IcmpHeaderSize)
            return fail(ParseError::Truncated);
        if (!isIcmpErrorType(fields, fields.transport[0]))
            return fail(ParseError::IcmpInformational);
        auto quoted = parseIp(fields.transport.subspan(IcmpHeaderSize), true);
        if (!quoted)
            return std::nullopt;
        auto isTcp = quoted->protocol == static_cast<std::uint8_t>(Core::Protocol::Tcp);
        auto isUdp = quoted->protocol == static_cast<std::uint8_t>(Core::Protocol::Udp);
        auto isSentByDestination = quoted->source == fields.destination && isUnicast(quoted->destination);
        if (!(isTcp || isUdp) || !isSentByDestination || quoted->transport.size() < MinQuotedTransportSize)
            return fail(ParseError::BadQuote);
        packet.isIcmpError = true;
        packet.flow.protocol = isTcp ? Core::Protocol::Tcp : Core::Protocol::Udp;
        packet.flow.source = { quoted->destination, readU16(quoted->transport, 2) };
        packet.flow.destination = { quoted->source, readU16(quoted->transport, 0) };
        return packet;
    }

    std::optional<ParsedPacket> Parser::parse(Bytes bytes)
    {
        auto fields = parseIp(bytes, false);
        if (!fields)
            return std::nullopt;
        if (!isUnicast(fields->source) || !isUnicast(fields->destination))
            return fail(ParseError::Martian);
        if (fields->source == fields->destination)
            return fail(ParseError::Loop);
        if (fields->hopLimit <= 1)
            return fail(ParseError::HopLimitExpired);
        ParsedPacket packet;
        packet.ip
            = bytes.first(static_cast<std::size_t>(fields->transport.data() - bytes.data()) + fields->transport.size());
        packet.flow.source.address = fields->source;
        packet.flow.destination.address = fields->destination;
        auto icmpProtocol = fields->source.isV4() ? IcmpProtocol : Icmpv6Protocol;
        if (fields->protocol == icmpProtocol)
            return parseIcmp(*fields, packet);
        switch (static_cast<Core::Protocol>(fields->protocol)) {
        case Core::Protocol::Tcp:
            return parseTcp(fields->transport, packet);
        case Core::Protocol::Udp:
            return parseUdp(fields->transport, packet);
        }
        return fail(ParseError::UnsupportedProtocol);
    }

}

std::optional<ParsedPacket> parse(Bytes packet, ParseError& error) { return Parser { error }.parse(packet); }

}
