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

/// What the decisions rested on when a line is written.
struct ViewState {
    /// Version of the routes in force.
    std::uint64_t version { 0 };
    /// How long ago the view was known to be complete; nothing before that.
    std::optional<std::chrono::milliseconds> age;
};

/// Writes a line for each decision that starts, moves or ends a flow, limited by kind of event. The flow's addresses
/// join the lines of all balancers. Not thread-safe.
class FlowLog {
public:
    explicit FlowLog(Core::Clock const&);

    /// A decision on an opening packet, on a later one that was not forwarded, or on the first one here of a flow that
    /// another balancer opened.
    void logDecision(Placement::TokenPacket const&, Placement::TokenDecision const&, ViewState const&);
    /// The flow was given up though no packet of it was at hand.
    void logAbortedFlow(Placement::TokenFlowTable::EndedFlow const&, std::string_view upstream, std::string_view cause);
    /// The answer came late.
    void logLateAnswer(
        Core::FlowKey const&, std::uint64_t request, std::string_view upstream, std::chrono::milliseconds);
    /// An answer was so short that it is probably an error.
    void logShortAnswer(Core::FlowKey const&, std::uint64_t request, std::string_view upstream, std::uint32_t bytes);
    /// Tells what was left out; to be called often.
    void logSuppressedLines();

private:
    Telemetry::EventLimiter m_limiter;
};

}
