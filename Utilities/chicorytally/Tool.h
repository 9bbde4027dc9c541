#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

constexpr int ExitSuccess = 0;
/// Faults in a configuration, or a daemon that can't be asked.
constexpr int ExitFailure = 1;
constexpr int ExitUsageError = 2;

/// Runs one command; the arguments don't include the name of the program. Returns the exit code.
int run(std::vector<std::string> const& arguments, std::ostream& out, std::ostream& err);

}
