#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

constexpr int ExitGood = 0;
/// Faults in a configuration, or a daemon that can't be asked.
constexpr int ExitFaults = 1;
constexpr int ExitUsage = 2;

/// Runs one command; the arguments don't include the name of the program. Returns the exit code.
int run(std::vector<std::string> const& arguments, std::ostream& out, std::ostream& err);

}
