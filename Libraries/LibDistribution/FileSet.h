#pragma once

#include <LibCore/Core.h>

#include <cstdint>
#include <map>
#include <string>

namespace Chicorytally::Distribution {

/// A complete configuration, as a map from file name to content.
using FileSet = std::map<std::string, std::string>;

/// Maximum total size of the names and contents of a file set, in bytes.
constexpr std::size_t MaximumFileSetSize = 1 << 20;

/// Returns a hash over all names and contents. All balancers compute the same hash for the same set.
std::uint64_t digestOf(FileSet const&);

}
