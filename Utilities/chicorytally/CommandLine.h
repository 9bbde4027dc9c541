#pragma once

#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// The parsed command line, without its flags.
struct CommandLine {
    /// The command, followed by its operands.
    std::vector<std::string> positionalArguments;
    bool isHelpRequested { false };
};

/// Sets the Abseil flags of the tool and returns the rest. All arguments after "--" are positional. Returns
/// std::nullopt and sets the error when a flag is unknown or has an invalid value.
///
/// absl::ParseCommandLine() isn't used because it exits with code 1 on a usage error and prints one help text for all
/// commands.
std::optional<CommandLine> parseCommandLine(std::vector<std::string> const& arguments, std::string& error);

/// Values that the last call of parseCommandLine() set.
std::string formatFlag();
std::string daemonFlag();

/// Help text of all flags.
std::string flagHelp();

}
