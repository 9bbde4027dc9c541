#include <Allocations/AllocationCounter.h>
#include <LibLoad/Load.h>
#include <Report/FigureReport.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <chrono>
#include <random>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the loads and response times");

namespace Chicorytally::Benchmarks {

using namespace std::chrono_literals;

// The form service of the forms site.
static constexpr std::uint64_t UpstreamCount = 120;
static constexpr std::uint64_t ZoneCount = 3;
static constexpr int Choices = 20'000;
static constexpr int Rounds = 9;

struct Selection {
    Core::ManualClock clock;
    Core::ServiceId service { Directory::serviceId("register") };
    Directory::UpstreamDirectory directory { clock, {}, {} };
    Load::UpstreamLoadCounter load;
    Load::UpstreamLiveness liveness { clock, {}, {} };
    Load::ZoneReachability zones { clock, {}, {} };
    Load::RequestFailureDetector failures { clock, {}, [](auto) {} };
    Load::UpstreamSpeed speeds { clock, {} };
    Load::SharedLoadView view { clock, Core::VmId { 1 }, {}, directory, speeds, load };
    Load::SpilloverControl spillover { clock, {}, {} };
    Load::ReturningUpstreams returning { clock, {}, {} };
    Load::LeastLoadedSelector selector { { .zone = Core::ZoneId { 1 } }, directory, load, liveness, zones, failures,
        returning, view, spillover };

    explicit Selection(std::uint64_t seed)
    {
        std::mt19937_64 random { seed };
        for (std::uint64_t id = 1; id <= UpstreamCount; ++id) {
            Directory::UpstreamEntry entry;
            entry.upstream.id = Core::UpstreamId { id };
            entry.upstream.address = *Core::Endpoint::parse("10.0.0." + std::to_string(id) + ":80");
            entry.upstream.zone = Core::ZoneId { id % ZoneCount + 1 };
            entry.upstream.slots = 2;
            entry.service = service;
            entry.revision = Core::Revision { 1 };
            directory.applyUpstream(entry);
            liveness.noteProgress(entry.upstream.id);
            for (auto flows = random() % 4; flows > 0; --flows)
                load.flowOpened(entry.upstream.id);
        }
    }

    /// Learns responses of which every second upstream's take this many times as long as those of the others.
    void learn(int relativeTime)
    {
        auto route = *Core::Endpoint::parse("198.18.0.1:443");
        for (int i = 0; i < 20; ++i) {
            for (std::uint64_t id = 1; id <= UpstreamCount; ++id)
                speeds.noteResponse(Core::UpstreamId { id }, route, 20ms * (id % 2 == 0 ? relativeTime : 1));
        }
        view.tick();
    }

    /// Nanoseconds per choice of the fastest of several rounds, which is the least disturbed by other processes.
    double measure()
    {
        double best = 1e9;
        for (int round = 0; round < Rounds; ++round) {
            auto start = std::chrono::steady_clock::now();
            for (int i = 0; i < Choices; ++i) {
                if (!selector.choose(service, {}))
                    std::abort();
            }
            auto elapsed = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
            best = std::min(best, elapsed / Choices);
        }
        return best;
    }
};

static int run()
{
    Selection even { absl::GetFlag(FLAGS_seed) };
    Selection uneven { absl::GetFlag(FLAGS_seed) };
    even.learn(1);
    uneven.learn(4);
    if (even.view.flowLoads(even.service) || !uneven.view.flowLoads(uneven.service))
        std::abort();
    auto allocations = allocationCount();
    auto evenTime = even.measure();
    auto unevenTime = uneven.measure();
    allocations = allocationCount() - allocations;
    FigureReport report;
    report.add("selection_even_speeds", evenTime, "ns");
    report.add("selection_uneven_speeds", unevenTime, "ns");
    report.addAtMost("selection_uneven_to_even", unevenTime / evenTime, 1.1, "ratio");
    report.addAtMost("selection_allocations", static_cast<double>(allocations), 0, "allocations");
    return report.exitCode();
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return Chicorytally::Benchmarks::run();
}
