#pragma once

#include <absl/time/time.h>

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// A log line of a balancer.
struct LogLine {
    /// The balancer that wrote the line: the word before "time=" or, without one, the name of the file.
    std::string node;
    absl::Time time;
    std::map<std::string, std::string, std::less<>> fields;
    /// The line from "time=" on.
    std::string text;

    /// The value of a field; empty when the line doesn't have it.
    std::string field(std::string_view name) const;
};

/// Returns std::nullopt when the text isn't a log line of a balancer.
std::optional<LogLine> parseLogLine(std::string const& text, std::string const& file);
/// Skips all lines that parseLogLine() doesn't accept.
std::vector<LogLine> readLogLines(std::istream&, std::string const& file);

struct FlowTrace {
    /// The lines of the flow and related events of its upstreams and balancers, sorted by time.
    std::vector<LogLine> lines;
    /// A sentence that says what ended or delayed the flow.
    std::string cause;
};

/// The ID is a flow (CALLER-SERVICE, both IP:PORT), a caller (IP:PORT; traces all of its flows), or the ID of a request
/// that the flow carried. Lines are ordered by their timestamps, so the balancers' clocks should be synchronized.
FlowTrace traceFlow(std::vector<LogLine> const&, std::string const& id);

}
