#include <chicorytally/CommandLine.h>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/str_cat.h>

#include <array>

ABSL_FLAG(std::string, format, "table", "Output format: table or json.");
ABSL_FLAG(std::string, daemon, "127.0.0.1:9180", "IP:PORT of the HTTP server of the daemon that is asked.");

namespace Chicorytally::Tool {

// Flags of linked libraries are not accepted.
static constexpr std::array<char const*, 2> FlagNames { "format", "daemon" };

static absl::CommandLineFlag* findFlag(std::string const& name)
{
    for (auto const* known : FlagNames) {
        if (name == known)
            return absl::FindCommandLineFlag(name);
    }
    return nullptr;
}

// Tests run several commands in one process, so each run has to start with the defaults.
static void resetFlags()
{
    std::string ignored;
    for (auto const* name : FlagNames) {
        auto* flag = absl::FindCommandLineFlag(name);
        flag->ParseFrom(flag->DefaultValue(), &ignored);
    }
}

static bool isFlag(std::string const& argument) { return argument.size() > 1 && argument.front() == '-'; }

// Sets the flag at the position. When its value is the next argument, advances the position to it.
static bool setFlag(std::vector<std::string> const& arguments, std::size_t& position, std::string& error)
{
    auto const& argument = arguments[position];
    auto nameBegin = argument.find_first_not_of('-');
    auto equals = argument.find('=');
    auto name = nameBegin == std::string::npos ? argument : argument.substr(nameBegin, equals - nameBegin);
    auto* flag = nameBegin <= 2 ? findFlag(name) : nullptr;
    if (!flag) {
        error = absl::StrCat("unknown flag '", argument, "'; the flags are --format and --daemon");
        return false;
    }
    if (equals == std::string::npos && position + 1 == arguments.size()) {
        error = absl::StrCat("flag --", name, " has no value; write --", name, "=VALUE");
        return false;
    }
    auto value = equals == std::string::npos ? arguments[++position] : argument.substr(equals + 1);
    return flag->ParseFrom(value, &error);
}

std::optional<CommandLine> parseCommandLine(std::vector<std::string> const& arguments, std::string& error)
{
    resetFlags();
    CommandLine commandLine;
    bool hasFlagParsingEnded = false;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        auto const& argument = arguments[i];
        if (hasFlagParsingEnded || !isFlag(argument))
            commandLine.positionalArguments.push_back(argument);
        else if (argument == "--")
            hasFlagParsingEnded = true;
        else if (argument == "--help" || argument == "-h")
            commandLine.isHelpRequested = true;
        else if (!setFlag(arguments, i, error))
            return std::nullopt;
    }
    return commandLine;
}

std::string formatFlag() { return absl::GetFlag(FLAGS_format); }

std::string daemonFlag() { return absl::GetFlag(FLAGS_daemon); }

std::string flagHelp()
{
    std::string text;
    for (auto const* name : FlagNames) {
        auto* flag = absl::FindCommandLineFlag(name);
        absl::StrAppend(&text, "  --", name, "=", flag->DefaultValue(), "\n      ", flag->Help(), "\n");
    }
    return text + "  --help\n      This text, or that of a command.\n";
}

}
