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

struct Bench {
    explicit Bench(std::chrono::milliseconds peerWait = 0ms)
        : controller(clock, { .self = VmId { 1 }, .zone = Core::ZoneId { 1 }, .peerTimeout = peerWait }, {})
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

BOOST_AUTO_TEST_CASE(GapLeadsToAFullCopy)
{
    // Guards against a delta that is applied to other files than it was made for.
    Bench bench;
    bench.controller.offerPlatformCopy(Revision { 1 }, { { "a", "1" } });
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
    bench.controller.receive(PeerVm, message);
    BOOST_TEST(bench.controller.counters().mismatchedDeltas == 1U);
    BOOST_TEST((bench.controller.revision() == Revision { 1 }));
    BOOST_TEST((bench.controller.files() == FileSet { { "a", "1" } }));

    bench.controller.receive(PeerVm, digestMessage(2, delta.toDigest));
    BOOST_TEST((requestedFrom(bench.controller.tick()) == 0));
    delta.fromRevision = 0;
    file.name = "b";
    delta.files.push_back(file);
    message.__set_delta(delta);
    bench.controller.receive(PeerVm, message);
    BOOST_TEST((bench.controller.files() == newer));
}

BOOST_AUTO_TEST_CASE(SameRevisionWithOtherContentIsRefused)
{
    // Guards against an order of revisions that depends on which copy came first or on a hash.
    Bench bench;
    bench.controller.offerPlatformCopy(Revision { 4 }, { { "a", "1" } });
    bench.controller.offerPlatformCopy(Revision { 3 }, { { "a", "0" } });
    bench.controller.offerPlatformCopy(Revision { 4 }, { { "a", "2" } });
    BOOST_TEST((bench.controller.files() == FileSet { { "a", "1" } }));
    BOOST_TEST(bench.controller.counters().conflictingCopies == 1U);
    BOOST_TEST(bench.controller.counters().olderCopiesIgnored == 1U);
    bench.controller.receive(PeerVm, digestMessage(4, 99));
    BOOST_TEST(bench.controller.counters().conflictingCopies == 2U);
    BOOST_TEST(!requestedFrom(bench.controller.tick()).has_value());
}

BOOST_AUTO_TEST_CASE(RefusedSetIsNotTriedAgain)
{
    // Guards against a refused set that is validated, logged and fetched again and again.
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
    // A peer's set of the same revision with other content is another set.
    controller.receive(PeerVm, digestMessage(2, 99));
    BOOST_TEST(requestedFrom(controller.tick()).has_value());
}

BOOST_AUTO_TEST_CASE(HeldCopyWaitsForThePeers)
{
    // Guards against a newcomer that trusts the platform before its peers have answered.
    Bench bench { 3s };
    bench.controller.offerPlatformCopy(Revision { 4 }, { { "a", "1" } });
    BOOST_TEST(!bench.controller.revision().isValid());
    bench.controller.receive(PeerVm, digestMessage(3, 7));
    BOOST_TEST(!bench.controller.tick().empty());
    BOOST_TEST((bench.controller.revision() == Revision { 4 }));
}

BOOST_AUTO_TEST_CASE(TooLargeSetIsRefused)
{
    // Guards against a set that no peer could fetch.
    Bench bench;
    bench.controller.offerPlatformCopy(Revision { 1 }, { { "a", std::string(MaximumFileSetSize, 'x') } });
    BOOST_TEST(!bench.controller.revision().isValid());
    BOOST_TEST(bench.controller.counters().refused == 1U);
    BOOST_TEST(!bench.controller.lastRefusal().empty());
}

BOOST_AUTO_TEST_CASE(ImplausibleChunksChangeNothing)
{
    // Guards against memory that a wrong chunk count or index claims, and against content that is no delta.
    Bench bench;
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
            bench.controller.receive(PeerVm, message);
            bench.controller.tick();
        }
    }
    BOOST_TEST(!bench.controller.revision().isValid());
}

BOOST_AUTO_TEST_CASE(DeltasLeadToTheSameFilesAsCopies)
{
    // Guards against a delta that leads to other files than the whole copy, which is the naive version.
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
                // A source that skipped revisions may not know of a file that came and went between them. The digest
                // shows the gap, and a full copy closes it.
                result = receiver.apply(source.deltaFrom(Revision {}));
                RC_ASSERT(result.has_value());
            }
            RC_ASSERT(*result == files);
            receiver.replace(source.revision(), *result);
            // A receiver serves others from then on.
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
    // Guards against a rolling change in which an old balancer rejects the messages of a new one.
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
    Bench bench;
    bench.controller.receive(PeerVm, message);
    BOOST_TEST((requestedFrom(bench.controller.tick()) == 0));
    bench.controller.receive(PeerVm, Messages::DistributionMessage {});
    BOOST_TEST(!bench.controller.revision().isValid());
}

BOOST_AUTO_TEST_SUITE_END()
