#include <Allocations/AllocationCounter.h>
#include <Harness/Sites.h>
#include <LibPlacement/BucketState.h>
#include <LibPlacement/Placement.h>
#include <Report/FigureReport.h>

#include <absl/container/flat_hash_map.h>
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <random>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the flows and of the order of packets");

static std::uint64_t s_roundAllocations = 0;

namespace Chicorytally::Benchmarks {

using Harness::Sites;
using Placement::PacketInfo;
using Placement::PacketKind;
using Placement::Verdict;

static constexpr std::size_t FlowCount = 500'000;
static constexpr std::size_t PacketCount = 1'000'000;
static constexpr std::uint64_t HashKey = 77;
static constexpr int Rounds = 7;

struct KeyHash {
    std::size_t operator()(Core::FlowKey const& key) const { return key.hash(HashKey).low; }
};

static std::vector<PacketInfo> makeFlows(Model::Configuration const& configuration, std::mt19937_64& random)
{
    std::vector<PacketInfo> flows;
    for (std::uint32_t i = 0; i < FlowCount; ++i) {
        auto const& service = configuration.services[i % configuration.services.size()];
        std::array<std::uint8_t, 4> source { 100, static_cast<std::uint8_t>(i >> 16), static_cast<std::uint8_t>(i >> 8),
            static_cast<std::uint8_t>(i) };
        Core::FlowKey key { { Core::IpAddress::fromV4(source), static_cast<std::uint16_t>(1024 + random() % 60000) },
            service.address, service.protocol };
        flows.push_back({ .flow = key, .service = service.id, .kind = PacketKind::Data });
    }
    return flows;
}

/// Nanoseconds per packet of the fastest of several rounds; the fastest is the least disturbed by other processes.
template <typename Function>
static double fastestRound(std::vector<PacketInfo> const& packets, Placement::Engine* engine, Function function)
{
    double best = 1e9;
    for (int round = 0; round < Rounds; ++round) {
        // An engine without ticks takes itself to have been paused.
        if (engine)
            engine->tick();
        auto allocations = allocationCount();
        auto start = std::chrono::steady_clock::now();
        std::uint64_t found = 0;
        for (auto const& packet : packets)
            found += function(packet);
        auto elapsed = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
        s_roundAllocations += allocationCount() - allocations;
        if (found != packets.size())
            std::abort();
        best = std::min(best, elapsed / static_cast<double>(packets.size()));
    }
    return best;
}

struct Held {
    Core::SystemClock clock;
    std::unique_ptr<Placement::Engine> engine;
    double bytesPerFlow { 0 };
};

/// With `isTracked`, each flow is placed off the baseline, so that each packet needs its record.
static void hold(
    Held& held, std::vector<PacketInfo> const& flows, Harness::ConfigurationPointer configuration, bool isTracked)
{
    Placement::EngineHooks hooks;
    if (isTracked)
        hooks.select = [](Placement::SelectionRequest const& request) {
            return Placement::Selection { request.candidates.size() - 1, Placement::Reason::NoUpstream };
        };
    held.engine = std::make_unique<Placement::Engine>(
        held.clock, Placement::EngineOptions { .self = Model::vmId("self"), .hashKey = HashKey }, hooks);
    held.engine->applyConfiguration(std::move(configuration));
    held.engine->tick();
    auto before = allocatedBytes();
    // The first opens make the buckets tracked and are dropped; the second round places all.
    for (int round = 0; round < 2; ++round) {
        held.engine->tick();
        for (auto packet : flows) {
            packet.kind = PacketKind::Open;
            held.engine->decide(packet);
        }
        held.engine->tick();
    }
    held.bytesPerFlow = static_cast<double>(allocatedBytes() - before) / static_cast<double>(flows.size());
}

static int run()
{
    std::mt19937_64 random { absl::GetFlag(FLAGS_seed) };
    auto site = Sites::accra();
    auto configuration = Sites::commit(site);
    auto flows = makeFlows(*configuration, random);
    std::vector<PacketInfo> packets;
    for (std::size_t i = 0; i < PacketCount; ++i)
        packets.push_back(flows[random() % flows.size()]);

    Held steady;
    Held tracked;
    hold(steady, flows, configuration, false);
    hold(tracked, flows, configuration, true);
    absl::flat_hash_map<Core::FlowKey, Core::UpstreamId, KeyHash> bare;
    for (auto const& flow : flows)
        bare[flow.flow] = Core::UpstreamId { 1 };

    auto bareTime = fastestRound(
        packets, nullptr, [&](PacketInfo const& packet) { return bare.find(packet.flow)->second.value(); });
    auto forwards = [](Held& held) {
        return [&held](PacketInfo const& packet) {
            return held.engine->decide(packet).verdict == Verdict::Forward ? 1u : 0u;
        };
    };
    auto steadyTime = fastestRound(packets, steady.engine.get(), forwards(steady));
    auto trackedTime = fastestRound(packets, tracked.engine.get(), forwards(tracked));
    auto perPacket = static_cast<double>(s_roundAllocations) / (2.0 * Rounds * PacketCount);

    FigureReport report;
    report.add("bytes_per_bucket", sizeof(Placement::BucketState), "bytes");
    report.add("decision_flows_held", static_cast<double>(tracked.engine->counters().records), "flows");
    report.add("decision_differing_flows", static_cast<double>(tracked.engine->counters().differingRecords), "flows");
    report.add("decision_bare_lookup", bareTime, "ns");
    report.add("decision_steady", steadyTime, "ns");
    report.add("decision_tracked", trackedTime, "ns");
    report.addAtMost("decision_steady_to_bare", steadyTime / bareTime, 3, "ratio");
    report.addAtMost("decision_tracked_to_bare", trackedTime / bareTime, 3, "ratio");
    report.addAtMost("decision_bytes_per_flow_steady", steady.bytesPerFlow, 64, "bytes");
    report.addAtMost("decision_bytes_per_flow_tracked", tracked.bytesPerFlow, 64, "bytes");
    report.addAtMost("decision_allocations_per_packet", perPacket, 0, "allocations");
    return report.exitCode();
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return Chicorytally::Benchmarks::run();
}
