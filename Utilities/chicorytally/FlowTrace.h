#pragma once

#include <absl/time/time.h>

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// A line that a balancer wrote.
struct LogLine {
    /// Where it was written: the word in front of its time, or the name of the file.
    std::string node;
    absl::Time time;
    std::map<std::string, std::string, std::less<>> fields;
    /// From the time on.
    std::string text;

    /// Empty when the line has no such field.
    std::string field(std::string_view name) const;
};

/// Nothing when the text is no line of a balancer.
std::optional<LogLine> parseLogLine(std::string const& text, std::string const& file);
std::vector<LogLine> readLogLines(std::istream&, std::string const& file);

struct FlowTrace {
    /// The lines of the flow and what happened to its upstreams and balancers shortly before, by time.
    std::vector<LogLine> lines;
    /// What ended or delayed the flow, as a sentence.
    std::string cause;
};

/// Traces the flow with that name (CALLER-SERVICE, both IP:PORT), all flows of that caller (IP:PORT), or the flow that
/// carried the request with that id. The clocks of the balancers should agree.
FlowTrace traceFlow(std::vector<LogLine> const&, std::string const& id);

}
