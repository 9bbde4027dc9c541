#include <LibMessages/Messages.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;

BOOST_AUTO_TEST_SUITE(TestEnvelope)

static Messages::PeerKey keyOf(char digit)
{
    return *Messages::PeerKey::fromHex(std::string(2 * Messages::KeySize, digit));
}

static Messages::EnvelopeSealer sealerOf(std::uint64_t incarnation)
{
    return { keyOf('a'), Core::VmId { 5 }, Core::Incarnation { incarnation } };
}

BOOST_AUTO_TEST_CASE(RepeatedDatagramIsRejected)
{
    // Guards against a recorded message that is sent again.
    auto datagram = sealerOf(1).seal({});
    Messages::EnvelopeOpener opener { { keyOf('a'), {} } };
    BOOST_TEST(opener.open(datagram).has_value());
    BOOST_TEST(!opener.open(datagram).has_value());
    BOOST_TEST((opener.lastError() == Messages::OpenError::Replayed));
}

BOOST_AUTO_TEST_CASE(OlderIncarnationIsRejected)
{
    // Guards against a late message of a process that was replaced.
    auto old = sealerOf(1).seal({});
    Messages::EnvelopeOpener opener { { keyOf('a'), {} } };
    BOOST_TEST(opener.open(sealerOf(2).seal({})).has_value());
    BOOST_TEST(!opener.open(old).has_value());
    BOOST_TEST((opener.lastError() == Messages::OpenError::OldIncarnation));
}

BOOST_AUTO_TEST_CASE(ChangedOrForeignBytesAreRejected)
{
    // Guards against messages of an outsider and against corruption, at every byte.
    auto datagram = sealerOf(1).seal({});
    Messages::EnvelopeOpener opener { { keyOf('a'), {} } };
    for (auto& byte : datagram) {
        byte ^= 1;
        BOOST_TEST(!opener.open(datagram).has_value());
        byte ^= 1;
    }
    Messages::EnvelopeOpener otherKey { { keyOf('b'), {} } };
    BOOST_TEST(!otherKey.open(datagram).has_value());
    BOOST_TEST((otherKey.lastError() == Messages::OpenError::WrongTag));
}

struct RotationStep {
    char const* name;
    /// Key that the sender seals with.
    char sealing;
    /// Keys of the receiver: sealing, then accepted.
    char const* receiver;
    bool isAccepted;
};

static RotationStep const RotationSteps[] = {
    { "before", 'a', "a", true },
    { "some accept the new key", 'a', "ab", true },
    { "some seal with the new key", 'b', "ab", true },
    { "old seal, new receiver", 'a', "ba", true },
    { "after", 'b', "b", true },
    { "old key after its removal", 'a', "b", false },
};

BOOST_DATA_TEST_CASE(KeyIsReplacedByRollingChanges, boost::unit_test::data::xrange(std::size(RotationSteps)), index)
{
    // Guards against a fleet whose balancers can't hear each other while a key is replaced.
    auto const& step = RotationSteps[index];
    Messages::KeyRing keys { keyOf(step.receiver[0]), {} };
    if (step.receiver[1])
        keys.accepted.push_back(keyOf(step.receiver[1]));
    Messages::EnvelopeSealer sealer { keyOf(step.sealing), Core::VmId { 5 }, Core::Incarnation { 1 } };
    Messages::EnvelopeOpener opener { keys };
    BOOST_TEST(opener.open(sealer.seal({})).has_value() == step.isAccepted, step.name);
}

BOOST_AUTO_TEST_SUITE_END()
