#include <LibMembership/Membership.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace Chicorytally;
using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TMemoryBuffer;

BOOST_AUTO_TEST_SUITE(TestMixedVersions)

static Membership::Options makeOptions(std::uint64_t vm)
{
    Membership::Options options;
    options.self = Core::VmId { vm };
    options.zone = Core::ZoneId { 1 };
    options.endpoint = { *Core::IpAddress::parse("10.0.0.1"), static_cast<std::uint16_t>(vm) };
    options.incarnation = Core::Incarnation { 5 };
    return options;
}

static void writeField(TCompactProtocol& protocol, std::int16_t id, std::int64_t value)
{
    protocol.writeFieldBegin("", apache::thrift::protocol::T_I64, id);
    protocol.writeI64(value);
    protocol.writeFieldEnd();
}

/// A ping from a newer version, with unknown fields (an integer and a struct) and an update with an unknown state.
static std::shared_ptr<TMemoryBuffer> newerPing()
{
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol protocol { buffer };
    protocol.writeStructBegin("");
    protocol.writeFieldBegin("", apache::thrift::protocol::T_STRUCT, 1);
    protocol.writeStructBegin("");
    writeField(protocol, 1, 99);
    protocol.writeFieldBegin("", apache::thrift::protocol::T_LIST, 2);
    protocol.writeListBegin(apache::thrift::protocol::T_STRUCT, 2);
    for (int state : { 1, 17 }) {
        protocol.writeStructBegin("");
        writeField(protocol, 1, 10 + state);
        writeField(protocol, 2, 5);
        protocol.writeFieldBegin("", apache::thrift::protocol::T_I32, 3);
        protocol.writeI32(state);
        protocol.writeFieldEnd();
        protocol.writeFieldBegin("", apache::thrift::protocol::T_STRING, 5);
        protocol.writeBinary(std::string(16, '\1'));
        protocol.writeFieldEnd();
        protocol.writeFieldBegin("", apache::thrift::protocol::T_I32, 6);
        protocol.writeI32(80);
        protocol.writeFieldEnd();
        writeField(protocol, 100, 1);
        protocol.writeFieldStop();
        protocol.writeStructEnd();
    }
    protocol.writeListEnd();
    protocol.writeFieldEnd();
    writeField(protocol, 77, 1234);
    protocol.writeFieldBegin("", apache::thrift::protocol::T_STRUCT, 78);
    protocol.writeStructBegin("");
    writeField(protocol, 1, 1);
    protocol.writeFieldStop();
    protocol.writeStructEnd();
    protocol.writeFieldEnd();
    protocol.writeFieldStop();
    protocol.writeStructEnd();
    protocol.writeFieldEnd();
    protocol.writeFieldStop();
    protocol.writeStructEnd();
    return buffer;
}

BOOST_AUTO_TEST_CASE(NewerPingIsAnswered)
{
    // Guards against a rolling upgrade in which an old balancer rejects messages from a new one.
    auto buffer = newerPing();
    TCompactProtocol protocol { buffer };
    Messages::MembershipMessage message;
    message.read(&protocol);

    Core::ManualClock clock;
    Membership::Controller controller { clock, makeOptions(1), {} };
    controller.receive(Core::VmId { 2 }, Core::Incarnation { 1 }, message, makeOptions(2).endpoint);
    auto messages = controller.tick();
    bool isAnswered = false;
    for (auto const& outgoing : messages)
        isAnswered |= outgoing.message.__isset.ack && outgoing.message.ack.sequence == 99;
    BOOST_TEST(isAnswered);
    // The update with the known state was applied, the one with the unknown state was ignored.
    BOOST_TEST(controller.endpointOf(Core::VmId { 11 }).has_value());
    BOOST_TEST(!controller.endpointOf(Core::VmId { 27 }).has_value());
}

BOOST_AUTO_TEST_CASE(UnknownMessageIsIgnored)
{
    // Guards against a type of message that only a newer version has, which must be ignored.
    auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocol writer { buffer };
    writer.writeStructBegin("");
    writer.writeFieldBegin("", apache::thrift::protocol::T_STRUCT, 50);
    writer.writeStructBegin("");
    writeField(writer, 1, 1);
    writer.writeFieldStop();
    writer.writeStructEnd();
    writer.writeFieldEnd();
    writer.writeFieldStop();
    writer.writeStructEnd();

    TCompactProtocol reader { buffer };
    Messages::MembershipMessage message;
    message.read(&reader);
    Core::ManualClock clock;
    Membership::Controller controller { clock, makeOptions(1), {} };
    controller.tick();
    controller.receive(Core::VmId { 2 }, Core::Incarnation { 1 }, message, makeOptions(2).endpoint);
    BOOST_TEST(controller.tick().empty());
    BOOST_TEST(controller.members().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
