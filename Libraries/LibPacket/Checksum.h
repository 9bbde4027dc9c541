#pragma once

#include <LibPacket/ParsedPacket.h>

#include <cstdint>

namespace Chicorytally::Packet {

/// Adds the bytes to the running sum of an Internet checksum (RFC 1071), as big-endian 16-bit words. When a checksum
/// spans several ranges, all but the last must have an even size.
std::uint32_t sumWords(Bytes, std::uint32_t sum);

/// Folds the running sum to 16 bits and returns its one's complement, which is the Internet checksum.
std::uint16_t foldChecksum(std::uint32_t sum);

/// Sum of the pseudo-header that TCP, UDP and ICMPv6 checksums cover (RFC 9293, section 3.1; RFC 8200, section 8.1).
std::uint32_t sumPseudoHeader(
    Core::IpAddress const& source, Core::IpAddress const& destination, std::uint8_t protocol, std::size_t size);

}
