#pragma once

#include <LibPacket/ParsedPacket.h>

#include <cstdint>
#include <span>

namespace Chicorytally::Packet {

constexpr std::size_t Ipv4HeaderSize = 20;
constexpr std::size_t Ipv6HeaderSize = 40;
constexpr std::size_t TcpHeaderSize = 20;
constexpr std::size_t UdpHeaderSize = 8;
constexpr std::size_t IcmpHeaderSize = 8;

/// IANA protocol numbers that Core::Protocol doesn't have.
constexpr std::uint8_t IcmpProtocol = 1;
constexpr std::uint8_t Icmpv6Protocol = 58;

/// Size of an IPv4 or IPv6 header without options.
std::size_t ipHeaderSize(bool isV4);

/// Writes an IP header without options to the start of the packet. Its length field is computed from the size of the
/// span. Both addresses must be of the same family.
void writeIpHeader(std::span<std::uint8_t> packet, Core::IpAddress const& source, Core::IpAddress const& destination,
    std::uint8_t protocol);

/// Decrements the TTL or hop limit, as a tunnel ingress must (RFC 2003, section 3.1; RFC 2473, section 3.1), and
/// updates the IPv4 header checksum incrementally (RFC 1624). The packet must have been parsed successfully.
void decrementHopLimit(std::span<std::uint8_t> packet);

}
