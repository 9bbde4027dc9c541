#pragma once

#include <LibPacket/Packet.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <sstream>
#include <vector>

namespace Chicorytally {

/// Checks a RapidCheck property with a fixed seed.
template <typename Property> void checkProperty(std::uint64_t seed, Property property)
{
    rc::detail::TestParams parameters;
    parameters.seed = seed;
    parameters.maxSuccess = 300;
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, parameters);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>(), message.str());
}

/// Returns a unicast address derived from the low 24 bits of the number.
Core::IpAddress makeUnicastAddress(bool isV4, std::uint32_t number);

/// Generates the fields of a TCP or UDP packet. The payload stays allocated until the program exits.
rc::Gen<Packet::PacketFields> arbitraryPacketFields();

/// Generates a GUE datagram with an inner TCP, UDP or ICMP packet, which may be mutated, truncated or extended.
rc::Gen<std::vector<std::uint8_t>> mutatedDatagram();

/// Parses and serializes the packet with libtins, which recomputes all lengths and checksums.
std::vector<std::uint8_t> reserializedByLibtins(std::vector<std::uint8_t> const& packet);

/// Builds an ICMPv4 destination unreachable or ICMPv6 packet too big error that quotes the bytes.
std::vector<std::uint8_t> buildIcmpError(
    Core::IpAddress const& source, Core::IpAddress const& destination, std::vector<std::uint8_t> const& quoted);

}
