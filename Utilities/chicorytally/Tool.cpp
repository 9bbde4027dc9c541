#include <chicorytally/Command.h>
#include <chicorytally/CommandLine.h>

#include <LibCore/Core.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace Chicorytally::Tool {

static std::vector<Command> const& commands()
{
    static std::vector<Command> const Commands { checkCommand(), showCommand(), diffCommand(), statusCommand(),
        upstreamsCommand(), membersCommand(), explainCommand(), traceCommand() };
    return Commands;
}

static std::string synopsis(Command const& command)
{
    auto text = command.name;
    for (auto const& operand : command.operands)
        absl::StrAppend(&text, " ", operand);
    return text;
}

static void printHelp(std::ostream& out)
{
    out << "Checks and compares configurations, queries a running chicorytallyd, and traces flows in logs.\n\nusage: "
           "chicorytally COMMAND "
           "[--flag=VALUE ...]\n\n";
    for (auto const& command : commands())
        out << absl::StrFormat("  %-16s %s\n", synopsis(command), command.summary);
    out << "\n" << flagHelp() << "\nExit codes: 0 good, 1 faults found or no answer, 2 bad usage.\n";
}

static void printHelp(Command const& command, std::ostream& out)
{
    out << "usage: chicorytally " << synopsis(command) << " [--flag=VALUE ...]\n\n"
        << command.summary << "\n\n"
        << command.help << "\n\n"
        << flagHelp();
}

static int printUsageError(std::ostream& err, std::string const& error)
{
    err << "chicorytally: " << error << "; see chicorytally --help\n";
    return ExitUsageError;
}

static Command const* findCommand(std::string const& name)
{
    auto position = std::ranges::find(commands(), name, &Command::name);
    return position != commands().end() ? &*position : nullptr;
}

int run(std::vector<std::string> const& arguments, std::ostream& out, std::ostream& err)
{
    std::string error;
    auto commandLine = parseCommandLine(arguments, error);
    if (!commandLine)
        return printUsageError(err, error);
    auto const& positionalArguments = commandLine->positionalArguments;
    if (positionalArguments.empty()) {
        printHelp(commandLine->isHelpRequested ? out : err);
        return commandLine->isHelpRequested ? ExitSuccess : ExitUsageError;
    }
    auto const* command = findCommand(positionalArguments.front());
    if (!command)
        return printUsageError(err, absl::StrCat("unknown command '", positionalArguments.front(), "'"));
    if (commandLine->isHelpRequested) {
        printHelp(*command, out);
        return ExitSuccess;
    }
    if (positionalArguments.size() != 1 + command->operands.size())
        return printUsageError(err, absl::StrCat("write 'chicorytally ", synopsis(*command), "'"));
    auto format = formatFlag();
    if (format != "table" && format != "json")
        return printUsageError(err, absl::StrCat("--format=", format, ": use table or json"));
    return command->run(
        { { positionalArguments.begin() + 1, positionalArguments.end() }, format == "json", daemonFlag(), out, err });
}

}
