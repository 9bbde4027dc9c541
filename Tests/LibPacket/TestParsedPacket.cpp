#include "Generators.h"

#include <LibPacket/ByteOrder.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <tins/tins.h>

using namespace Chicorytally;
using namespace Chicorytally::Packet;

BOOST_AUTO_TEST_SUITE(TestParsedPacket)

static ParseError errorOf(std::vector<std::uint8_t> const& bytes)
{
    auto error = ParseError::None;
    parse(bytes, error);
    return error;
}

static std::vector<std::uint8_t> syn(char const* source, char const* destination)
{
    Core::FlowKey flow { { *Core::IpAddress::parse(source), 4000 }, { *Core::IpAddress::parse(destination), 7000 },
        Core::Protocol::Tcp };
    return buildPacket({ .flow = flow, .tcpFlags = Syn });
}

BOOST_AUTO_TEST_CASE(FieldsAgreeWithLibtins)
{
    // Guards against a header field that is read or written at a wrong place, for options and payloads of any size.
    checkProperty(1, [] {
        auto fields = *arbitraryFields();
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
        // libtins leaves the TTL of IPv6 at 0.
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

BOOST_AUTO_TEST_CASE(BuiltPacketsAreThoseOfLibtins)
{
    // Guards against a wrong length or checksum, with which a receiver discards the packet.
    checkProperty(2, [] {
        auto fields = *arbitraryFields();
        auto built = buildPacket(fields);
        auto again = reserialized(built);
        RC_ASSERT(built == again);
    });
}

BOOST_AUTO_TEST_CASE(DecrementedHopLimitKeepsTheChecksumValid)
{
    // Guards against forwarded packets that the upstream discards, and against loops that never end.
    checkProperty(3, [] {
        auto packet = buildPacket(*arbitraryFields());
        auto isV4 = packet[0] >> 4 == 4;
        auto hopLimit = isV4 ? 8u : 7u;
        auto identification = *rc::gen::arbitrary<std::uint16_t>();
        if (isV4) {
            writeU16(packet, 4, identification);
            packet = reserialized(packet);
        }
        auto before = packet[hopLimit];
        decrementHopLimit(packet);
        RC_ASSERT(packet[hopLimit] == before - 1);
        RC_ASSERT(packet == reserialized(packet));
    });
}

struct BadAddresses {
    char const* source;
    char const* destination;
    ParseError error;
};

static std::ostream& operator<<(std::ostream& stream, BadAddresses const& addresses)
{
    return stream << addresses.source << " to " << addresses.destination;
}

static BadAddresses const BadAddressTable[] = {
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

BOOST_DATA_TEST_CASE(AddressesAreChecked, boost::unit_test::data::make(BadAddressTable), addresses)
{
    // Guards against refusals that are sent to a multicast or broadcast address, and against a packet to itself.
    BOOST_TEST((errorOf(syn(addresses.source, addresses.destination)) == addresses.error));
}

BOOST_AUTO_TEST_CASE(MappedAddressOnTheWireIsRejected)
{
    // Guards against an IPv6 packet that is taken for a flow of an IPv4 service.
    for (std::size_t offset : { 8, 24 }) {
        auto packet = syn("2001:db8::1", "2001:db8::2");
        auto mapped = Core::IpAddress::parse("198.51.100.10")->bytes();
        std::ranges::copy(mapped, packet.begin() + static_cast<std::ptrdiff_t>(offset));
        BOOST_TEST((errorOf(packet) == ParseError::Martian));
    }
}

struct Change {
    char const* name;
    bool isV4;
    std::size_t offset;
    std::uint8_t value;
    ParseError error;
};

static std::ostream& operator<<(std::ostream& stream, Change const& change) { return stream << change.name; }

static Change const ChangeTable[] = {
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

BOOST_DATA_TEST_CASE(MalformedHeadersAreRejected, boost::unit_test::data::make(ChangeTable), change)
{
    // Guards against a packet that is forwarded by fields that aren't there, and against a wrong reason in the
    // counters.
    auto packet = change.isV4 ? syn("10.0.0.1", "198.51.100.10") : syn("2001:db8::1", "2001:db8::2");
    packet[change.offset] = change.value;
    if (std::string_view { change.name } == "echo reply")
        packet[20] = 0;
    BOOST_TEST((errorOf(packet) == change.error), toString(errorOf(packet)));
}

BOOST_AUTO_TEST_CASE(BytesBehindTheStatedLengthAreLeftOut)
{
    // Guards against padding that is forwarded or taken for payload.
    auto packet = syn("10.0.0.1", "198.51.100.10");
    packet.resize(packet.size() + 6);
    auto error = ParseError::None;
    auto parsed = parse(packet, error);
    BOOST_REQUIRE(parsed);
    BOOST_TEST(parsed->ip.size() == 40u);
    BOOST_TEST(parsed->payload.empty());
}

BOOST_AUTO_TEST_CASE(IcmpErrorBelongsToTheQuotedFlow)
{
    // Guards against path MTU discovery that fails because the error reaches another upstream than the flow.
    checkProperty(4, [] {
        auto fields = *arbitraryFields();
        auto const& flow = fields.flow;
        auto answer = fields;
        answer.flow = { flow.destination, flow.source, flow.protocol };
        auto quoted = buildPacket(answer);
        auto quotedHeader = flow.source.address.isV4() ? 28u : 48u;
        quoted.resize(*rc::gen::inRange<std::size_t>(quotedHeader, quoted.size() + 1));
        // A router on the way, or the caller itself, sends the error.
        auto router = *rc::gen::arbitrary<bool>() ? flow.source.address : addressOf(flow.source.address.isV4(), 77);
        auto error = ParseError::None;
        auto packet = parse(icmpError(router, flow.destination.address, quoted), error);
        RC_ASSERT(error == ParseError::None);
        RC_ASSERT(packet->isIcmpError);
        RC_ASSERT(packet->flow == flow);
        RC_ASSERT(!packet->isOpening());
    });
}

BOOST_AUTO_TEST_CASE(IcmpErrorAboutAnotherHostIsRejected)
{
    // Guards against an ICMP error that is steered to a service other than the one it was sent to.
    auto quoted = syn("198.51.100.11", "10.0.0.1");
    auto error = icmpError(*Core::IpAddress::parse("10.0.0.1"), *Core::IpAddress::parse("198.51.100.10"), quoted);
    BOOST_TEST((errorOf(error) == ParseError::BadQuote));
    quoted.resize(27);
    error = icmpError(*Core::IpAddress::parse("10.0.0.1"), *Core::IpAddress::parse("198.51.100.11"), quoted);
    BOOST_TEST((errorOf(error) == ParseError::BadQuote));
}

BOOST_AUTO_TEST_CASE(AnyBytesAreParsedWithinTheirBounds)
{
    // Guards against reads past the end and views outside the packet, for mutated packets (see also fuzz-packet).
    checkProperty(5, [] {
        auto bytes = *mutatedDatagram();
        if (auto encapsulated = parseGue(bytes)) {
            auto error = ParseError::None;
            auto packet = parse(encapsulated->inner, error);
            RC_ASSERT(packet.has_value() == (error == ParseError::None));
            auto isInside = [&](Bytes part) {
                return part.empty()
                    || (part.data() >= bytes.data() && part.data() + part.size() <= bytes.data() + bytes.size());
            };
            RC_ASSERT(!packet || (isInside(packet->ip) && isInside(packet->payload)));
            RefusalBuffer buffer;
            RC_ASSERT(!packet || writeRefusal(*packet, buffer) <= buffer.size());
        }
    });
}

BOOST_AUTO_TEST_SUITE_END()
