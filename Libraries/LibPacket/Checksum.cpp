#include <LibPacket/Checksum.h>

#include <LibPacket/ByteOrder.h>

namespace Chicorytally::Packet {

std::uint32_t sumWords(Bytes bytes, std::uint32_t sum)
{
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2)
        sum += readU16(bytes, i);
    if (bytes.size() % 2)
        sum += static_cast<std::uint32_t>(bytes.back() << 8);
    return sum;
}

std::uint16_t foldChecksum(std::uint32_t sum)
{
    while (sum >> 16)
        sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum);
}

static Bytes addressBytes(Core::IpAddress const& address)
{
    if (address.isV4())
        return address.v4Bytes();
    return address.bytes();
}

std::uint32_t sumPseudoHeader(
    Core::IpAddress const& source, Core::IpAddress const& destination, std::uint8_t protocol, std::size_t size)
{
    auto sum = sumWords(addressBytes(source), 0);
    sum = sumWords(addressBytes(destination), sum);
    return sum + protocol + static_cast<std::uint32_t>(size);
}

}
