#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

constexpr int ExitSuccess = 0;
/// A configuration has faults, a file can't be read, no log line matches, or the request to the daemon failed.
constexpr int ExitFailure = 1;
constexpr int ExitUsageError = 2;

/// Runs one command. The arguments don't include the program name. Returns the exit code.
int run(std::vector<std::string> const& arguments, std::ostream& out, std::ostream& err);

}
