#include <platform/FlowPacket.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;

namespace {

// An opening packet of 100.64.0.7:40001 to 198.18.0.1:443 with sequence number 0x11223344.
std::vector<std::uint8_t> openingPacket()
{
    return { 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
        0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0x40, 0x00, 0xa1, 0xb2, 0xc3, 0xd5 };
}

Core::FlowKey const Flow { *Core::Endpoint::parse("100.64.0.7:40001"), *Core::Endpoint::parse("198.18.0.1:443") };

}

BOOST_AUTO_TEST_SUITE(FlowPacket)

BOOST_AUTO_TEST_CASE(OpeningPacketIsDecoded)
{
    // Guards against reading fields at a wrong offset or in a wrong byte order.
    auto packet = Platform::decodePacket(openingPacket());
    BOOST_REQUIRE(packet.has_value());
    BOOST_CHECK(packet->flow == Flow);
    BOOST_CHECK(packet->kind == Placement::PacketKind::Open);
    BOOST_TEST(packet->token == 0U);
    BOOST_TEST(packet->sequence == 0x11223344U);
    BOOST_TEST(packet->length == 0U);
}

BOOST_AUTO_TEST_CASE(TokenIsTheOnlyFieldThatChanges)
{
    // Guards against changing fields that the packet checksum covers.
    auto bytes = openingPacket();
    Platform::writeToken(bytes, 0xdeadbeef);
    BOOST_TEST(Platform::decodePacket(bytes)->token == 0xdeadbeefU);
    auto expected = openingPacket();
    expected[12] = 0xde;
    expected[13] = 0xad;
    expected[14] = 0xbe;
    expected[15] = 0xef;
    BOOST_TEST(bytes == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RequestIdIsReadFromThePayload)
{
    // Guards against logging a wrong request ID, and against reading past the payload.
    auto idOf = [](std::string const& data) {
        auto bytes = openingPacket();
        bytes[16] = static_cast<std::uint8_t>(data.size() >> 8U);
        bytes[17] = static_cast<std::uint8_t>(data.size());
        bytes.insert(bytes.end(), data.begin(), data.end());
        return Platform::decodePacket(bytes)->requestId;
    };
    BOOST_TEST(idOf("GET / HTTP/1.1\r\nX-Chicorytally-Request-Id: 69f6a0101043632a\r\n\r\n") == 0x69f6a0101043632aU);
    BOOST_TEST(idOf("GET / HTTP/1.1\r\n\r\n") == 0U);
    BOOST_TEST(idOf("X-Chicorytally-Request-Id: 69f6") == 0U);
    BOOST_TEST(idOf("X-Chicorytally-Request-Id: none\r\n") == 0U);
}

BOOST_AUTO_TEST_CASE(TruncatedPacketsAreRejected)
{
    // Guards against reading past the end of a datagram.
    auto bytes = openingPacket();
    for (std::size_t size = 0; size < bytes.size(); ++size)
        BOOST_TEST(!Platform::decodePacket(std::span { bytes }.first(size)).has_value());
    bytes[17] = 1;
    BOOST_TEST(!Platform::decodePacket(bytes).has_value());
    bytes.push_back(0);
    BOOST_TEST(Platform::decodePacket(bytes).has_value());
}

BOOST_AUTO_TEST_CASE(ResetComesFromTheServiceAddress)
{
    // Guards against resets that the caller attributes to another flow.
    auto reset = Platform::makeReset(Flow, 0);
    std::vector<std::uint8_t> expected { 0x64, 0x40, 0x00, 0x07, 0x9c, 0x41, 0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x00,
        0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x02, 0x00, 0x00, 0x00, 0x00,
        0x00 };
    BOOST_TEST(std::vector<std::uint8_t>(reset.begin(), reset.end()) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EncapsulationHoldsTheUpstreamId)
{
    // Guards against packets that another process at a reused address accepts as its own.
    auto bytes = Platform::encapsulationFor(Core::UpstreamId { 0x7f3a91c2aa });
    std::vector<std::uint8_t> expected { 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2, 0xaa };
    BOOST_TEST(std::vector<std::uint8_t>(bytes.begin(), bytes.end()) == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
