#pragma once

#include <LibLoad/CandidateSelector.h>
#include <LibLoad/OpenRate.h>
#include <LibLoad/RetryBudget.h>
#include <LibLoad/UpstreamState.h>

#include <vector>

namespace Chicorytally::Load {

/// All state that the controller keeps for one service. Not thread-safe.
struct ServiceState {
    std::chrono::seconds idleTimeout { 0 };
    std::chrono::seconds slowStart { 0 };
    /// The upstreams in the current configuration, owned by the controller.
    std::vector<UpstreamState*> upstreams;

    OpenRate opens;
    CandidateSelector selector;
    RetryBudget retryBudget;

    // Updated on every tick and whenever a configuration is applied.
    bool isPanic { false };
    /// Total weight of the upstreams that may get flows.
    double usableWeight { 0 };
    std::optional<double> meanUtilisation;

    /// Mean number of flows per unit of weight over the usable upstreams that are not in slow start.
    double meanFlowsPerWeight { 0 };
    /// Mean number of flows of these upstreams, used for the margin of the selector.
    double meanFlows { 0 };
};

}
