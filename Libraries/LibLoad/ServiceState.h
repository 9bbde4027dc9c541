#pragma once

#include <LibLoad/CandidateSelector.h>
#include <LibLoad/OpenRate.h>
#include <LibLoad/RetryBudget.h>
#include <LibLoad/UpstreamState.h>

#include <vector>

namespace Chicorytally::Load {

/// Everything that the controller holds about one service. Not thread-safe.
struct ServiceState {
    std::chrono::seconds idleTimeout { 0 };
    std::chrono::seconds slowStart { 0 };
    /// The upstreams of the configuration in force. They belong to the controller.
    std::vector<UpstreamState*> upstreams;

    OpenRate opens;
    CandidateSelector selector;
    RetryBudget retryBudget;

    // Brought up to date with every tick.
    bool isPanic { false };
    /// Weight of the upstreams that may get flows.
    double usableWeight { 0 };
    std::optional<double> meanUtilisation;

    /// Flows for each unit of weight, as a mean over the upstreams that get flows and are not in slow start.
    double meanFlowsPerWeight { 0 };
    /// Flows of such an upstream, for the margin of the choice.
    double meanFlows { 0 };
};

}
