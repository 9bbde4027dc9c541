#include <LibTelemetry/Telemetry.h>

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace Chicorytally::Telemetry;

BOOST_AUTO_TEST_SUITE(TestMetrics)

static bool contains(std::string const& text, std::string const& part) { return text.find(part) != std::string::npos; }

BOOST_AUTO_TEST_CASE(CounterIsTheSumOfItsShards)
{
    // Guards against a scrape that lacks the packets of one worker.
    Metrics metrics;
    auto& counter = metrics.counter("packets_total", "Packets.", { { "verdict", "forward" } });
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&shard = counter.makeShard()] {
            for (int packet = 0; packet < 1000; ++packet)
                shard.add();
        });
    }
    for (auto& thread : threads)
        thread.join();
    counter.add(5);
    BOOST_TEST(counter.value() == 4005u);
    BOOST_TEST(contains(metrics.renderText(), "packets_total{verdict=\"forward\"} 4005"));
}

BOOST_AUTO_TEST_CASE(HistogramBoundsAreInclusive)
{
    // Guards against bucket bounds that Prometheus and Boost.Histogram interpret differently.
    Metrics metrics;
    auto& histogram = metrics.histogram("batch_size", "Packets per batch.", { 1, 2, 4 });
    for (double value : { 0.0, 1.0, 2.0, 3.0, 4.0, 5.0 })
        histogram.record(value);
    BOOST_TEST(histogram.counts() == (std::vector<std::uint64_t> { 2, 1, 2, 1 }), boost::test_tools::per_element());
    auto text = metrics.renderText();
    BOOST_TEST(contains(text, "batch_size_bucket{le=\"1\"} 2"));
    BOOST_TEST(contains(text, "batch_size_bucket{le=\"4\"} 5"));
    BOOST_TEST(contains(text, "batch_size_bucket{le=\"+Inf\"} 6"));
    BOOST_TEST(contains(text, "batch_size_sum 15"));
}

BOOST_AUTO_TEST_CASE(LabelsAreEscaped)
{
    // Guards against a name chosen by an operator that breaks the text format.
    Metrics metrics;
    metrics.gauge("open_flows", "Flows.", { { "service", "a\"b\\c\nd" } }).set(2.5);
    BOOST_TEST(contains(metrics.renderText(), "open_flows{service=\"a\\\"b\\\\c\\nd\"} 2.5"));
}

BOOST_AUTO_TEST_CASE(ObservedValuesAreReadOnEachScrape)
{
    // Guards against a stale value and against a deadlock when a callback uses the metrics itself.
    Metrics metrics;
    double value = 1;
    metrics.observeGauge("members", "Members.", [&] {
        metrics.counter("scrapes_total", "Scrapes.").add();
        return value;
    });
    metrics.renderText();
    value = 7;
    BOOST_TEST(contains(metrics.renderText(), "members 7"));
    BOOST_TEST(metrics.counter("scrapes_total", "Scrapes.").value() == 2u);
}

BOOST_AUTO_TEST_CASE(NameHasOneType)
{
    // Guards against a metric family with mixed types, which scrapers reject as a whole.
    Metrics metrics;
    metrics.counter("packets_total", "Packets.");
    BOOST_CHECK_THROW(metrics.gauge("packets_total", "Packets."), std::logic_error);
}

BOOST_AUTO_TEST_SUITE_END()
