#pragma once

#include <chicorytally/Command.h>
#include <chicorytally/JsonOutput.h>

namespace Chicorytally::Tool {

/// Asks the daemon for one JSON object and prints it. A failure is printed in the chosen format. Returns the exit code.
int printResponse(Invocation const&, std::string const& path, std::vector<std::string> const& firstColumns);

}
