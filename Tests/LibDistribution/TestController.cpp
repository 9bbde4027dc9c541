#include <LibDistribution/Distribution.h>
#include <LibDistribution/VersionedFiles.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <rapidcheck.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

using namespace Chicorytally;
using namespace Chicorytally::Distribution;
using namespace std::chrono_literals;
using Core::Revision;
using Core::VmId;

BOOST_AUTO_TEST_SUITE(TestDistributionController)

static VmId const PeerVm { 2 };

struct ControllerFixture {
    explicit ControllerFixture(std::chrono::milliseconds peerTimeout = 0ms)
        : controller(clock, { .self = VmId { 1 }, .zone = Core::ZoneId { 1 }, .peerTimeout = peerTimeout }, {})
    {
        controller.applyMembers({ { VmId { 1 }, Core::ZoneId { 1 } }, { PeerVm, Core::ZoneId { 1 } } });
    }

    Core::ManualClock clock;
    Controller controller;
};

static Messages::DistributionMessage digestMessage(std::int64_t revision, std::int64_t digest)
{
    Messages::RevisionDigest content;
    content.revision = revision;
    content.digest = digest;
    Messages::DistributionMessage message;
    message.__set_revisionDigest(content);
    return message;
}

static std::optional<std::int64_t> requestedFrom(std::vector<OutgoingMessage> const& messages)
{
    for (auto const& outgoing : messages) {
        if (outgoing.message.__isset.deltaRequest)
            return outgoing.message.deltaRequest.fromRevision;
    }
    return std::nullopt;
}

BOOST_AUTO_TEST_CASE(MismatchedDeltaLeadsToAFullCopy)
{
    // Guards against applying a delta to files other than those it was computed from.
    ControllerFixture fixture;
    fixture.controller.offerPlatformCopy(Revision { 1 }, { { "a", "1" } });
    FileSet newer { { "a", "2" }, { "b", "2" } };
    Messages::Delta delta;
    delta.fromRevision = 1;
    delta.toRevision = 2;
    delta.toDigest = static_cast<std::int64_t>(digestOf(newer));
    Messages::ConfigurationFile file;
    file.name = "a";
    file.__set_content("2");
    delta.files = { file };
    Messages::DistributionMessage message;
    message.__set_delta(delta);
    fixture.controller.receive(PeerVm, message);
    BOOST_TEST(fixture.controller.counters().mismatchedDeltas == 1U);
    BOOST_TEST((fixture.controller.revision() == Revision { 1 }));
    BOOST_TEST((fixture.controller.files() == FileSet { { "a", "1" } }));

    fixture.controller.receive(PeerVm, digestMessage(2, delta.toDigest));
    BOOST_TEST((requestedFrom(fixture.controller.tick()) == 0));
    delta.fromRevision = 0;
    file.name = "b";
    delta.files.push_back(file);
    message.__set_delta(delta);
    fixture.controller.receive(PeerVm, message);
    BOOST_TEST((fixture.controller.files() == newer));
}

BOOST_AUTO_TEST_CASE(SameRevisionWithOtherContentIsIgnored)
{
    // Guards against two contents of one revision being ordered by arrival or by hash.
    ControllerFixture fixture;
    fixture.controller.offerPlatformCopy(Revision { 4 }, { { "a", "1" } });
    fixture.controller.offerPlatformCopy(Revision { 3 }, { { "a", "0" } });
    fixture.controller.offerPlatformCopy(Revision { 4 }, { { "a", "2" } });
    BOOST_TEST((fixture.controller.files() == FileSet { { "a", "1" } }));
    BOOST_TEST(fixture.controller.counters().conflictingCopies == 1U);
    BOOST_TEST(fixture.controller.counters().olderCopiesIgnored == 1U);
    fixture.controller.receive(PeerVm, digestMessage(4, 99));
    BOOST_TEST(fixture.controller.counters().conflictingCopies == 2U);
    BOOST_TEST(!requestedFrom(fixture.controller.tick()).has_value());
}

BOOST_AUTO_TEST_CASE(RefusedSetIsNotValidatedAgain)
{
    // Guards against validating, logging and fetching a refused set repeatedly.
    Core::ManualClock clock;
    int calls = 0;
    Hooks hooks { .accept = [&](Revision, FileSet const&, std::string& reason) {
        ++calls;
        reason = "line 3: unknown key";
        return false;
    } };
    Controller controller { clock, { .self = VmId { 1 }, .zone = Core::ZoneId { 1 }, .peerTimeout = 0ms }, hooks };
    controller.applyMembers({ { VmId { 1 }, Core::ZoneId { 1 } }, { PeerVm, Core::ZoneId { 1 } } });
    FileSet bad { { "a", "bad" } };
    for (int i = 0; i < 3; ++i)
        controller.offerPlatformCopy(Revision { 2 }, bad);
    BOOST_TEST(calls == 1);
    BOOST_TEST(controller.lastRefusal() == "line 3: unknown key");
    controller.receive(PeerVm, digestMessage(2, static_cast<std::int64_t>(digestOf(bad))));
    BOOST_TEST(!requestedFrom(controller.tick()).has_value());
    // A set of a peer with the same revision but different content is not the refused one, so it is fetched.
    controller.receive(PeerVm, digestMessage(2, 99));
    BOOST_TEST(requestedFrom(controller.tick()).has_value());
}

BOOST_AUTO_TEST_CASE(PlatformCopyWaitsForThePeers)
{
    // Guards against a joining member that accepts the platform's copy before its peers have answered.
    ControllerFixture fixture { 3s };
    fixture.controller.offerPlatformCopy(Revision { 4 }, { { "a", "1" } });
    BOOST_TEST(!fixture.controller.revision().isValid());
    fixture.controller.receive(PeerVm, digestMessage(3, 7));
    BOOST_TEST(!fixture.controller.tick().empty());
    BOOST_TEST((fixture.controller.revision() == Revision { 4 }));
}

BOOST_AUTO_TEST_CASE(TooLargeSetIsRefused)
{
    // Guards against accepting a set that is too large for the peers to fetch.
    ControllerFixture fixture;
    fixture.controller.offerPlatformCopy(Revision { 1 }, { { "a", std::string(MaximumFileSetSize, 'x') } });
    BOOST_TEST(!fixture.controller.revision().isValid());
    BOOST_TEST(fixture.controller.counters().refused == 1U);
    BOOST_TEST(!fixture.controller.lastRefusal().empty());
}

BOOST_AUTO_TEST_CASE(InvalidChunksAreIgnored)
{
    // Guards against allocating memory for an invalid chunk count or index, and against content that is not a delta.
    ControllerFixture fixture;
    for (std::int32_t count : { -1, 0, 1'000'000'000, 2 }) {
        for (std::int32_t index : { -1, 0, 1, 5 }) {
            Messages::CopyChunk chunk;
            chunk.revision = 5;
            chunk.digest = 1;
            chunk.count = count;
            chunk.index = index;
            chunk.content = "\xff\xff\xff";
            Messages::DistributionMessage message;
            message.__set_copyChunk(chunk);
            fixture.controller.receive(PeerVm, message);
            fixture.controller.tick();
        }
    }
    BOOST_TEST(!fixture.controller.revision().isValid());
}

BOOST_AUTO_TEST_CASE(DeltasResultInTheSameFilesAsCopies)
{
    // Guards against a delta that results in other files than a full copy, which serves as the reference.
    auto property = [] {
        VersionedFiles source;
        std::vector<VersionedFiles> receivers(3);
        FileSet files;
        auto changes = *rc::gen::inRange(1, 25);
        for (int i = 1; i <= changes; ++i) {
            auto name = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
            if (*rc::gen::inRange(0, 3) == 0)
                files.erase(name);
            else
                files[name] = std::to_string(*rc::gen::inRange(0, 4));
            source.replace(Revision { static_cast<std::uint64_t>(i) }, files);
            auto& receiver = receivers[static_cast<std::size_t>(*rc::gen::inRange(0, 3))];
            auto delta = decode(encode(source.deltaFrom(receiver.revision())));
            RC_ASSERT(delta.has_value());
            auto result = receiver.apply(*delta);
            if (!result) {
                // A source that skipped revisions may not know of a file that was added and removed between them. The
                // digest detects the mismatch, and a full copy resolves it.
                result = receiver.apply(source.deltaFrom(Revision {}));
                RC_ASSERT(result.has_value());
            }
            RC_ASSERT(*result == files);
            receiver.replace(source.revision(), *result);
            // The receiver is the source for the following revisions.
            source = receiver;
        }
    };
    rc::detail::TestParams parameters;
    parameters.seed = 4712;
    parameters.maxSuccess = 200;
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata {}, parameters);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>());
}

BOOST_AUTO_TEST_CASE(UnknownFieldsAndMessagesAreIgnored)
{
    // Guards against an old balancer rejecting the messages of a newer version during a rolling upgrade.
    using apache::thrift::protocol::TCompactProtocol;
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    TCompactProtocol protocol { buffer };
    auto writeNumber = [&](std::int16_t id, std::int64_t value) {
        protocol.writeFieldBegin("", apache::thrift::protocol::T_I64, id);
        protocol.writeI64(value);
        protocol.writeFieldEnd();
    };
    protocol.writeStructBegin("");
    protocol.writeFieldBegin("", apache::thrift::protocol::T_STRUCT, 1);
    protocol.writeStructBegin("");
    writeNumber(1, 8);
    writeNumber(2, 80);
    writeNumber(99, 1);
    protocol.writeFieldStop();
    protocol.writeStructEnd();
    protocol.writeFieldEnd();
    protocol.writeFieldStop();
    protocol.writeStructEnd();

    TCompactProtocol reader { buffer };
    Messages::DistributionMessage message;
    message.read(&reader);
    ControllerFixture fixture;
    fixture.controller.receive(PeerVm, message);
    BOOST_TEST((requestedFrom(fixture.controller.tick()) == 0));
    fixture.controller.receive(PeerVm, Messages::DistributionMessage {});
    BOOST_TEST(!fixture.controller.revision().isValid());
}

BOOST_AUTO_TEST_SUITE_END()
