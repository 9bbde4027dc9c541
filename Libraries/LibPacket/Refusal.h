#pragma once

#include <LibPacket/ParsedPacket.h>

#include <array>
#include <cstdint>
#include <span>

namespace Chicorytally::Packet {

/// Holds a refusal of the maximum size, which is an ICMPv6 error of the minimum MTU of IPv6 (RFC 4443, section 2.4 c).
using RefusalBuffer = std::array<std::uint8_t, 1280>;

/// Writes the TCP reset that a closed port sends in reply to the packet (RFC 9293, section 3.10.7.1), with a sequence
/// number that the caller's TCP accepts. Returns its size, or 0 if no reply may be sent: the packet is not TCP, is a
/// reset or an ICMP error, or one of its addresses is not unicast.
std::size_t writeTcpReset(ParsedPacket const&, std::span<std::uint8_t> buffer);

/// Writes an ICMP destination unreachable error with the code "communication administratively prohibited" (RFC 792 with
/// the code of RFC 1812, section 5.2.7.1; RFC 4443, section 3.1), which quotes the packet. Returns its size, or 0 if no
/// reply may be sent: the packet is an ICMP error or a TCP reset, or one of its addresses is not unicast.
std::size_t writeIcmpUnreachable(ParsedPacket const&, std::span<std::uint8_t> buffer);

/// Writes a TCP reset or, for UDP, an ICMP destination unreachable error. Returns its size, or 0 if no reply may be
/// sent.
std::size_t writeRefusal(ParsedPacket const&, std::span<std::uint8_t> buffer);

}
