#include <chicorytally/Command.h>
#include <chicorytally/FlowTrace.h>
#include <chicorytally/JsonOutput.h>

#include <algorithm>
#include <filesystem>
#include <fstream>

namespace Chicorytally::Tool {

// Returns the path itself or, for a folder, its files sorted by name.
static std::vector<std::filesystem::path> listLogFiles(std::filesystem::path const& path)
{
    std::error_code error;
    if (!std::filesystem::is_directory(path, error))
        return { path };
    std::vector<std::filesystem::path> files;
    for (auto const& entry : std::filesystem::directory_iterator { path, error }) {
        if (entry.is_regular_file(error))
            files.push_back(entry.path());
    }
    std::ranges::sort(files);
    return files;
}

static int runTrace(Invocation const& invocation)
{
    std::vector<LogLine> lines;
    for (auto const& path : listLogFiles(invocation.operands[1])) {
        std::ifstream file { path };
        if (!file) {
            invocation.err << "chicorytally: " << path.string() << ": can't be read\n";
            return ExitFailure;
        }
        auto read = readLogLines(file, path.stem().string());
        lines.insert(lines.end(), std::make_move_iterator(read.begin()), std::make_move_iterator(read.end()));
    }
    auto trace = traceFlow(lines, invocation.operands[0]);
    if (invocation.isJson) {
        auto json = Json::array();
        for (auto const& line : trace.lines)
            json.push_back({ { "node", line.node }, { "fields", line.fields } });
        printJson(invocation.out, { { "lines", json }, { "cause", trace.cause } });
    } else {
        for (auto const& line : trace.lines)
            invocation.out << line.node << ' ' << line.text << '\n';
        invocation.out << "cause: " << trace.cause << '\n';
    }
    return trace.lines.empty() ? ExitFailure : ExitSuccess;
}

Command traceCommand()
{
    return { "trace", { "ID", "LOG" }, "Print the log lines of a flow in order of time, and what ended it.",
        "ID is a flow (CALLER-SERVICE), a caller (IP:PORT) or a request ID. LOG is a log file of balancers, or a\n"
        "folder of such files. Events of the flow's upstreams and balancers are included from 10 s before its first\n"
        "line. The exit code is 1 when no line matches ID.",
        runTrace };
}

}
