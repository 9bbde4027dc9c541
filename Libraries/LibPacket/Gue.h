#pragma once

#include <LibPacket/ParsedPacket.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Chicorytally::Packet {

/// UDP port of Generic UDP Encapsulation (IANA "gue").
constexpr std::uint16_t GuePort = 6080;

/// Size of a GUE header without optional fields.
constexpr std::size_t GueHeaderSize = 4;

/// Size of a GUE header with the private data of a peer hop.
constexpr std::size_t GueHopHeaderSize = GueHeaderSize + 20;

/// Private data of a packet that one balancer hands to another.
struct PeerHop {
    Core::VmId sender;
    std::uint8_t hopCount { 0 };
    /// The sender has seen earlier packets of the flow.
    bool isKnownFlow { false };
    /// SipHash-2-4 over the other fields and the inner headers, under the key of the fleet.
    std::uint64_t tag { 0 };
};

struct GuePacket {
    /// The inner IP packet.
    Bytes inner;
    std::optional<PeerHop> hop;
};

using HopKey = std::array<std::uint8_t, 16>;

/// Header of GUE variant 0 (draft-ietf-intarea-gue) for an inner IP packet; nothing when its version is unknown.
std::optional<std::array<std::uint8_t, GueHeaderSize>> buildGueHeader(Bytes inner);

/// The same with the private data of a peer hop, whose tag is computed with the key.
std::optional<std::array<std::uint8_t, GueHopHeaderSize>> buildGueHopHeader(Bytes inner, PeerHop const&, HopKey const&);

/// Parses the payload of a UDP datagram. Nothing for control messages, unknown variants and truncated headers.
std::optional<GuePacket> parseGue(Bytes datagram);

/// Whether the tag of the hop was made with the key.
bool isAuthentic(GuePacket const&, HopKey const&);

}
