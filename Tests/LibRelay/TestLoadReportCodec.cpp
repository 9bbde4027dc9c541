#include <LibRelay/Relay.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Load::UpstreamLoadReport;

namespace {

constexpr auto Infinity = std::numeric_limits<double>::infinity();
constexpr std::size_t Space = 1000;

struct Case {
    char const* name;
    UpstreamLoadReport original;
    UpstreamLoadReport expected;
};

std::ostream& operator<<(std::ostream& stream, Case const& test) { return stream << test.name; }

UpstreamLoadReport report(std::uint64_t id, std::uint64_t incarnation, std::uint32_t inFlight, double time,
    double weight, std::chrono::milliseconds age)
{
    return { Core::UpstreamId { id }, Core::Incarnation { incarnation }, inFlight, time, weight, age };
}

auto const Maximum64 = std::numeric_limits<std::uint64_t>::max();
auto const Maximum32 = std::numeric_limits<std::uint32_t>::max();
double const GreatestTime = std::exp2(127.0 / 16);
double const GreatestWeight = std::exp2(191.0 / 8);

Case const Cases[] = {
    { "exact values", report(7, 3, 15, 1, 1, 40ms), report(7, 3, 15, 1, 1, 40ms) },
    { "nothing known", report(1, 0, 0, 0, 0, 0ms), report(1, 0, 0, 0, 0, 0ms) },
    { "greatest numbers", report(Maximum64, Maximum64, Maximum32, Infinity, Infinity, 1h),
        report(Maximum64, Maximum64, 0xf800'0000, GreatestTime, GreatestWeight, 5100ms) },
    { "smallest numbers", report(1, 1, 1, 1e-300, 1e-300, 1ms),
        report(1, 1, 1, std::exp2(-127.0 / 16), std::exp2(-63.0 / 8), 20ms) },
    { "negative numbers", report(1, 1, 1, -Infinity, -1, -5ms), report(1, 1, 1, 0, 0, 0ms) },
    { "not a number", report(1, 1, 1, std::nan(""), std::nan(""), 0ms), report(1, 1, 1, 0, 0, 0ms) },
    { "the longest age", report(1, 1, 1, 1, 1, std::chrono::milliseconds::max()), report(1, 1, 1, 1, 1, 5100ms) },
};

std::string encode(std::vector<Relay::LoadRecord> const& records, std::size_t space = Space)
{
    Relay::LoadReportWriter writer { space };
    for (auto const& record : records)
        writer.add(record);
    return writer.bytes();
}

Relay::LoadRecord record(std::uint64_t reporter, Relay::ReportSequence sequence, std::uint64_t upstream)
{
    return { Core::VmId { reporter }, sequence, report(upstream, 1, 2, 1, 1, 0ms) };
}

}

BOOST_AUTO_TEST_SUITE(LoadReportCodec)

BOOST_DATA_TEST_CASE(RecordsAreDecodedAsEncoded, boost::unit_test::data::make(Cases), test)
{
    // Guards against numbers at their limits that wrap, overflow or turn into others.
    auto records = Relay::decodeLoadRecords(encode({ { Core::VmId { 5 }, 0xffff, test.original } }));
    BOOST_REQUIRE(records.has_value());
    BOOST_REQUIRE(records->size() == 1U);
    BOOST_CHECK(records->front() == (Relay::LoadRecord { Core::VmId { 5 }, 0xffff, test.expected }));
}

BOOST_AUTO_TEST_CASE(RoundedNumbersAreClose)
{
    // Guards against a coarse code that hides differences in load.
    for (double value = 1; value < Maximum32; value *= 1.01) {
        auto inFlight = static_cast<std::uint32_t>(value);
        auto records = Relay::decodeLoadRecords(encode({ { Core::VmId { 5 }, 1, report(1, 1, inFlight, 1, 1, 0ms) } }));
        BOOST_REQUIRE(records.has_value());
        auto ratio = records->front().observation.requestsInFlight / static_cast<double>(inFlight);
        BOOST_TEST((ratio > 0.93 && ratio < 1.07), "value " << inFlight << ", ratio " << ratio);
    }
}

BOOST_AUTO_TEST_CASE(RecordsOfAReportShareAHeader)
{
    // Guards against messages that hold fewer records than the byte budget assumes, and against mixing up reporters.
    std::vector<Relay::LoadRecord> const records { record(5, 1, 1), record(5, 1, 2), record(5, 2, 3), record(6, 2, 4) };
    auto bytes = encode(records);
    constexpr std::size_t SmallRecord = 7;
    BOOST_TEST(bytes.size() == 3 * Relay::LoadRecordHeaderSize + 4 * SmallRecord);
    BOOST_CHECK(Relay::decodeLoadRecords(bytes) == records);
}

BOOST_AUTO_TEST_CASE(MoreRecordsThanABlockHolds)
{
    // Guards against a count of one byte that wraps.
    std::vector<Relay::LoadRecord> records;
    for (std::uint64_t upstream = 1; upstream <= 600; ++upstream)
        records.push_back(record(5, 1, upstream));
    BOOST_CHECK(Relay::decodeLoadRecords(encode(records, 10'000)) == records);
}

BOOST_AUTO_TEST_CASE(TruncatedRecordsAreRejected)
{
    // Guards against reading beyond a message.
    std::vector<Relay::LoadRecord> const records { { Core::VmId { 5 }, 1, Cases[2].original }, record(5, 1, 2) };
    auto bytes = encode(records);
    for (std::size_t size = 1; size < bytes.size(); ++size)
        BOOST_TEST(!Relay::decodeLoadRecords(bytes.substr(0, size)).has_value(), size);
}

BOOST_AUTO_TEST_CASE(MalformedRecordsAreRejected)
{
    // Guards against a length beyond that of a number, a block without records and a reporter of 0.
    auto bytes = encode({ record(5, 1, 1) });
    auto longId = bytes;
    longId[Relay::LoadRecordHeaderSize] = static_cast<char>(0x91);
    auto emptyBlock = bytes.substr(0, Relay::LoadRecordHeaderSize);
    emptyBlock.back() = 0;
    auto noReporter = encode({ record(0, 1, 1) });
    for (auto const& malformed : { longId, emptyBlock, noReporter })
        BOOST_TEST(!Relay::decodeLoadRecords(malformed).has_value());
}

BOOST_AUTO_TEST_CASE(RecordThatDoesNotFitIsLeftOut)
{
    // Guards against messages beyond their maximum size, and against a header without records.
    Relay::LoadReportWriter writer { 20 };
    BOOST_TEST(writer.add(record(5, 1, 1)));
    auto bytes = writer.bytes();
    BOOST_TEST(!writer.add(record(5, 1, 2)));
    BOOST_TEST(!writer.add(record(6, 1, 2)));
    BOOST_TEST(writer.bytes() == bytes);
}

BOOST_AUTO_TEST_CASE(SequencesWrap)
{
    // Guards against rejecting all reports after the sequence has wrapped.
    BOOST_TEST(Relay::isNewer(0, 0xffff));
    BOOST_TEST(!Relay::isNewer(0xffff, 0));
    BOOST_TEST(!Relay::isNewer(7, 7));
}

BOOST_AUTO_TEST_SUITE_END()
