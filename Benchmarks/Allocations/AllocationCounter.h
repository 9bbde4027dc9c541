#pragma once

#include <cstdint>

namespace Chicorytally::Benchmarks {

/// Calls of operator new in this program so far, over all threads.
std::uint64_t allocationCount();
/// Bytes that this program holds from operator new, with the overhead of rounding.
std::uint64_t allocatedBytes();

}
