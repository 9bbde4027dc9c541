#include <LibPacket/Gue.h>

#include <LibPacket/ByteOrder.h>

#include <algorithm>
#include <sodium.h>

namespace Chicorytally::Packet {

static constexpr std::uint8_t IpProtocolIpv4 = 4;
static constexpr std::uint8_t IpProtocolIpv6 = 41;
static constexpr std::uint8_t VariantAndControlMask = 0xe0;
static constexpr std::uint8_t HeaderLengthMask = 0x1f;
static constexpr std::size_t WordSize = 4;
static constexpr std::uint8_t KnownFlowFlag = 0x01;

// The tag covers the sender, the hop count, the known-flow flag and the start of the inner packet, up to the size of an
// IPv6 and a TCP header without options.
static constexpr std::size_t MaxAuthenticatedInnerSize = 60;

static_assert(std::tuple_size_v<HopKey> == crypto_shorthash_KEYBYTES);

static std::uint8_t innerProtocolNumber(Bytes inner)
{
    if (inner.empty())
        return 0;
    switch (inner[0] >> 4) {
    case 4:
        return IpProtocolIpv4;
    case 6:
        return IpProtocolIpv6;
    default:
        return 0;
    }
}

static std::uint64_t computeHopTag(Bytes inner, PeerHop const& hop, HopKey const& key)
{
    std::array<std::uint8_t, 12 + MaxAuthenticatedInnerSize> message {};
    writeU32(message, 0, static_cast<std::uint32_t>(hop.sender.value() >> 32));
    writeU32(message, 4, static_cast<std::uint32_t>(hop.sender.value()));
    message[8] = hop.hopCount;
    message[9] = hop.isKnownFlow ? KnownFlowFlag : 0;
    auto authenticatedSize = std::min(inner.size(), MaxAuthenticatedInnerSize);
    std::copy_n(inner.begin(), authenticatedSize, message.begin() + 12);
    std::array<std::uint8_t, crypto_shorthash_BYTES> tag;
    crypto_shorthash(tag.data(), message.data(), 12 + authenticatedSize, key.data());
    return static_cast<std::uint64_t>(readU32(tag, 0)) << 32 | readU32(tag, 4);
}

std::optional<std::array<std::uint8_t, GueHeaderSize>> buildGueHeader(Bytes inner)
{
    auto protocol = innerProtocolNumber(inner);
    if (!protocol)
        return std::nullopt;
    return std::array<std::uint8_t, GueHeaderSize> { 0, protocol, 0, 0 };
}

std::optional<std::array<std::uint8_t, GueHopHeaderSize>> buildGueHopHeader(
    Bytes inner, PeerHop const& hop, HopKey const& key)
{
    auto protocol = innerProtocolNumber(inner);
    if (!protocol)
        return std::nullopt;
    std::array<std::uint8_t, GueHopHeaderSize> header {};
    header[0] = (GueHopHeaderSize - GueHeaderSize) / WordSize;
    header[1] = protocol;
    auto tag = computeHopTag(inner, hop, key);
    writeU32(header, 4, static_cast<std::uint32_t>(hop.sender.value() >> 32));
    writeU32(header, 8, static_cast<std::uint32_t>(hop.sender.value()));
    header[12] = hop.hopCount;
    header[13] = hop.isKnownFlow ? KnownFlowFlag : 0;
    writeU32(header, 16, static_cast<std::uint32_t>(tag >> 32));
    writeU32(header, 20, static_cast<std::uint32_t>(tag));
    return header;
}

std::optional<GuePacket> parseGue(Bytes datagram)
{
    if (datagram.size() < GueHeaderSize || datagram[0] & VariantAndControlMask)
        return std::nullopt;
    std::size_t headerSize = GueHeaderSize + (datagram[0] & HeaderLengthMask) * WordSize;
    if (headerSize > datagram.size())
        return std::nullopt;
    GuePacket packet;
    packet.inner = datagram.subspan(headerSize);
    if (datagram[1] != innerProtocolNumber(packet.inner) || packet.inner.empty())
        return std::nullopt;
    if (headerSize == GueHopHeaderSize) {
        PeerHop hop;
        hop.sender = Core::VmId { static_cast<std::uint64_t>(readU32(datagram, 4)) << 32 | readU32(datagram, 8) };
        hop.hopCount = datagram[12];
        hop.isKnownFlow = (datagram[13] & KnownFlowFlag) != 0;
        hop.tag = static_cast<std::uint64_t>(readU32(datagram, 16)) << 32 | readU32(datagram, 20);
        packet.hop = hop;
    }
    return packet;
}

bool isAuthentic(GuePacket const& packet, HopKey const& key)
{
    if (!packet.hop)
        return false;
    return packet.hop->tag == computeHopTag(packet.inner, *packet.hop, key);
}

}
