#include "Scaling.h"

#include <HarnessControl/Fleet.h>
#include <HarnessControl/SampleFiles.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <malloc.h>

namespace Chicorytally::Benchmarks {

using namespace std::chrono_literals;
using Core::Revision;

static constexpr std::chrono::seconds MeasuringTime { 60 };
static constexpr double BytesPerNodeBound = 5000;
static constexpr double InForceBound = 12'000;

struct Load {
    std::size_t nodes;
    std::size_t zones;
    std::size_t upstreams;
    double changesPerDay;
};

struct Cost {
    double bytesPerSecond { 0 };
    double messagesPerSecond { 0 };
    double busiestSecondBytes { 0 };
    /// Share of one core, in percent.
    double processorPercent { 0 };
    double memoryBytes { 0 };
    double inForceMilliseconds { 0 };
    double platformReadsPerSecond { 0 };
};

struct Line {
    double slope { 0 };
    double intercept { 0 };
};

static Line fit(std::vector<std::pair<double, double>> const& points)
{
    double sumX = 0;
    double sumY = 0;
    double sumXX = 0;
    double sumXY = 0;
    auto count = static_cast<double>(points.size());
    for (auto const& [x, y] : points) {
        sumX += x;
        sumY += y;
        sumXX += x * x;
        sumXY += x * y;
    }
    auto slope = (count * sumXY - sumX * sumY) / (count * sumXX - sumX * sumX);
    return { slope, (sumY - slope * sumX) / count };
}

static std::size_t usedMemory() { return mallinfo2().uordblks; }

/// Publishes the changes and runs; the longest time until a change was in force everywhere.
static std::chrono::milliseconds runWithChanges(
    Fleet& fleet, Load const& load, std::vector<std::uint64_t>& bytesPerSecond)
{
    std::chrono::milliseconds slowest { 0 };
    auto files = sampleFiles(load.upstreams);
    std::uint64_t revision = 1;
    double due = 0;
    for (int second = 0; second < MeasuringTime.count(); ++second) {
        auto before = fleet.totalTraffic().bytes;
        due += load.changesPerDay / 86'400;
        for (; due >= 1; due -= 1) {
            changeOne(files, ++revision);
            fleet.publish(Revision { revision }, files);
        }
        fleet.run(1s);
        bytesPerSecond.push_back(fleet.totalTraffic().bytes - before);
    }
    // Two changes one after the other, timed.
    for (int change = 0; change < 2; ++change) {
        changeOne(files, ++revision);
        fleet.publish(Revision { revision }, files);
        auto passed = fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { revision }); }, 60s);
        slowest = std::max(slowest, passed.value_or(60s));
    }
    return slowest;
}

/// Runs until the updates of the common start are spread, which takes longer in a larger fleet.
static void settle(Fleet& fleet)
{
    constexpr std::chrono::seconds Step { 10 };
    constexpr std::chrono::seconds Limit { 300 };
    auto previous = fleet.totalTraffic().bytes;
    std::uint64_t last = 0;
    for (std::chrono::seconds passed { 0 }; passed < Limit; passed += Step) {
        fleet.run(Step);
        auto total = fleet.totalTraffic().bytes;
        auto bytes = total - previous;
        previous = total;
        bool isLow = static_cast<double>(bytes) / Step.count() / static_cast<double>(fleet.size()) < 900;
        if (isLow && last != 0 && bytes * 100 >= last * 97)
            return;
        last = bytes;
    }
}

static Cost measure(Load const& load, std::uint64_t seed)
{
    auto memoryBefore = usedMemory();
    Fleet fleet {
        { .nodes = load.nodes, .zones = load.zones, .seed = seed, .isSealed = true, .hasDistribution = true }
    };
    fleet.publish(Revision { 1 }, sampleFiles(load.upstreams));
    fleet.startAll();
    fleet.runUntil([&] { return fleet.isConverged() && fleet.isInForceEverywhere(Revision { 1 }); }, 120s);
    settle(fleet);
    Cost cost;
    auto nodes = static_cast<double>(load.nodes);
    cost.memoryBytes = static_cast<double>(usedMemory() - memoryBefore) / nodes;
    fleet.resetTraffic();
    auto readsBefore = fleet.platform().reads;
    std::vector<std::uint64_t> bytesPerSecond;
    auto started = fleet.clock().now();
    cost.inForceMilliseconds = static_cast<double>(runWithChanges(fleet, load, bytesPerSecond).count());
    auto seconds = std::chrono::duration<double> { fleet.clock().now() - started }.count();
    auto traffic = fleet.totalTraffic();
    cost.bytesPerSecond = static_cast<double>(traffic.bytes) / seconds / nodes;
    cost.messagesPerSecond = static_cast<double>(traffic.messages) / seconds / nodes;
    cost.busiestSecondBytes
        = static_cast<double>(*std::max_element(bytesPerSecond.begin(), bytesPerSecond.end())) / nodes;
    std::chrono::nanoseconds processorTime { 0 };
    for (std::size_t i = 0; i < fleet.size(); ++i)
        processorTime += fleet.node(i).processorTime;
    cost.processorPercent = std::chrono::duration<double> { processorTime }.count() / seconds / nodes * 100;
    cost.platformReadsPerSecond = static_cast<double>(fleet.platform().reads - readsBefore) / seconds;
    return cost;
}

static void print(FigureReport& report, std::string const& suffix, Cost const& cost)
{
    report.add(absl::StrCat("control_bytes_per_node", suffix), cost.bytesPerSecond, "B/s");
    report.add(absl::StrCat("control_messages_per_node", suffix), cost.messagesPerSecond, "1/s");
    report.add(absl::StrCat("control_busiest_second_per_node", suffix), cost.busiestSecondBytes, "B/s");
    report.add(absl::StrCat("control_processor_per_node", suffix), cost.processorPercent, "%core");
    report.add(absl::StrCat("control_memory_per_node", suffix), cost.memoryBytes, "B");
}

using Points = std::vector<std::pair<double, Cost>>;

static void printSlopes(FigureReport& report, std::string const& quantity, Points const& points)
{
    auto print = [&](std::string const& name, std::string const& unit, double Cost::*value) {
        std::vector<std::pair<double, double>> line;
        for (auto const& [x, cost] : points)
            line.emplace_back(x, cost.*value);
        auto fitted = fit(line);
        report.add(absl::StrCat("slope_", name, "_per_", quantity), fitted.slope, unit);
        report.add(absl::StrCat("base_", name, "_at_0_", quantity), fitted.intercept, unit);
    };
    print("bytes", "B/s", &Cost::bytesPerSecond);
    print("messages", "1/s", &Cost::messagesPerSecond);
    print("processor", "%core", &Cost::processorPercent);
    print("memory", "B", &Cost::memoryBytes);
}

static void measureNodes(FigureReport& report, std::uint64_t seed, std::size_t largest)
{
    // The smallest is the size of a site, with the design size's rate of changes.
    std::vector<Load> loads { { 5, 3, 38, 8700 }, { 50, 5, 38, 8700 }, { 200, 9, 38, 8700 }, { largest, 9, 38, 8700 } };
    Points points;
    for (auto const& load : loads) {
        auto cost = measure(load, seed);
        auto suffix = absl::StrCat("_", load.nodes, "_nodes");
        print(report, suffix, cost);
        report.addAtMost(absl::StrCat("in_force_everywhere", suffix), cost.inForceMilliseconds, InForceBound, "ms");
        report.addAtMost(absl::StrCat("platform_reads", suffix), cost.platformReadsPerSecond, 2000, "1/s");
        points.emplace_back(static_cast<double>(load.nodes), cost);
    }
    report.addAtMost(
        "control_bytes_per_node_at_the_site", points.front().second.bytesPerSecond, BytesPerNodeBound, "B/s");
    printSlopes(report, "node", points);
}

static void measureUpstreams(FigureReport& report, std::uint64_t seed)
{
    Points points;
    for (std::size_t upstreams : { 38, 500, 2000, 4000 }) {
        auto cost = measure({ 20, 3, upstreams, 8700 }, seed);
        auto suffix = absl::StrCat("_", upstreams, "_upstreams");
        print(report, suffix, cost);
        report.addAtMost(absl::StrCat("in_force_everywhere", suffix), cost.inForceMilliseconds, InForceBound, "ms");
        points.emplace_back(static_cast<double>(upstreams), cost);
    }
    printSlopes(report, "upstream", points);
}

static void measureChanges(FigureReport& report, std::uint64_t seed)
{
    Points points;
    for (double changesPerDay : { 0, 8700, 34'800, 86'400 }) {
        auto cost = measure({ 50, 5, 500, changesPerDay }, seed);
        auto suffix = absl::StrCat("_", changesPerDay, "_changes_a_day");
        print(report, suffix, cost);
        points.emplace_back(changesPerDay, cost);
    }
    printSlopes(report, "change_a_day", points);
}

void measureScaling(FigureReport& report, std::uint64_t seed, std::size_t largest)
{
    measureNodes(report, seed, largest);
    measureUpstreams(report, seed);
    measureChanges(report, seed);
}

}
