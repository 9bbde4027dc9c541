#pragma once

#include <LibPacket/ParsedPacket.h>

#include <array>
#include <cstdint>
#include <optional>

namespace Chicorytally::Packet {

/// UDP port that IANA assigned to Generic UDP Encapsulation (service name "gue").
constexpr std::uint16_t GuePort = 6080;

/// Size of a GUE header without optional fields.
constexpr std::size_t GueHeaderSize = 4;

/// Size of a GUE header with the private data of a peer hop.
constexpr std::size_t GueHopHeaderSize = GueHeaderSize + 20;

/// Private data in the GUE header of a packet that one balancer forwards to another.
struct PeerHop {
    Core::VmId sender;
    std::uint8_t hopCount { 0 };
    /// Whether the sender has seen earlier packets of the flow.
    bool isKnownFlow { false };
    /// SipHash-2-4 of the other fields and the inner headers, keyed with the shared key of the fleet.
    std::uint64_t tag { 0 };
};

struct GuePacket {
    /// The inner IP packet.
    Bytes inner;
    std::optional<PeerHop> hop;
};

using HopKey = std::array<std::uint8_t, 16>;

/// Builds the header of GUE variant 0 (draft-ietf-intarea-gue) for an inner IP packet. Returns nullopt if the IP
/// version is unknown.
std::optional<std::array<std::uint8_t, GueHeaderSize>> buildGueHeader(Bytes inner);

/// Builds a GUE header with the private data of a peer hop. The tag of the hop is ignored and computed with the key.
std::optional<std::array<std::uint8_t, GueHopHeaderSize>> buildGueHopHeader(Bytes inner, PeerHop const&, HopKey const&);

/// Parses the payload of a UDP datagram. Returns nullopt for control messages, unknown variants, truncated headers, and
/// inner packets that are empty or whose IP version doesn't match the protocol field.
std::optional<GuePacket> parseGue(Bytes datagram);

/// Whether the packet has a peer hop whose tag was computed with the key.
bool isAuthentic(GuePacket const&, HopKey const&);

}
