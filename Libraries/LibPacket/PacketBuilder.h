#pragma once

#include <LibPacket/ParsedPacket.h>

#include <vector>

namespace Chicorytally::Packet {

/// Fields of a packet to build.
struct PacketFields {
    Core::FlowKey flow;
    std::uint8_t tcpFlags { 0 };
    std::uint32_t tcpSequenceNumber { 0 };
    std::uint32_t tcpAcknowledgementNumber { 0 };
    Bytes payload;
};

/// Size of the IP packet that the fields make.
std::size_t packetSize(PacketFields const&);

/// Writes an IP packet with valid checksums and gives its size; 0 when the buffer is too small. Allocates nothing.
/// Source and destination must be of one address family.
std::size_t writePacket(PacketFields const&, std::span<std::uint8_t> buffer);

/// Builds an IP packet with valid checksums. Source and destination must be of one address family.
std::vector<std::uint8_t> buildPacket(PacketFields const&);

}
