#pragma once

#include <LibLoad/DrainSchedule.h>
#include <LibLoad/FlowCount.h>
#include <LibLoad/Health.h>
#include <LibLoad/LoadEstimate.h>
#include <LibLoad/OpenRate.h>
#include <LibLoad/SlowStart.h>
#include <LibLoad/SpillAllowance.h>
#include <LibModel/Model.h>

#include <optional>
#include <string>

namespace Chicorytally::Load {

/// All state that the controller keeps for one upstream. Not thread-safe.
struct UpstreamState {
    UpstreamState(Core::ServiceId serviceId, Model::Upstream const& model, StartCause cause, Core::TimePoint now)
        : service(serviceId)
        , upstream(model)
        , slowStart(cause, now)
    {
    }

    Core::ServiceId service;
    /// As in the newest configuration that contains it.
    Model::Upstream upstream;
    bool isZoneIn { true };
    bool isRemoved { false };

    FlowCount flows;
    /// Whether the other openers were seen without excess flows once. From then on, their shares account for this VM.
    bool isShareSettled { false };

    SlowStart slowStart;
    StartDetector starts;
    /// A start was detected, but the flows from before it haven't been discarded yet.
    bool isStartUnconfirmed { false };
    HealthTracker health;
    PassiveHealthCheck passiveHealth;
    /// The upstream became unhealthy together with more than half of its service's upstreams.
    bool becameUnhealthyInPanic { false };
    DrainSchedule drain;
    LoadEstimate load;
    SpillAllowance spill;
    OpenRate opens;
    std::string lastReason { "first sight" };

    /// Last time that a report showed more connections than the live openers count.
    std::optional<Core::TimePoint> uncountedFlowsSeenAt;

    // Last published state, and the results to publish.
    std::optional<std::uint32_t> publishedFlows;
    std::optional<UpstreamReport> ownReport;
    Core::TimePoint ownReportAt;
    std::optional<bool> publishedVerdict;
    std::optional<std::int64_t> publishedGeneration;
    Core::TimePoint nextProbe;
};

}
