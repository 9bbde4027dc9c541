#pragma once

#include <Report/FigureReport.h>

#include <cstdint>

namespace Chicorytally::Benchmarks {

/// Control traffic, processor time and memory of a node against nodes, upstreams and changes a day, with slopes, the
/// time until a change is in force, and the reads of the platform.
void measureScaling(FigureReport&, std::uint64_t seed, std::size_t largest);

}
