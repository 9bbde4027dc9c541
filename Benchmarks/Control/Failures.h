#pragma once

#include <Report/FigureReport.h>

#include <cstdint>

namespace Chicorytally::Benchmarks {

/// Detection time and false positives under loss, loss of an availability zone, and merging after a partition.
void measureFailures(FigureReport&, std::uint64_t seed);

/// Reads of the platform at a cold start, during an outage and after it.
void measurePlatformReads(FigureReport&, std::uint64_t seed);

/// Bytes and time that a newcomer needs.
void measureNewcomers(FigureReport&, std::uint64_t seed);

}
