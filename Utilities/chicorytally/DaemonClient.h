#pragma once

#include <chicorytally/Command.h>
#include <chicorytally/JsonOutput.h>

namespace Chicorytally::Tool {

/// Requests a JSON object from the daemon's HTTP server and prints it, or the error, in the selected format. See
/// printObject() for the columns. Returns the exit code.
int printResponse(Invocation const&, std::string const& path, std::vector<std::string> const& firstColumns);

}
