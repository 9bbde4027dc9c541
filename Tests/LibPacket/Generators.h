#pragma once

#include <LibPacket/Packet.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <sstream>
#include <vector>

namespace Chicorytally {

/// Checks a RapidCheck property under a fixed seed.
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

/// A unicast address that depends on the number.
Core::IpAddress addressOf(bool isV4, std::uint32_t number);

/// Fields with a payload that lives as long as the program.
rc::Gen<Packet::PacketFields> arbitraryFields();

/// A GUE datagram with an inner TCP, UDP or ICMP packet, in which some bytes were changed, cut off or added.
rc::Gen<std::vector<std::uint8_t>> mutatedDatagram();

/// Parses and writes the packet again with libtins, which computes all lengths and checksums anew.
std::vector<std::uint8_t> reserialized(std::vector<std::uint8_t> const& packet);

/// An ICMP destination unreachable that quotes the bytes.
std::vector<std::uint8_t> icmpError(
    Core::IpAddress const& source, Core::IpAddress const& destination, std::vector<std::uint8_t> const& quoted);

}
