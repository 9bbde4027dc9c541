#pragma once

#include <LibCore/Core.h>
#include <LibPlacement/Placement.h>
#include <LibTelemetry/Telemetry.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Chicorytally::Balancer {

/// State of the balancer's view at the time of a log line.
struct ViewState {
    /// Version of the current routes.
    std::uint64_t version { 0 };
    /// Time since the view was last known to be complete; unset if it never was.
    std::optional<std::chrono::milliseconds> age;
};

/// Writes a rate-limited log line for each decision that starts, moves or ends a flow; each kind of event has its own
/// limit. The flow's addresses correlate the lines of all balancers. Not thread-safe.
class FlowLog {
public:
    explicit FlowLog(Core::Clock const&);

    /// Logs the decision on an opening packet, on a later packet that was not forwarded, or on the first packet at this
    /// balancer of a flow that another balancer opened.
    void logDecision(Placement::TokenPacket const&, Placement::TokenDecision const&, ViewState const&);
    /// Logs that a flow was aborted independently of any packet.
    void logAbortedFlow(Placement::TokenFlowTable::EndedFlow const&, std::string_view upstream, std::string_view cause);
    /// Logs an answer that took too long.
    void logLateAnswer(
        Core::FlowKey const&, std::uint64_t request, std::string_view upstream, std::chrono::milliseconds);
    /// Logs an answer that is so short that it is probably an error.
    void logShortAnswer(Core::FlowKey const&, std::uint64_t request, std::string_view upstream, std::uint32_t bytes);
    /// Logs how many lines the rate limit suppressed. Must be called regularly.
    void logSuppressedLines();

private:
    Telemetry::EventLimiter m_limiter;
};

}
