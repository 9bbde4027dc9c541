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

/// Everything that the controller holds about one upstream. Not thread-safe.
struct UpstreamState {
    UpstreamState(Core::ServiceId serviceId, Model::Upstream const& model, StartCause cause, Core::TimePoint now)
        : service(serviceId)
        , upstream(model)
        , slowStart(cause, now)
    {
    }

    Core::ServiceId service;
    /// As in the newest configuration that has it.
    Model::Upstream upstream;
    bool isZoneIn { true };
    bool isRemoved { false };

    FlowCount flows;
    /// What other openers hold beyond their shares has been worked off once; from then on they count this VM.
    bool isShareSettled { false };

    SlowStart slowStart;
    StartDetector starts;
    /// A start was seen, and the flows before it haven't been given up yet.
    bool isStartUnconfirmed { false };
    HealthTracker health;
    PassiveHealthCheck passiveHealth;
    /// The upstream became unhealthy together with more than half of its service.
    bool becameUnhealthyInPanic { false };
    DrainSchedule drain;
    LoadEstimate load;
    SpillAllowance spill;
    OpenRate opens;
    std::string lastReason { "first sight" };

    /// Last time at which a report showed more connections than the living openers count.
    std::optional<Core::TimePoint> uncountedFlowsSeenAt;

    // What is published.
    std::optional<std::uint32_t> publishedFlows;
    std::optional<UpstreamReport> ownReport;
    Core::TimePoint ownReportAt;
    std::optional<bool> publishedVerdict;
    std::optional<std::int64_t> publishedGeneration;
    Core::TimePoint nextProbe;
};

}
