#pragma once

#include <LibCore/Core.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace Chicorytally::Packet {

using Bytes = std::span<std::uint8_t const>;

/// Flags of a TCP header (RFC 9293, section 3.1).
enum TcpFlag : std::uint8_t {
    Fin = 0x01,
    Syn = 0x02,
    Rst = 0x04,
    Psh = 0x08,
    Ack = 0x10,
};

/// Why a packet was rejected by the parser.
enum class ParseError : std::uint8_t {
    None,
    Truncated,
    UnknownVersion,
    LengthMismatch,
    Fragment,
    UnsupportedProtocol,
    BadHeader,
    /// TTL or hop limit of 0 or 1. A router discards such a packet as well (RFC 1812, section 5.3.1).
    HopLimitExpired,
    /// The source and destination address are equal.
    Loop,
    /// The source or destination is not a valid host address: it is unspecified, multicast, broadcast, reserved, or an
    /// IPv4-mapped IPv6 address.
    Martian,
    /// An ICMP message that is not an error, such as an echo request.
    IcmpInformational,
    /// An ICMP error whose quoted packet is not TCP or UDP, is too short for the ports, goes to a non-unicast address,
    /// or was not sent by the destination of the error.
    BadQuote,
};

constexpr std::size_t ParseErrorCount = static_cast<std::size_t>(ParseError::BadQuote) + 1;

std::string_view toString(ParseError);

/// The fields of an IP packet that the data path uses.
struct ParsedPacket {
    /// For an ICMP error, the flow of the quoted packet in the direction from the caller to the service. The quoted
    /// packet was sent by the service, so its source and destination are swapped.
    Core::FlowKey flow;
    bool isIcmpError { false };
    /// A bit mask of TcpFlag; zero for UDP and ICMP.
    std::uint8_t tcpFlags { 0 };
    std::uint32_t tcpSequenceNumber { 0 };
    std::uint32_t tcpAcknowledgementNumber { 0 };
    /// Payload of the transport protocol, as a view into the parsed bytes.
    Bytes payload;
    /// The whole IP packet, without padding after the length given in its header.
    Bytes ip;

    bool isOpening() const { return (tcpFlags & (Syn | Ack | Rst | Fin)) == Syn; }
    bool isClosing() const { return (tcpFlags & (Fin | Rst)) != 0; }
};

/// Whether the address can be that of a host, that is, not unspecified, multicast, broadcast or reserved (RFC 6890).
bool isUnicast(Core::IpAddress const&);

/// Parses an IPv4 (RFC 791) or IPv6 (RFC 8200) packet that carries TCP, UDP or an ICMP error about a TCP or UDP flow.
/// On failure, returns nullopt and sets the error. Fragments are rejected, as only the first one has the ports.
std::optional<ParsedPacket> parse(Bytes packet, ParseError& error);

}
