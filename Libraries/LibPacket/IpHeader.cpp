#include <LibPacket/IpHeader.h>

#include <LibPacket/ByteOrder.h>
#include <LibPacket/Checksum.h>

#include <algorithm>

namespace Chicorytally::Packet {

static constexpr std::uint8_t InitialHopLimit = 64;
static constexpr std::size_t Ipv4TtlOffset = 8;
static constexpr std::size_t Ipv4ChecksumOffset = 10;
static constexpr std::size_t Ipv6HopLimitOffset = 7;

std::size_t ipHeaderSize(bool isV4) { return isV4 ? Ipv4HeaderSize : Ipv6HeaderSize; }

static void writeIpv4Header(std::span<std::uint8_t> packet, Core::IpAddress const& source,
    Core::IpAddress const& destination, std::uint8_t protocol)
{
    std::ranges::fill(packet.first(Ipv4HeaderSize), 0);
    packet[0] = 0x45;
    writeU16(packet, 2, static_cast<std::uint16_t>(packet.size()));
    packet[Ipv4TtlOffset] = InitialHopLimit;
    packet[9] = protocol;
    std::ranges::copy(source.v4Bytes(), packet.begin() + 12);
    std::ranges::copy(destination.v4Bytes(), packet.begin() + 16);
    writeU16(packet, Ipv4ChecksumOffset, foldChecksum(sumWords(packet.first(Ipv4HeaderSize), 0)));
}

static void writeIpv6Header(std::span<std::uint8_t> packet, Core::IpAddress const& source,
    Core::IpAddress const& destination, std::uint8_t protocol)
{
    std::ranges::fill(packet.first(Ipv6HeaderSize), 0);
    packet[0] = 0x60;
    writeU16(packet, 4, static_cast<std::uint16_t>(packet.size() - Ipv6HeaderSize));
    packet[6] = protocol;
    packet[Ipv6HopLimitOffset] = InitialHopLimit;
    std::ranges::copy(source.bytes(), packet.begin() + 8);
    std::ranges::copy(destination.bytes(), packet.begin() + 24);
}

void writeIpHeader(std::span<std::uint8_t> packet, Core::IpAddress const& source, Core::IpAddress const& destination,
    std::uint8_t protocol)
{
    if (source.isV4())
        writeIpv4Header(packet, source, destination, protocol);
    else
        writeIpv6Header(packet, source, destination, protocol);
}

void decrementHopLimit(std::span<std::uint8_t> packet)
{
    if (packet[0] >> 4 == 6) {
        --packet[Ipv6HopLimitOffset];
        return;
    }
    auto oldWord = readU16(packet, Ipv4TtlOffset);
    --packet[Ipv4TtlOffset];
    auto newWord = readU16(packet, Ipv4TtlOffset);
    std::uint32_t sum = static_cast<std::uint16_t>(~readU16(packet, Ipv4ChecksumOffset));
    sum += static_cast<std::uint16_t>(~oldWord);
    sum += newWord;
    writeU16(packet, Ipv4ChecksumOffset, foldChecksum(sum));
}

}
