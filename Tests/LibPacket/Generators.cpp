#include "Generators.h"

#include <deque>
#include <tins/tins.h>

namespace Chicorytally {

Core::IpAddress makeUnicastAddress(bool isV4, std::uint32_t number)
{
    auto byte = [number](int shift) { return static_cast<std::uint8_t>(number >> shift); };
    if (isV4)
        return Core::IpAddress::fromV4(std::array<std::uint8_t, 4> { 10, byte(16), byte(8), byte(0) });
    std::array<std::uint8_t, 16> bytes { 0x20, 0x01, 0x0d, 0xb8 };
    bytes[13] = byte(16);
    bytes[14] = byte(8);
    bytes[15] = byte(0);
    return Core::IpAddress::fromV6(bytes);
}

// PacketFields::payload is a view, so the bytes must outlive the generator and all shrinking steps.
static Packet::Bytes storePayload(std::vector<std::uint8_t> bytes)
{
    static std::deque<std::vector<std::uint8_t>> s_payloads;
    return s_payloads.emplace_back(std::move(bytes));
}

rc::Gen<Packet::PacketFields> arbitraryPacketFields()
{
    return rc::gen::exec([] {
        auto isV4 = *rc::gen::arbitrary<bool>();
        auto isTcp = *rc::gen::arbitrary<bool>();
        Packet::PacketFields fields;
        fields.flow.source
            = { makeUnicastAddress(isV4, *rc::gen::arbitrary<std::uint16_t>()), *rc::gen::arbitrary<std::uint16_t>() };
        fields.flow.destination = { makeUnicastAddress(isV4, 0x010000u | *rc::gen::arbitrary<std::uint16_t>()),
            *rc::gen::arbitrary<std::uint16_t>() };
        fields.flow.protocol = isTcp ? Core::Protocol::Tcp : Core::Protocol::Udp;
        fields.payload = storePayload(*rc::gen::arbitrary<std::vector<std::uint8_t>>());
        if (isTcp) {
            fields.tcpFlags = *rc::gen::inRange<std::uint8_t>(0, 0x20);
            fields.tcpSequenceNumber = *rc::gen::arbitrary<std::uint32_t>();
            fields.tcpAcknowledgementNumber = *rc::gen::arbitrary<std::uint32_t>();
        }
        return fields;
    });
}

std::vector<std::uint8_t> reserializedByLibtins(std::vector<std::uint8_t> const& packet)
{
    auto size = static_cast<std::uint32_t>(packet.size());
    if (packet[0] >> 4 == 4)
        return Tins::IP { packet.data(), size }.serialize();
    return Tins::IPv6 { packet.data(), size }.serialize();
}

std::vector<std::uint8_t> buildIcmpError(
    Core::IpAddress const& source, Core::IpAddress const& destination, std::vector<std::uint8_t> const& quoted)
{
    Tins::RawPDU payload { quoted.data(), static_cast<std::uint32_t>(quoted.size()) };
    if (source.isV4()) {
        Tins::ICMP icmp { Tins::ICMP::DEST_UNREACHABLE };
        return (Tins::IP { destination.toString(), source.toString() } / icmp / payload).serialize();
    }
    Tins::ICMPv6 icmp { Tins::ICMPv6::PACKET_TOOBIG };
    auto packet = (Tins::IPv6 { destination.toString(), source.toString() } / icmp / payload).serialize();
    packet[7] = 64;
    return packet;
}

static std::vector<std::uint8_t> arbitraryInnerPacket()
{
    auto fields = *arbitraryPacketFields();
    auto packet = Packet::buildPacket(fields);
    if (*rc::gen::inRange(0, 3) != 0)
        return packet;
    return buildIcmpError(fields.flow.destination.address, fields.flow.source.address, packet);
}

rc::Gen<std::vector<std::uint8_t>> mutatedDatagram()
{
    return rc::gen::exec([] {
        auto inner = arbitraryInnerPacket();
        auto header = Packet::buildGueHopHeader(inner, { Core::VmId { 5 }, 1 }, {});
        auto hasHopHeader = *rc::gen::arbitrary<bool>();
        std::vector<std::uint8_t> bytes { header->begin(), header->begin() + (hasHopHeader ? 24 : 4) };
        bytes[0] = hasHopHeader ? 5 : 0;
        bytes.insert(bytes.end(), inner.begin(), inner.end());
        for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<std::uint8_t>();
        if (*rc::gen::inRange(0, 3) == 0)
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 20));
        return bytes;
    });
}

}
