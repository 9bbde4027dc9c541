#include "Failures.h"
#include "Scaling.h"
#include "Tree.h"
#include "Wire.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of all random choices");
ABSL_FLAG(std::size_t, largest, 600, "nodes of the largest fleet that is measured");

int main(int argumentCount, char** arguments)
{
    absl::ParseCommandLine(argumentCount, arguments);
    auto seed = absl::GetFlag(FLAGS_seed);
    Chicorytally::Benchmarks::FigureReport report;
    Chicorytally::Benchmarks::measureWireSizes(report);
    Chicorytally::Benchmarks::measureTree(report, seed);
    Chicorytally::Benchmarks::measureScaling(report, seed, absl::GetFlag(FLAGS_largest));
    Chicorytally::Benchmarks::measureFailures(report, seed);
    Chicorytally::Benchmarks::measurePlatformReads(report, seed);
    Chicorytally::Benchmarks::measureNewcomers(report, seed);
    return report.exitCode();
}
