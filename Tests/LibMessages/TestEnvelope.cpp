#include <LibMessages/Messages.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace Chicorytally;

BOOST_AUTO_TEST_SUITE(TestEnvelope)

static Messages::PeerKey makeKey(char digit)
{
    return *Messages::PeerKey::fromHex(std::string(2 * Messages::KeySize, digit));
}

static Messages::EnvelopeSealer makeSealer(std::uint64_t incarnation)
{
    return { makeKey('a'), Core::VmId { 5 }, Core::Incarnation { incarnation } };
}

BOOST_AUTO_TEST_CASE(RepeatedDatagramIsRejected)
{
    // Replay: a recorded datagram that is sent again must not take effect twice.
    auto datagram = makeSealer(1).seal({});
    Messages::EnvelopeOpener opener { { makeKey('a'), {} } };
    BOOST_TEST(opener.open(datagram).has_value());
    BOOST_TEST(!opener.open(datagram).has_value());
    BOOST_TEST((opener.lastError() == Messages::OpenError::Replayed));
}

BOOST_AUTO_TEST_CASE(OlderIncarnationIsRejected)
{
    // A delayed datagram of a process that has since restarted must not be accepted.
    auto old = makeSealer(1).seal({});
    Messages::EnvelopeOpener opener { { makeKey('a'), {} } };
    BOOST_TEST(opener.open(makeSealer(2).seal({})).has_value());
    BOOST_TEST(!opener.open(old).has_value());
    BOOST_TEST((opener.lastError() == Messages::OpenError::OldIncarnation));
}

BOOST_AUTO_TEST_CASE(ModifiedOrForeignDatagramIsRejected)
{
    // Corruption of any single byte, and datagrams of senders without the key, must be detected.
    auto datagram = makeSealer(1).seal({});
    Messages::EnvelopeOpener opener { { makeKey('a'), {} } };
    for (auto& byte : datagram) {
        byte ^= 1;
        BOOST_TEST(!opener.open(datagram).has_value());
        byte ^= 1;
    }
    Messages::EnvelopeOpener otherKey { { makeKey('b'), {} } };
    BOOST_TEST(!otherKey.open(datagram).has_value());
    BOOST_TEST((otherKey.lastError() == Messages::OpenError::WrongTag));
}

struct RotationStep {
    char const* name;
    /// Digit of the key that the sender seals with.
    char sealing;
    /// Digits of the receiver's keys: the sealing key, then an optional accepted key.
    char const* receiver;
    bool isAccepted;
};

static RotationStep const RotationSteps[] = {
    { "before", 'a', "a", true },
    { "some accept the new key", 'a', "ab", true },
    { "some seal with the new key", 'b', "ab", true },
    { "old sealing key, receiver seals with the new key", 'a', "ba", true },
    { "after", 'b', "b", true },
    { "old key after its removal", 'a', "b", false },
};

BOOST_DATA_TEST_CASE(KeyRotationKeepsMessagesAccepted, boost::unit_test::data::xrange(std::size(RotationSteps)), index)
{
    // Balancers must accept each other's messages at every step of a key rotation.
    auto const& step = RotationSteps[index];
    Messages::KeyRing keys { makeKey(step.receiver[0]), {} };
    if (step.receiver[1])
        keys.accepted.push_back(makeKey(step.receiver[1]));
    Messages::EnvelopeSealer sealer { makeKey(step.sealing), Core::VmId { 5 }, Core::Incarnation { 1 } };
    Messages::EnvelopeOpener opener { keys };
    BOOST_TEST(opener.open(sealer.seal({})).has_value() == step.isAccepted, step.name);
}

/// Writes a LoadMessage with a member of a later version, which holds a structure.
static void writeLaterLoadMessage(apache::thrift::protocol::TProtocol& protocol)
{
    using apache::thrift::protocol::T_STRING;
    using apache::thrift::protocol::T_STRUCT;
    protocol.writeStructBegin("LoadMessage");
    protocol.writeFieldBegin("later", T_STRUCT, 99);
    protocol.writeStructBegin("Later");
    protocol.writeFieldBegin("bytes", T_STRING, 2);
    protocol.writeBinary(std::string(300, '\xff'));
    protocol.writeFieldEnd();
    protocol.writeFieldStop();
    protocol.writeStructEnd();
    protocol.writeFieldEnd();
    protocol.writeFieldStop();
    protocol.writeStructEnd();
}

BOOST_AUTO_TEST_CASE(UnknownMemberOfLoadMessageIsIgnored)
{
    // Guards against balancers of an earlier version that reject messages of later ones during a rolling upgrade.
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol { buffer };
    writeLaterLoadMessage(protocol);
    Messages::UpstreamReports reports;
    reports.reports.emplace_back().upstream = 7;
    Messages::LoadMessage following;
    following.__set_upstreamReports(reports);
    following.write(&protocol);

    Messages::LoadMessage unknown;
    unknown.read(&protocol);
    BOOST_TEST(!unknown.__isset.upstreamCounts);
    BOOST_TEST(!unknown.__isset.healthResults);
    BOOST_TEST(!unknown.__isset.upstreamReports);
    BOOST_TEST(!unknown.__isset.loadReports);
    Messages::LoadMessage known;
    known.read(&protocol);
    BOOST_TEST((known == following));
}

BOOST_AUTO_TEST_SUITE_END()
