#include <LibPacket/Packet.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;

BOOST_AUTO_TEST_SUITE(TestGue)

static Core::FlowKey makeTcpFlow(char const* source, char const* destination)
{
    return { *Core::Endpoint::parse(source), *Core::Endpoint::parse(destination), Core::Protocol::Tcp };
}

static Core::FlowKey const Flows[] = {
    makeTcpFlow("10.0.0.1:4000", "198.51.100.10:7000"),
    makeTcpFlow("[2001:db8::1]:4000", "[2001:db8::2]:7000"),
};

static std::vector<std::uint8_t> buildHopDatagram(std::vector<std::uint8_t> const& inner, Packet::HopKey const& key)
{
    auto header = Packet::buildGueHopHeader(inner, { Core::VmId { 77 }, 1, true }, key);
    std::vector<std::uint8_t> datagram { header->begin(), header->end() };
    datagram.insert(datagram.end(), inner.begin(), inner.end());
    return datagram;
}

BOOST_DATA_TEST_CASE(PeerHopRoundTrip, boost::unit_test::data::xrange(std::size(Flows)), index)
{
    // Guards against a peer that reads a different flow, sender or hop count from the one that was sent.
    auto inner = Packet::buildPacket({ .flow = Flows[index], .tcpFlags = Packet::Syn });
    auto parsed = Packet::parseGue(buildHopDatagram(inner, {}));
    BOOST_REQUIRE(parsed && parsed->hop);
    BOOST_TEST(parsed->hop->sender.value() == 77u);
    BOOST_TEST(parsed->hop->hopCount == 1);
    BOOST_TEST(parsed->hop->isKnownFlow);
    BOOST_TEST(Packet::isAuthentic(*parsed, {}));
    auto error = Packet::ParseError::None;
    auto packet = Packet::parse(parsed->inner, error);
    BOOST_REQUIRE(packet);
    BOOST_TEST((packet->flow == Flows[index]));
    BOOST_TEST(packet->isOpening());
}

BOOST_AUTO_TEST_CASE(HopTaggedWithWrongKeyIsNotAuthentic)
{
    // Guards against an attacker that forges packets with the peer hop of a balancer.
    auto inner = Packet::buildPacket({ .flow = Flows[0], .tcpFlags = Packet::Syn });
    auto datagram = buildHopDatagram(inner, { 1 });
    auto parsed = Packet::parseGue(datagram);
    BOOST_REQUIRE(parsed);
    BOOST_TEST(!Packet::isAuthentic(*parsed, { 2 }));
}

BOOST_AUTO_TEST_CASE(ModifiedHopIsNotAuthentic)
{
    // Guards against an attacker that modifies the sender, hop count, known-flow flag or flow of a packet in transit.
    auto inner = Packet::buildPacket({ .flow = Flows[0], .tcpFlags = Packet::Syn });
    auto original = buildHopDatagram(inner, { 1 });
    for (std::size_t position : { 4, 11, 12, 13, 16, 23, 24 + 12, 24 + 16, 24 + 20, 24 + 33 }) {
        auto datagram = original;
        datagram[position] ^= 1;
        auto parsed = Packet::parseGue(datagram);
        BOOST_TEST((!parsed || !Packet::isAuthentic(*parsed, { 1 })), "position " << position);
    }
}

BOOST_AUTO_TEST_CASE(TruncatedPacketsAreRejected)
{
    // Guards against reads past the end of a datagram that is truncated at any byte.
    for (auto const& flow : Flows) {
        auto datagram = buildHopDatagram(Packet::buildPacket({ .flow = flow, .tcpFlags = Packet::Syn }), {});
        for (std::size_t size = 0; size < datagram.size(); ++size) {
            auto parsed = Packet::parseGue({ datagram.data(), size });
            auto error = Packet::ParseError::None;
            BOOST_TEST((!parsed || !Packet::parse(parsed->inner, error)));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
