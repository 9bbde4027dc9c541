#pragma once

#include <LibCore/Core.h>

#include <cstdint>
#include <map>
#include <string>

namespace Chicorytally::Distribution {

/// A complete configuration: content by file name.
using FileSet = std::map<std::string, std::string>;

/// Greatest encoded size of a file set.
constexpr std::size_t MaximumFileSetSize = 1 << 20;

/// Hash over all names and contents; equal on all balancers for equal sets.
std::uint64_t digestOf(FileSet const&);

}
