#pragma once

#include <cstdint>

namespace Chicorytally::Benchmarks {

/// Calls of operator new in this program so far, over all threads.
std::uint64_t allocationCount();

}
