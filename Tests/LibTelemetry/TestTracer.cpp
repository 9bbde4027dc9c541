#include <LibTelemetry/Telemetry.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace Chicorytally;
using namespace Chicorytally::Telemetry;

BOOST_AUTO_TEST_SUITE(TestTracer)

static Core::Hash128 flowHash(std::uint64_t number) { return { Core::hashPair(number, 1), Core::hashPair(number, 2) }; }

static std::chrono::system_clock::time_point wallClock()
{
    return std::chrono::system_clock::time_point { std::chrono::seconds { 1000 } };
}

static void ignore(std::string const&) { }

static std::size_t spansIn(std::string const& line)
{
    return nlohmann::json::parse(line)["resourceSpans"][0]["scopeSpans"][0]["spans"].size();
}

BOOST_AUTO_TEST_CASE(HopsOfAFlowShareOneTrace)
{
    // Guards against balancers that sample different flows or write the hops of a flow into different traces.
    Tracer first { { .vmName = "a", .key = 5, .sampledShare = 0.25 }, ignore };
    Tracer second { { .vmName = "b", .key = 5, .sampledShare = 0.25 }, ignore };
    int sampled = 0;
    for (std::uint64_t i = 0; i < 4000; ++i) {
        BOOST_TEST(first.isSampled(flowHash(i)) == second.isSampled(flowHash(i)));
        BOOST_TEST(first.traceId(flowHash(i)) == second.traceId(flowHash(i)));
        sampled += first.isSampled(flowHash(i));
    }
    BOOST_TEST(sampled > 800);
    BOOST_TEST(sampled < 1200);
}

BOOST_AUTO_TEST_CASE(SampledShareHasLimits)
{
    // Guards against a share of 0 that still samples and a share of 1 that skips flows.
    Tracer none { { .sampledShare = 0 }, ignore };
    Tracer all { { .sampledShare = 1 }, ignore };
    for (std::uint64_t i = 0; i < 1000; ++i) {
        BOOST_TEST(!none.isSampled(flowHash(i)));
        BOOST_TEST(all.isSampled(flowHash(i)));
    }
}

BOOST_AUTO_TEST_CASE(SpansAreWrittenAsOtlp)
{
    // Guards against lines that a collector rejects: ids of the wrong length, or times and integers that aren't
    // strings.
    std::vector<std::string> lines;
    Tracer tracer { { .vmName = "vm-1", .sampledShare = 1 }, [&](auto const& line) { lines.push_back(line); },
        wallClock };
    Span span { .flowHash = flowHash(1), .name = "packet", .duration = std::chrono::nanoseconds { 300 } };
    span.add("verdict", "forward");
    span.add("hop_count", 1);
    tracer.record(span);
    BOOST_TEST(tracer.flush() == 1u);
    BOOST_REQUIRE(lines.size() == 1u);
    auto resource = nlohmann::json::parse(lines[0])["resourceSpans"][0];
    BOOST_TEST(resource["resource"]["attributes"][1]["value"]["stringValue"] == "vm-1");
    auto written = resource["scopeSpans"][0]["spans"][0];
    BOOST_TEST(written["traceId"].get<std::string>().size() == 32u);
    BOOST_TEST(written["spanId"].get<std::string>().size() == 16u);
    BOOST_TEST(written["startTimeUnixNano"] == "999999999700");
    BOOST_TEST(written["endTimeUnixNano"] == "1000000000000");
    BOOST_TEST(written["attributes"][0]["value"]["stringValue"] == "forward");
    BOOST_TEST(written["attributes"][1]["value"]["intValue"] == "1");
}

BOOST_AUTO_TEST_CASE(FullQueueDropsAndCounts)
{
    // Guards against a slow sink that blocks the packet path or makes memory grow.
    std::size_t lines = 0;
    Tracer tracer { { .sampledShare = 1, .queueSize = 8 }, [&](auto const&) { ++lines; } };
    for (int i = 0; i < 20; ++i)
        tracer.record({ .flowHash = flowHash(1), .name = "packet" });
    BOOST_TEST(tracer.recordedCount() == 8u);
    BOOST_TEST(tracer.droppedCount() == 12u);
    BOOST_TEST(tracer.flush() == 8u);
    tracer.record({ .flowHash = flowHash(1), .name = "packet" });
    BOOST_TEST(tracer.recordedCount() == 9u);
}

BOOST_AUTO_TEST_CASE(StopWritesQueuedSpans)
{
    // Guards against the loss of queued spans on a graceful stop.
    static constexpr std::uint64_t SpanCount = 100;
    std::uint64_t spans = 0;
    Tracer tracer { { .sampledShare = 1 }, [&](auto const& line) { spans += spansIn(line); } };
    tracer.start();
    // While the tracer's thread holds the queue, record() drops a span and counts it.
    std::uint64_t attempts = 0;
    for (; tracer.recordedCount() < SpanCount; ++attempts)
        tracer.record({ .flowHash = flowHash(attempts), .name = "packet" });
    tracer.stop();
    BOOST_TEST(spans == SpanCount);
    BOOST_TEST(tracer.droppedCount() == attempts - SpanCount);
}

BOOST_AUTO_TEST_SUITE_END()
