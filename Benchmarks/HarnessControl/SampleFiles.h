#pragma once

#include <LibDistribution/FileSet.h>

namespace Chicorytally::Benchmarks {

/// Configuration files with one service of 8 upstreams per file, which is the mean of the design size (14,000 upstreams
/// behind 1,800 addresses).
Distribution::FileSet sampleFiles(std::size_t upstreams);

/// Changes the weight of one upstream; which one follows from the revision.
void changeOne(Distribution::FileSet&, std::uint64_t revision);

}
