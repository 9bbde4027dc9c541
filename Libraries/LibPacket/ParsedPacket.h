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

/// Why a packet is not forwarded.
enum class ParseError : std::uint8_t {
    None,
    Truncated,
    UnknownVersion,
    LengthMismatch,
    Fragment,
    UnsupportedProtocol,
    BadHeader,
    /// TTL or hop limit of 0 or 1: a router in the balancer's place would discard the packet (RFC 1812, section 5.3.1).
    HopLimitExpired,
    /// Source and destination address are the same.
    Loop,
    /// The source or destination can't be the address of a host: unspecified, multicast, broadcast or reserved.
    Martian,
    /// An ICMP message that is no error, such as an echo request.
    IcmpInformational,
    /// An ICMP error that quotes no flow, or one that was not sent from the address that the error goes to.
    BadQuote,
};

constexpr std::size_t ParseErrorCount = static_cast<std::size_t>(ParseError::BadQuote) + 1;

std::string_view toString(ParseError);

/// What the data path needs to know of one IP packet.
struct ParsedPacket {
    /// For an ICMP error, the flow that it is about, as seen from the caller: the quoted packet was sent by the
    /// service, so its addresses are swapped.
    Core::FlowKey flow;
    bool isIcmpError { false };
    /// TcpFlag bits; zero for UDP and ICMP.
    std::uint8_t tcpFlags { 0 };
    std::uint32_t tcpSequenceNumber { 0 };
    std::uint32_t tcpAcknowledgementNumber { 0 };
    /// Payload of the transport protocol, inside the parsed bytes.
    Bytes payload;
    /// The whole IP packet, without bytes behind its stated length.
    Bytes ip;

    bool isOpening() const { return (tcpFlags & (Syn | Ack | Rst | Fin)) == Syn; }
    bool isClosing() const { return (tcpFlags & (Fin | Rst)) != 0; }
};

/// Whether a host may have the address: not unspecified, multicast, broadcast or reserved (RFC 6890).
bool isUnicast(Core::IpAddress const&);

/// Parses an IPv4 (RFC 791) or IPv6 (RFC 8200) packet that carries TCP, UDP or an ICMP error about a TCP or UDP flow.
/// On failure gives nothing and sets the error. Fragments are rejected, as only the first one carries ports.
std::optional<ParsedPacket> parse(Bytes packet, ParseError& error);

}
