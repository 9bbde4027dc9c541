#include <LibBalancer/FlowLog.h>

#include <absl/strings/str_cat.h>

namespace Chicorytally::Balancer {

using Placement::PacketKind;
using Placement::Verdict;
using Telemetry::Level;
using Telemetry::logEvent;

// Limit for each kind of event. At 100 opens per second and balancer, half of the opens are logged; at usual loads,
// all of them are.
static constexpr std::uint32_t MaxLinesPerSecond = 50;

FlowLog::FlowLog(Core::Clock const& clock)
    : m_limiter(clock, MaxLinesPerSecond)
{
}

static std::string formatFlow(Core::FlowKey const& flow)
{
    return flow.source.toString() + "-" + flow.destination.toString();
}

static std::string formatRequestId(std::uint64_t request)
{
    return request == 0 ? std::string { "unknown" } : absl::StrCat(absl::Hex(request, absl::kZeroPad16));
}

static std::string upstreamName(Directory::UpstreamRecord const* upstream)
{
    return upstream ? upstream->entry.upstream.name : std::string { "none" };
}

static std::string_view eventName(Placement::TokenPacket const& packet, Verdict verdict)
{
    bool isOpen = packet.kind == PacketKind::Open;
    switch (verdict) {
    case Verdict::Forward:
        return isOpen ? "flow_opened" : "flow_joined";
    case Verdict::Refuse:
    case Verdict::Reset:
        return isOpen ? "open_refused" : "flow_reset";
    case Verdict::ForwardToPeer:
    case Verdict::Drop:
        break;
    }
    return isOpen ? "open_dropped" : "packet_dropped";
}

void FlowLog::logDecision(
    Placement::TokenPacket const& packet, Placement::TokenDecision const& decision, ViewState const& view)
{
    auto event = eventName(packet, decision.verdict);
    if (!m_limiter.admit(event))
        return;
    if (!decision.detail.empty()) {
        logEvent(Level::Info, event,
            { { "flow", formatFlow(packet.flow) }, { "reason", toString(decision.reason) },
                { "detail", decision.detail }, { "version", view.version } });
        return;
    }
    logEvent(Level::Info, event,
        { { "flow", formatFlow(packet.flow) }, { "request", formatRequestId(packet.requestId) },
            { "upstream", upstreamName(decision.upstream) }, { "reason", toString(decision.reason) },
            { "token", packet.token }, { "version", view.version },
            { "view_age_ms", view.age ? view.age->count() : -1 } });
}

void FlowLog::logAbortedFlow(
    Placement::TokenFlowTable::EndedFlow const& flow, std::string_view upstream, std::string_view cause)
{
    // Flows with a request in progress have an event of their own, so that lines about idle flows don't use up their
    // limit.
    std::string_view event = flow.requestId != 0 ? "request_cut" : "flow_given_up";
    if (!m_limiter.admit(event))
        return;
    logEvent(Level::Info, event,
        { { "flow", formatFlow(flow.flow) }, { "request", formatRequestId(flow.requestId) }, { "upstream", upstream },
            { "cause", cause } });
}

void FlowLog::logLateAnswer(
    Core::FlowKey const& flow, std::uint64_t request, std::string_view upstream, std::chrono::milliseconds duration)
{
    if (!m_limiter.admit("request_late"))
        return;
    logEvent(Level::Info, "request_late",
        { { "flow", formatFlow(flow) }, { "request", formatRequestId(request) }, { "upstream", upstream },
            { "ms", duration.count() } });
}

void FlowLog::logShortAnswer(
    Core::FlowKey const& flow, std::uint64_t request, std::string_view upstream, std::uint32_t bytes)
{
    if (!m_limiter.admit("answer_short"))
        return;
    logEvent(Level::Info, "answer_short",
        { { "flow", formatFlow(flow) }, { "request", formatRequestId(request) }, { "upstream", upstream },
            { "bytes", bytes } });
}

void FlowLog::logSuppressedLines()
{
    m_limiter.report([](std::string_view event, std::uint64_t count) {
        logEvent(Level::Warn, "lines_left_out", { { "of", event }, { "count", count } });
    });
}

}
