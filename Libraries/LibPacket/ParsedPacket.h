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
    Push = 0x08,
    Acknowledgement = 0x10,
};

enum class ParseError : std::uint8_t {
    None,
    Truncated,
    UnknownVersion,
    LengthMismatch,
    Fragment,
    UnsupportedProtocol,
    BadHeader,
};

std::string_view toString(ParseError);

/// What the data path needs to know of one IP packet.
struct ParsedPacket {
    Core::FlowKey flow;
    /// TcpFlag bits; zero for UDP.
    std::uint8_t tcpFlags { 0 };
    std::uint32_t tcpSequence { 0 };
    std::uint32_t tcpAcknowledgement { 0 };
    /// Payload of the transport protocol, inside the parsed bytes.
    Bytes payload;

    bool isOpening() const { return (tcpFlags & (Syn | Acknowledgement | Rst | Fin)) == Syn; }
    bool isClosing() const { return (tcpFlags & (Fin | Rst)) != 0; }
};

/// Parses an IPv4 (RFC 791) or IPv6 (RFC 8200) packet that carries TCP or UDP. On failure gives nothing and sets the
/// error. Fragments are rejected, as only the first one carries ports.
std::optional<ParsedPacket> parse(Bytes packet, ParseError& error);

}
