#include "Generators.h"

#include <LibPacket/ByteOrder.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <tins/tins.h>

using namespace Chicorytally;
using namespace Chicorytally::Packet;

BOOST_AUTO_TEST_SUITE(TestParsedPacket)

static ParseError parseErrorOf(std::vector<std::uint8_t> const& bytes)
{
    auto error = ParseError::None;
    parse(bytes, error);
    return error;
}

static std::vector<std::uint8_t> buildSyn(char const* source, char const* destination)
{
    Core::FlowKey flow { { *Core::IpAddress::parse(source), 4000 }, { *Core::IpAddress::parse(destination), 7000 },
        Core::Protocol::Tcp };
    return buildPacket({ .flow = flow, .tcpFlags = Syn });
}

BOOST_AUTO_TEST_CASE(ParsedFieldsMatchLibtins)
{
    // Guards against a header field that is read at a wrong offset, with TCP options and payloads of any size.
    checkProperty(1, [] {
        auto fields = *arbitraryPacketFields();
        auto const& flow = fields.flow;
        std::unique_ptr<Tins::PDU> transport;
        Tins::RawPDU payload { fields.payload.data(), static_cast<std::uint32_t>(fields.payload.size()) };
        if (flow.protocol == Core::Protocol::Tcp) {
            Tins::TCP tcp { flow.destination.port, flow.source.port };
            tcp.seq(fields.tcpSequenceNumber);
            tcp.ack_seq(fields.tcpAcknowledgementNumber);
            tcp.flags(fields.tcpFlags);
            tcp.mss(1400);
            transport = std::make_unique<Tins::TCP>(tcp / payload);
        } else {
            transport = std::make_unique<Tins::UDP>(Tins::UDP { flow.destination.port, flow.source.port } / payload);
        }
        auto source = flow.source.address.toString();
        auto destination = flow.destination.address.toString();
        auto bytes = flow.source.address.isV4() ? (Tins::IP { destination, source } / *transport).serialize()
                                                : (Tins::IPv6 { destination, source } / *transport).serialize();
        // libtins leaves the hop limit of IPv6 at 0.
        if (!flow.source.address.isV4())
            bytes[7] = 64;
        auto error = ParseError::None;
        auto packet = parse(bytes, error);
        RC_ASSERT(error == ParseError::None);
        RC_ASSERT(packet->flow == flow);
        RC_ASSERT(std::ranges::equal(packet->payload, fields.payload));
        RC_ASSERT(packet->ip.size() == bytes.size());
        if (flow.protocol == Core::Protocol::Tcp) {
            RC_ASSERT(packet->tcpSequenceNumber == fields.tcpSequenceNumber);
            RC_ASSERT(packet->tcpAcknowledgementNumber == fields.tcpAcknowledgementNumber);
            RC_ASSERT(packet->tcpFlags == fields.tcpFlags);
        }
    });
}

BOOST_AUTO_TEST_CASE(BuiltPacketsMatchLibtins)
{
    // Guards against a wrong length or checksum, which makes the receiver discard the packet.
    checkProperty(2, [] {
        auto fields = *arbitraryPacketFields();
        auto built = buildPacket(fields);
        auto expected = reserializedByLibtins(built);
        RC_ASSERT(built == expected);
    });
}

BOOST_AUTO_TEST_CASE(DecrementHopLimitUpdatesTheChecksum)
{
    // Guards against a wrong checksum, which makes the upstream discard the packet, and against endless forwarding
    // loops.
    checkProperty(3, [] {
        auto packet = buildPacket(*arbitraryPacketFields());
        auto isV4 = packet[0] >> 4 == 4;
        auto hopLimit = isV4 ? 8u : 7u;
        auto identification = *rc::gen::arbitrary<std::uint16_t>();
        if (isV4) {
            writeU16(packet, 4, identification);
            packet = reserializedByLibtins(packet);
        }
        auto before = packet[hopLimit];
        decrementHopLimit(packet);
        RC_ASSERT(packet[hopLimit] == before - 1);
        RC_ASSERT(packet == reserializedByLibtins(packet));
    });
}

struct AddressCase {
    char const* source;
    char const* destination;
    ParseError error;
};

static std::ostream& operator<<(std::ostream& stream, AddressCase const& addresses)
{
    return stream << addresses.source << " to " << addresses.destination;
}

static AddressCase const AddressCases[] = {
    { "0.0.0.0", "198.51.100.10", ParseError::Martian },
    { "0.1.2.3", "198.51.100.10", ParseError::Martian },
    { "224.0.0.1", "198.51.100.10", ParseError::Martian },
    { "239.255.255.255", "198.51.100.10", ParseError::Martian },
    { "240.0.0.1", "198.51.100.10", ParseError::Martian },
    { "255.255.255.255", "198.51.100.10", ParseError::Martian },
    { "10.0.0.1", "224.0.0.1", ParseError::Martian },
    { "10.0.0.1", "255.255.255.255", ParseError::Martian },
    { "::", "2001:db8::1", ParseError::Martian },
    { "ff02::1", "2001:db8::1", ParseError::Martian },
    { "2001:db8::1", "ff0e::1", ParseError::Martian },
    { "198.51.100.10", "198.51.100.10", ParseError::Loop },
    { "2001:db8::1", "2001:db8::1", ParseError::Loop },
    { "10.0.0.1", "198.51.100.10", ParseError::None },
    { "223.255.255.255", "198.51.100.10", ParseError::None },
};

BOOST_DATA_TEST_CASE(InvalidAddressesAreRejected, boost::unit_test::data::make(AddressCases), addresses)
{
    // Guards against refusals sent to a multicast or broadcast address, and against packets with equal source and
    // destination addresses.
    BOOST_TEST((parseErrorOf(buildSyn(addresses.source, addresses.destination)) == addresses.error));
}

BOOST_AUTO_TEST_CASE(Ipv4MappedAddressIsRejected)
{
    // Guards against an IPv6 packet that is attributed to a flow of an IPv4 service.
    for (std::size_t offset : { 8, 24 }) {
        auto packet = buildSyn("2001:db8::1", "2001:db8::2");
        auto mapped = Core::IpAddress::parse("198.51.100.10")->bytes();
        std::ranges::copy(mapped, packet.begin() + static_cast<std::ptrdiff_t>(offset));
        BOOST_TEST((parseErrorOf(packet) == ParseError::Martian));
    }
}

struct HeaderMutation {
    char const* name;
    bool isV4;
    std::size_t offset;
    std::uint8_t value;
    ParseError error;
};

static std::ostream& operator<<(std::ostream& stream, HeaderMutation const& mutation)
{
    return stream << mutation.name;
}

static HeaderMutation const HeaderMutations[] = {
    { "version 5", true, 0, 0x55, ParseError::UnknownVersion },
    { "short IPv4 header", true, 0, 0x44, ParseError::BadHeader },
    { "IPv4 header past the end", true, 0, 0x4f, ParseError::Truncated },
    { "length past the end", true, 3, 41, ParseError::LengthMismatch },
    { "length below the header", true, 3, 19, ParseError::LengthMismatch },
    { "first fragment", true, 6, 0x20, ParseError::Fragment },
    { "later fragment", true, 7, 0x01, ParseError::Fragment },
    { "don't fragment", true, 6, 0x40, ParseError::None },
    { "TTL 0", true, 8, 0, ParseError::HopLimitExpired },
    { "TTL 1", true, 8, 1, ParseError::HopLimitExpired },
    { "TTL 2", true, 8, 2, ParseError::None },
    { "SCTP", true, 9, 132, ParseError::UnsupportedProtocol },
    { "ICMPv6 in IPv4", true, 9, 58, ParseError::UnsupportedProtocol },
    { "echo reply", true, 9, 1, ParseError::IcmpInformational },
    { "short TCP header", true, 32, 0x40, ParseError::BadHeader },
    { "long TCP header", true, 32, 0xf0, ParseError::BadHeader },
    { "IPv6 length past the end", false, 5, 21, ParseError::LengthMismatch },
    { "IPv6 fragment header", false, 6, 44, ParseError::Fragment },
    { "IPv6 extension header", false, 6, 0, ParseError::UnsupportedProtocol },
    { "ICMP in IPv6", false, 6, 1, ParseError::UnsupportedProtocol },
    { "hop limit 1", false, 7, 1, ParseError::HopLimitExpired },
};

BOOST_DATA_TEST_CASE(MalformedHeadersAreRejected, boost::unit_test::data::make(HeaderMutations), mutation)
{
    // Guards against forwarding a packet based on fields that it doesn't have, and against counting it under the wrong
    // error.
    auto packet = mutation.isV4 ? buildSyn("10.0.0.1", "198.51.100.10") : buildSyn("2001:db8::1", "2001:db8::2");
    packet[mutation.offset] = mutation.value;
    if (std::string_view { mutation.name } == "echo reply")
        packet[20] = 0;
    BOOST_TEST((parseErrorOf(packet) == mutation.error), toString(parseErrorOf(packet)));
}

BOOST_AUTO_TEST_CASE(TrailingPaddingIsIgnored)
{
    // Guards against link-layer padding that is forwarded or treated as payload.
    auto packet = buildSyn("10.0.0.1", "198.51.100.10");
    packet.resize(packet.size() + 6);
    auto error = ParseError::None;
    auto parsed = parse(packet, error);
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->ip.size() == 40u);
    BOOST_TEST(parsed->payload.empty());
}

BOOST_AUTO_TEST_CASE(IcmpErrorMapsToTheQuotedFlow)
{
    // Guards against path MTU discovery that fails because the error is sent to a different upstream from its flow.
    checkProperty(4, [] {
        auto fields = *arbitraryPacketFields();
        auto const& flow = fields.flow;
        auto reply = fields;
        reply.flow = { flow.destination, flow.source, flow.protocol };
        auto quoted = buildPacket(reply);
        auto minQuotedSize = flow.source.address.isV4() ? 28u : 48u;
        quoted.resize(*rc::gen::inRange<std::size_t>(minQuotedSize, quoted.size() + 1));
        // The error is sent by a router on the path or by the caller itself.
        auto router
            = *rc::gen::arbitrary<bool>() ? flow.source.address : makeUnicastAddress(flow.source.address.isV4(), 77);
        auto error = ParseError::None;
        auto packet = parse(buildIcmpError(router, flow.destination.address, quoted), error);
        RC_ASSERT(error == ParseError::None);
        RC_ASSERT(packet->isIcmpError);
        RC_ASSERT(packet->flow == flow);
        RC_ASSERT(!packet->isOpening());
    });
}

BOOST_AUTO_TEST_CASE(IcmpErrorWithUnrelatedQuoteIsRejected)
{
    // Guards against an ICMP error that is forwarded to a service other than the one it was sent to.
    auto quoted = buildSyn("198.51.100.11", "10.0.0.1");
    auto error = buildIcmpError(*Core::IpAddress::parse("10.0.0.1"), *Core::IpAddress::parse("198.51.100.10"), quoted);
    BOOST_TEST((parseErrorOf(error) == ParseError::BadQuote));
    quoted.resize(27);
    error = buildIcmpError(*Core::IpAddress::parse("10.0.0.1"), *Core::IpAddress::parse("198.51.100.11"), quoted);
    BOOST_TEST((parseErrorOf(error) == ParseError::BadQuote));
}

BOOST_AUTO_TEST_CASE(MutatedDatagramsAreParsedWithinBounds)
{
    // Guards against reads past the end of mutated datagrams and views outside of them. fuzz-packet checks the same.
    checkProperty(5, [] {
        auto bytes = *mutatedDatagram();
        if (auto encapsulated = parseGue(bytes)) {
            auto error = ParseError::None;
            auto packet = parse(encapsulated->inner, error);
            RC_ASSERT(packet.has_value() == (error == ParseError::None));
            auto isWithinDatagram = [&](Bytes part) {
                return part.empty()
                    || (part.data() >= bytes.data() && part.data() + part.size() <= bytes.data() + bytes.size());
            };
            RC_ASSERT(!packet || (isWithinDatagram(packet->ip) && isWithinDatagram(packet->payload)));
            RefusalBuffer buffer;
            RC_ASSERT(!packet || writeRefusal(*packet, buffer) <= buffer.size());
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
