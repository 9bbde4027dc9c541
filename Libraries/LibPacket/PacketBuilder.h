#pragma once

#include <LibPacket/ParsedPacket.h>

#include <vector>

namespace Chicorytally::Packet {

/// Header fields and payload of a TCP or UDP packet to build.
struct PacketFields {
    Core::FlowKey flow;
    std::uint8_t tcpFlags { 0 };
    std::uint32_t tcpSequenceNumber { 0 };
    std::uint32_t tcpAcknowledgementNumber { 0 };
    Bytes payload;
};

/// Size of the IP packet that is built from the fields.
std::size_t packetSize(PacketFields const&);

/// Writes an IP packet with valid checksums and returns its size, or 0 if the buffer is too small. Doesn't allocate
/// memory. Source and destination must be of the same address family.
std::size_t writePacket(PacketFields const&, std::span<std::uint8_t> buffer);

/// Builds an IP packet with valid checksums. Source and destination must be of the same address family.
std::vector<std::uint8_t> buildPacket(PacketFields const&);

}
