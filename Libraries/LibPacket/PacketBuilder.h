#pragma once

#include <LibPacket/ParsedPacket.h>

#include <vector>

namespace Chicorytally::Packet {

/// Fields of a packet to build.
struct PacketFields {
    Core::FlowKey flow;
    std::uint8_t tcpFlags { 0 };
    std::uint32_t tcpSequence { 0 };
    std::uint32_t tcpAcknowledgement { 0 };
    Bytes payload;
};

/// Builds an IP packet with valid checksums. Source and destination must be of one address family.
std::vector<std::uint8_t> buildPacket(PacketFields const&);

}
