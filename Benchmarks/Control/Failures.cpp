#include "Failures.h"

#include <HarnessControl/Fleet.h>
#include <HarnessControl/SampleFiles.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <numeric>

namespace Chicorytally::Benchmarks {

using namespace std::chrono_literals;
using Core::Revision;
using Membership::MemberState;

static constexpr double ReadsBound = 2000;

static bool isGone(MemberState state) { return state == MemberState::Unreachable || state == MemberState::Dead; }

static std::size_t countObservers(Fleet& fleet, std::size_t subject)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        count += fleet.node(i).isRunning && isGone(fleet.stateSeenBy(i, subject)) ? 1 : 0;
    return count;
}

/// Verdicts about running members, counted once per second and pair.
static std::size_t falseVerdicts(Fleet& fleet)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (!fleet.node(i).isRunning)
            continue;
        for (auto const& member : fleet.node(i).membership->members())
            count += isGone(member.state) ? 1 : 0;
    }
    return count;
}

struct Shape {
    std::size_t nodes;
    std::size_t zones;
};

struct Detection {
    double first { 0 };
    double everywhere { 0 };
};

static Detection timeDetection(Fleet& fleet, std::size_t victim)
{
    fleet.crash(victim);
    auto first = fleet.runUntil([&] { return countObservers(fleet, victim) > 0; }, 60s).value_or(60s);
    auto rest = fleet.runUntil([&] { return countObservers(fleet, victim) == fleet.size() - 1; }, 60s).value_or(60s);
    fleet.start(victim);
    fleet.runUntil([&] { return fleet.isConverged(); }, 30s);
    return { static_cast<double>(first.count()), static_cast<double>((first + rest).count()) };
}

static void measureDetection(FigureReport& report, std::uint64_t seed, Shape const& shape, double loss)
{
    Fleet fleet { { .nodes = shape.nodes, .zones = shape.zones, .seed = seed } };
    fleet.startAll();
    fleet.runUntil([&] { return fleet.isConverged(); }, 60s);
    fleet.setLoss(loss);
    std::size_t wrong = 0;
    constexpr int Seconds = 120;
    for (int second = 0; second < Seconds; ++second) {
        fleet.run(1s);
        wrong += falseVerdicts(fleet);
    }
    constexpr int Crashes = 6;
    std::vector<Detection> detections;
    for (std::size_t i = 0; i < Crashes; ++i)
        detections.push_back(timeDetection(fleet, (i * 7 + 1) % shape.nodes));
    auto mean = [&](double Detection::*value) {
        return std::accumulate(detections.begin(), detections.end(), 0.0, [&](double sum, Detection const& detection) {
            return sum + detection.*value;
        }) / Crashes;
    };
    auto slowest = std::max_element(detections.begin(), detections.end(),
        [](Detection const& a, Detection const& b) { return a.everywhere < b.everywhere; });
    auto suffix = absl::StrCat("_", shape.nodes, "_nodes_", loss * 100, "_percent_loss");
    report.add("detection_first" + suffix, mean(&Detection::first), "ms");
    report.add("detection_everywhere" + suffix, mean(&Detection::everywhere), "ms");
    report.add("detection_everywhere_slowest" + suffix, slowest->everywhere, "ms");
    auto nodeHours = static_cast<double>(shape.nodes) * Seconds / 3600;
    report.add("false_verdicts" + suffix, static_cast<double>(wrong) / nodeHours, "pair-seconds/node-hour");
}

static void measureZoneLoss(FigureReport& report, std::uint64_t seed)
{
    Fleet fleet { { .nodes = 180, .zones = 9, .seed = seed, .isSealed = true } };
    fleet.startAll();
    fleet.runUntil([&] { return fleet.isConverged(); }, 60s);
    fleet.run(30s);
    fleet.resetTraffic();
    for (std::size_t i = 0; i < fleet.size(); i += 9)
        fleet.crash(i);
    std::uint64_t busiest = 0;
    std::uint64_t before = 0;
    int second = 0;
    for (; second < 60 && !fleet.isConverged(); ++second) {
        fleet.run(1s);
        auto bytes = fleet.totalTraffic().bytes;
        busiest = std::max(busiest, bytes - before);
        before = bytes;
    }
    report.add("zone_loss_seen_everywhere_180_nodes", second, "s");
    report.add("zone_loss_busiest_second_per_node_180_nodes", static_cast<double>(busiest) / 160, "B/s");
}

static void measureMerge(FigureReport& report, std::uint64_t seed, Shape const& shape)
{
    Fleet fleet { { .nodes = shape.nodes, .zones = shape.zones, .seed = seed, .isSealed = true } };
    fleet.startAll();
    fleet.runUntil([&] { return fleet.isConverged(); }, 60s);
    fleet.run(10s);
    fleet.isConnected = [](std::size_t from, std::size_t to) { return from % 2 == to % 2; };
    fleet.run(60s);
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    std::uint64_t busiest = 0;
    std::chrono::milliseconds merged { 0 };
    while (!fleet.isConverged() && merged < 60s) {
        auto before = fleet.totalTraffic().bytes;
        merged += fleet.runUntil([&] { return fleet.isConverged(); }, 900ms).value_or(1s);
        busiest = std::max(busiest, fleet.totalTraffic().bytes - before);
    }
    auto suffix = absl::StrCat("_", shape.nodes, "_nodes");
    report.add("merge_after_partition" + suffix, static_cast<double>(merged.count()), "ms");
    report.add("merge_busiest_second_per_node" + suffix,
        static_cast<double>(busiest) / static_cast<double>(shape.nodes), "B/s");
}

void measureFailures(FigureReport& report, std::uint64_t seed)
{
    for (auto const& shape : { Shape { 5, 3 }, Shape { 50, 5 } }) {
        for (double loss : { 0.0, 0.05, 0.2 })
            measureDetection(report, seed, shape, loss);
    }
    measureZoneLoss(report, seed);
    measureMerge(report, seed, { 5, 3 });
    measureMerge(report, seed, { 100, 4 });
}

void measurePlatformReads(FigureReport& report, std::uint64_t seed)
{
    Fleet fleet { { .nodes = 270, .zones = 9, .seed = seed, .hasDistribution = true } };
    fleet.publish(Revision { 1 }, sampleFiles(38));
    fleet.startAll();
    fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 1 }); }, 60s);
    auto& platform = fleet.platform();
    report.addAtMost("platform_reads_cold_start_busiest_second_270_nodes", static_cast<double>(platform.busiestSecond),
        ReadsBound, "1/s");

    platform.isReachable = [](std::size_t) { return false; };
    fleet.run(60s);
    auto before = platform.reads;
    fleet.run(60s);
    report.addAtMost(
        "platform_reads_during_outage_270_nodes", static_cast<double>(platform.reads - before) / 60, ReadsBound, "1/s");
    platform.busiestSecond = 0;
    platform.isReachable = [](std::size_t) { return true; };
    fleet.publish(Revision { 2 }, sampleFiles(40));
    auto passed = fleet.runUntil([&] { return fleet.isInForceEverywhere(Revision { 2 }); }, 60s).value_or(60s);
    report.addAtMost("in_force_everywhere_after_outage", static_cast<double>(passed.count()), 12'000, "ms");
    fleet.run(10s);
    report.addAtMost("platform_reads_after_outage_busiest_second_270_nodes",
        static_cast<double>(platform.busiestSecond), ReadsBound, "1/s");

    // The design size restarts 3,000 of 2,100 VMs a day; here 30 restarts follow each other every 2 s, 58 times as
    // often.
    before = platform.reads;
    for (std::size_t i = 0; i < 30; ++i) {
        fleet.crash(i * 9);
        fleet.run(1s);
        fleet.start(i * 9);
        fleet.run(1s);
    }
    report.addAtMost(
        "platform_reads_with_restarts_270_nodes", static_cast<double>(platform.reads - before) / 60, ReadsBound, "1/s");
}

/// The time until the newcomer knows every member and has the configuration; what it received and sent meanwhile.
static void measureNewcomer(FigureReport& report, std::uint64_t seed, Shape const& shape, std::size_t upstreams)
{
    Fleet fleet {
        { .nodes = shape.nodes, .zones = shape.zones, .seed = seed, .isSealed = true, .hasDistribution = true }
    };
    fleet.publish(Revision { 1 }, sampleFiles(upstreams));
    auto newcomer = shape.nodes - 1;
    for (std::size_t i = 0; i < newcomer; ++i)
        fleet.start(i);
    fleet.runUntil([&] { return fleet.isConverged() && fleet.isInForceEverywhere(Revision { 1 }); }, 120s);
    fleet.run(10s);
    fleet.resetTraffic();
    fleet.start(newcomer);
    auto knows = fleet.runUntil([&] { return fleet.node(newcomer).membership->members().size() == shape.nodes; }, 60s);
    auto hasConfiguration
        = fleet.runUntil([&] { return fleet.node(newcomer).distribution->revision().isValid(); }, 120s);
    auto const& node = fleet.node(newcomer);
    auto bytes = node.received.bytes + node.membershipSent.bytes + node.distributionSent.bytes;
    auto suffix = absl::StrCat("_", shape.nodes, "_nodes_", upstreams, "_upstreams");
    report.add("newcomer_knows_members" + suffix, static_cast<double>(knows.value_or(60s).count()), "ms");
    report.add("newcomer_has_configuration" + suffix,
        static_cast<double>((knows.value_or(60s) + hasConfiguration.value_or(120s)).count()), "ms");
    report.add("newcomer_bytes" + suffix, static_cast<double>(bytes), "B");
}

void measureNewcomers(FigureReport& report, std::uint64_t seed)
{
    measureNewcomer(report, seed, { 5, 3 }, 38);
    measureNewcomer(report, seed, { 100, 5 }, 38);
    measureNewcomer(report, seed, { 300, 9 }, 38);
    measureNewcomer(report, seed, { 100, 5 }, 4000);
}

}
