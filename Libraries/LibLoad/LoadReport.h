#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace Chicorytally::Load {

/// What one balancer has observed of an upstream.
struct UpstreamLoadReport {
    Core::UpstreamId upstream;
    /// Lifetime of the upstream's process to which the observation belongs.
    Core::Incarnation incarnation;
    /// Requests that the reporter has forwarded and whose response it hasn't seen yet.
    std::uint32_t requestsInFlight { 0 };
    /// Response time relative to the usual one of the same routes; 2 means twice as slow. 0 if unknown.
    double relativeResponseTime { 0 };
    /// Number of responses behind relativeResponseTime, with older ones counting less.
    double responseWeight { 0 };
    /// Time since the observation, without the time that the report spent on the way.
    std::chrono::milliseconds age { 0 };

    friend bool operator==(UpstreamLoadReport const&, UpstreamLoadReport const&) = default;
};

/// Observations of one balancer. Reports are dated by age, since wall clocks differ and may jump.
struct LoadReport {
    Core::VmId reporter;
    std::vector<UpstreamLoadReport> upstreams;
};

}
