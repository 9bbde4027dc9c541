/// How much of a bare UDP echo one worker reaches with its whole filter chain, and what it allocates.

#include "Bench.h"

#include <Report/FigureReport.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the flows.");

using namespace Chicorytally;
using namespace Chicorytally::Benchmarks;

static constexpr std::size_t Rounds = 31;
static constexpr std::size_t BatchesPerRound = 200;
static constexpr double PacketsPerRound = BatchesPerRound * DataPath::BatchSize;
static constexpr double LeastShareOfEcho = 0.6;

static double median(std::vector<double> values)
{
    std::ranges::sort(values);
    return values[values.size() / 2];
}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    Bench bench { absl::GetFlag(FLAGS_seed) };
    // Opens every flow, and lets counters and buffers come into being.
    bench.runChain(2 * Bench::FlowCount / DataPath::BatchSize, Packet::Syn);
    bench.runChain(BatchesPerRound, Packet::Ack);
    bench.runEcho(BatchesPerRound);

    std::vector<double> shares;
    std::vector<double> chainTimes;
    std::vector<double> echoTimes;
    auto allocationsBefore = bench.allocationsInChain();
    for (std::size_t round = 0; round < Rounds; ++round) {
        auto echo = bench.runEcho(BatchesPerRound);
        auto chain = bench.runChain(BatchesPerRound, Packet::Ack);
        echoTimes.push_back(static_cast<double>(echo.count()) / PacketsPerRound);
        chainTimes.push_back(static_cast<double>(chain.count()) / PacketsPerRound);
        shares.push_back(static_cast<double>(echo.count()) / static_cast<double>(chain.count()));
    }

    auto allocations = bench.allocationsInChain() - allocationsBefore;
    FigureReport report;
    report.addAtLeast("forwarding_share_of_echo", median(shares), LeastShareOfEcho, "ratio");
    report.add("forwarding_share_of_echo_least_round", std::ranges::min(shares), "ratio");
    report.add("forwarding_chain_time", median(chainTimes), "ns/packet");
    report.add("forwarding_echo_time", median(echoTimes), "ns/packet");
    report.addAtMost("forwarding_allocations", static_cast<double>(allocations) / (Rounds * PacketsPerRound), 0,
        "allocations/packet");
    report.addAtMost("forwarding_lost", static_cast<double>(bench.lostCount()), 0, "packets");
    return report.exitCode();
}
