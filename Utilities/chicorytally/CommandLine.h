#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// The command line, taken apart.
struct CommandLine {
    /// Command and operands.
    std::vector<std::string> positionalArguments;
    bool isHelpRequested { false };
};

/// Sets the Abseil flags of the tool and returns the rest; after "--" everything is a word. Nothing when a flag is
/// unknown or bad; the error then says which.
///
/// absl::ParseCommandLine() isn't used, because it ends the process with exit code 1 on a usage error and prints one
/// help for all commands.
std::optional<CommandLine> parseCommandLine(std::vector<std::string> const& arguments, std::string& error);

/// Values of the flags.
std::string formatFlag();
std::string daemonFlag();

/// Lines that describe the flags, for the help.
std::string flagHelp();

}
