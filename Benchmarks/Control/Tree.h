#pragma once

#include <Report/FigureReport.h>

#include <cstdint>

namespace Chicorytally::Benchmarks {

/// A model, not the daemon's code: a notice travels down a tree over all members and the acknowledgements come back
/// aggregated, with loss and repetition per hop. Gives the time until the root knows that all have acknowledged and the
/// messages per member, for the design size.
void measureTree(FigureReport&, std::uint64_t seed);

}
