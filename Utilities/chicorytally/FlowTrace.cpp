#include <chicorytally/FlowTrace.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <set>

namespace Chicorytally::Tool {

// Must exceed the time in which a balancer detects any of the events.
static constexpr absl::Duration ContextWindow = absl::Seconds(10);

std::string LogLine::field(std::string_view name) const
{
    auto position = fields.find(name);
    return position == fields.end() ? std::string {} : position->second;
}

// Log collectors that merge several logs put the name of the node before the time.
static std::string lastWord(std::string_view prefix)
{
    std::vector<std::string> words
        = absl::StrSplit(absl::string_view { prefix.data(), prefix.size() }, ' ', absl::SkipWhitespace());
    return words.empty() ? std::string {} : words.back();
}

std::optional<LogLine> parseLogLine(std::string const& text, std::string const& file)
{
    static constexpr std::string_view TimeField { "time=" };
    auto begin = text.find(TimeField);
    auto level = text.find(" level=");
    if (begin == std::string::npos || level == std::string::npos || level < begin)
        return std::nullopt;
    LogLine line;
    auto time = absl::StrReplaceAll(
        text.substr(begin + TimeField.size(), level - begin - TimeField.size()), { { ",", "." } });
    std::string error;
    if (!absl::ParseTime("%Y-%m-%d %H:%M:%E*S", time, &line.time, &error))
        return std::nullopt;
    auto node = lastWord(std::string_view { text }.substr(0, begin));
    line.node = node.empty() ? file : node;
    line.text = text.substr(begin);
    for (auto word : absl::StrSplit(text.substr(level), ' ', absl::SkipWhitespace())) {
        std::pair<std::string, std::string> field = absl::StrSplit(word, absl::MaxSplits('=', 1));
        line.fields.insert(std::move(field));
    }
    return line;
}

std::vector<LogLine> readLogLines(std::istream& stream, std::string const& file)
{
    std::vector<LogLine> lines;
    for (std::string text; std::getline(stream, text);) {
        if (auto line = parseLogLine(text, file))
            lines.push_back(std::move(*line));
    }
    return lines;
}

namespace {

    /// The flows that match an ID, and the upstreams, nodes and time range of their lines.
    struct FlowContext {
        std::set<std::string> flows;
        std::set<std::string> upstreams;
        std::set<std::string> nodes;
        absl::Time firstTime { absl::InfiniteFuture() };
        absl::Time lastTime { absl::InfinitePast() };
    };

}

static bool matchesId(LogLine const& line, std::string const& id)
{
    auto flow = line.field("flow");
    return flow == id || flow.starts_with(id + "-") || (!flow.empty() && line.field("request") == id);
}

static FlowContext collectContext(std::vector<LogLine> const& lines, std::string const& id)
{
    FlowContext context;
    for (auto const& line : lines) {
        if (matchesId(line, id))
            context.flows.insert(line.field("flow"));
    }
    for (auto const& line : lines) {
        if (!context.flows.contains(line.field("flow")))
            continue;
        context.upstreams.insert(line.field("upstream"));
        context.nodes.insert(line.node);
        context.firstTime = std::min(context.firstTime, line.time);
        context.lastTime = std::max(context.lastTime, line.time);
    }
    return context;
}

static bool isContextLine(LogLine const& line, FlowContext const& context)
{
    static constexpr std::array<std::string_view, 12> NodeEvents { "started", "stopped", "shutdown_started", "paused",
        "source_lost", "source_regained", "not_ready", "ready", "zone_lost", "zone_out", "contention_started",
        "contention_ended" };
    bool isInWindow = line.time >= context.firstTime - ContextWindow && line.time <= context.lastTime;
    if (!isInWindow || !context.nodes.contains(line.node) || !line.field("flow").empty())
        return false;
    return context.upstreams.contains(line.field("upstream"))
        || std::ranges::find(NodeEvents, line.field("event")) != NodeEvents.end();
}

static std::string describeLossCause(std::string const& cause)
{
    static std::map<std::string, std::string, std::less<>> const Texts {
        { "silent_requests", "requests got no answer, and probes neither" },
        { "unanswered_open", "an opening packet got no answer, and neither did probes" },
        { "unlisted", "it was no longer in discovery, and it answered no probe" },
        { "reported", "another balancer got no answer from it, and neither did this balancer's probes" },
        { "zone_silent", "other upstreams of its zone didn't answer, and it answered no probe" },
        { "restarted", "its process was restarted" },
        { "superseded", "another upstream took its address" },
    };
    auto text = Texts.find(cause);
    return text == Texts.end() ? cause : text->second;
}

static std::string describeOverload(std::string const& detail)
{
    static std::map<std::string, std::string, std::less<>> const Texts {
        { "no_capacity", "more urgent requests and open flows took all of it" },
        { "caller_share", "the caller's address had used up its share" },
        { "retry_share", "retries of refused callers had used up their share" },
        { "copy", "it is a copy of a packet that was refused" },
    };
    auto text = Texts.find(detail);
    return absl::StrCat("the service had too little capacity, and ", text == Texts.end() ? detail : text->second);
}

static std::string describeReason(LogLine const& line)
{
    auto reason = line.field("reason");
    if (reason == "unknown_service")
        return absl::StrCat("version ", line.field("version"), " has no route to this address");
    if (reason == "unknown_token")
        return "no upstream in discovery has the routing token of its packets";
    if (reason == "upstream_gone")
        return absl::StrCat("its upstream ", line.field("upstream"), " had already been lost");
    if (reason == "no_upstream")
        return "no upstream of the service accepts new flows";
    if (reason == "not_synchronised")
        return "the balancer had no routes yet";
    if (reason == "overloaded")
        return describeOverload(line.field("detail"));
    return reason;
}

// Describes how the event of a line ended or delayed its flow. Empty for other events.
static std::string describeOutcome(LogLine const& line)
{
    auto event = line.field("event");
    if (event == "request_cut" || event == "flow_given_up")
        return absl::StrCat(line.node, " reset the flow because its upstream ", line.field("upstream"),
            " was lost: ", describeLossCause(line.field("cause")), ".");
    if (event == "flow_reset" || event == "open_refused")
        return absl::StrCat(line.node, " answered with a reset: ", describeReason(line), ".");
    if (event == "open_dropped" || event == "packet_dropped")
        return absl::StrCat(line.node, " dropped the packet: ", describeReason(line), ".");
    if (event == "answer_short")
        return absl::StrCat("The upstream ", line.field("upstream"), " answered with ", line.field("bytes"),
            " bytes, probably an error.");
    if (event == "request_late")
        return absl::StrCat("The upstream ", line.field("upstream"), " took ", line.field("ms"), " ms to answer.");
    return {};
}

FlowTrace traceFlow(std::vector<LogLine> const& lines, std::string const& id)
{
    auto context = collectContext(lines, id);
    FlowTrace trace;
    for (auto const& line : lines) {
        if (context.flows.contains(line.field("flow")) || isContextLine(line, context))
            trace.lines.push_back(line);
    }
    std::ranges::stable_sort(trace.lines, {}, &LogLine::time);
    if (context.flows.empty()) {
        trace.cause = "No line matches this ID: its lines exceeded the log limit (see lines_left_out), or its packets "
                      "reached none of these balancers.";
        return trace;
    }
    for (auto const& line : trace.lines) {
        if (auto text = describeOutcome(line); !text.empty())
            trace.cause = std::move(text);
    }
    if (trace.cause.empty())
        trace.cause
            = "These balancers forwarded its packets and saw no failure: check the upstream and the network path "
              "from the caller to it.";
    return trace;
}

}
