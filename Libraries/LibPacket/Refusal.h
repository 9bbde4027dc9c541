#pragma once

#include <LibPacket/ParsedPacket.h>

#include <array>
#include <cstdint>
#include <span>

namespace Chicorytally::Packet {

/// Room for the greatest refusal: an ICMPv6 error fits the least MTU of IPv6 (RFC 4443, section 2.4 c).
using RefusalBuffer = std::array<std::uint8_t, 1280>;

/// Writes the TCP reset that a closed port answers the packet with (RFC 9293, section 3.10.7.1) and gives its size. The
/// sequence number is the one that the caller's TCP accepts. 0 when the packet must not be answered: it is no TCP, is
/// itself a reset, or an address is no unicast address.
std::size_t writeTcpReset(ParsedPacket const&, std::span<std::uint8_t> buffer);

/// Writes ICMP destination unreachable, communication administratively prohibited (RFC 792 with the code of RFC 1812,
/// section 5.2.7.1; RFC 4443, section 3.1), which quotes the packet, and gives its size. 0 when the packet must not be
/// answered: it is an ICMP error or a TCP reset, or an address is no unicast address.
std::size_t writeIcmpUnreachable(ParsedPacket const&, std::span<std::uint8_t> buffer);

/// The refusal for the protocol of the packet: a reset for TCP, an ICMP error for UDP.
std::size_t writeRefusal(ParsedPacket const&, std::span<std::uint8_t> buffer);

}
