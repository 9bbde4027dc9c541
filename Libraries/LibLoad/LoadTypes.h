#pragma once

#include <LibCore/Core.h>
#include <LibMessages/Messages.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Load {

enum class MemberStatus : std::uint8_t {
    Alive,
    /// Unreachable, but possibly still serving on the other side of a partition, so its shares stay reserved.
    Unreachable,
    /// Left gracefully and no longer opens flows.
    Left,
    /// Confirmed dead: missing from the platform's VM list, and the suspicion timeout has expired.
    Gone,
};

/// A balancer that opens flows or has opened some. An entry for the local VM is ignored.
struct LoadMember {
    Core::VmId vm;
    MemberStatus status { MemberStatus::Alive };
    /// Identifies one lifetime of the process; 0 if unknown. A greater value means a new process that lacks the counts
    /// of the earlier one, so this must not be a number that also grows when a live member refutes a suspicion.
    Core::Incarnation incarnation;
};

struct LoadOptions {
    Core::VmId self;
    /// Availability zone of the local VM; if invalid, no zone is preferred.
    Core::ZoneId zone;
    Core::Incarnation incarnation;
    /// Rate of opens above which the balancer refuses new flows; 0 means no limit.
    std::uint32_t maxOpensPerSecond { 0 };
    /// Maximum number of upstreams whose state is kept; any others are used without load information.
    std::uint32_t maxUpstreams { 20'000 };
};

/// The result of a probe, or a report sent by the upstream itself.
struct UpstreamReport {
    bool isHealthy { true };
    /// Duration of the probe; empty if it failed.
    std::optional<std::chrono::microseconds> latency;
    std::optional<std::uint32_t> connections;
    std::optional<std::uint32_t> busySlots;
    /// Start time or generation given by the upstream; a change means that it restarted.
    std::optional<std::int64_t> generation;
    /// Age of the report when it was received.
    std::chrono::milliseconds age { 0 };
};

/// An upstream that this VM must probe now.
struct ProbeTarget {
    Core::UpstreamId upstream;
    std::string url;
};

/// A control message to send to a member.
struct OutgoingMessage {
    Core::VmId receiver;
    Messages::LoadMessage message;
};

enum class UpstreamCondition : std::uint8_t {
    Active,
    /// In slow start.
    Starting,
    Unhealthy,
    Draining,
    /// Its drain deadline has passed, or it was removed from the configuration.
    Ended,
    ZoneOut,
};

std::string_view toString(UpstreamCondition);

/// State of an upstream as shown to operators.
struct UpstreamStatus {
    Core::ServiceId service;
    Core::UpstreamId upstream;
    UpstreamCondition condition { UpstreamCondition::Active };
    bool isHealthy { true };
    /// Estimated fraction of the upstream's capacity in use, 0 to 1; empty if unknown.
    std::optional<double> estimate;
    /// Maximum number of flows that this VM may currently have open on the upstream, including slow start.
    std::uint32_t share { 0 };
    /// Flows that this VM has open on the upstream.
    std::uint32_t openFlows { 0 };
    /// Flows of the whole fleet as last published, including orphans.
    std::uint32_t fleetFlows { 0 };
    /// Flows of lost openers that still count against the limit.
    std::uint32_t orphans { 0 };
    /// Slow start fraction, 0.1 to 1.
    double ramp { 1 };
    /// Reason for the last change of condition or health.
    std::string lastReason;
};

/// State of the controller as a whole.
struct ControllerStatus {
    /// Members that haven't yet confirmed that they count this VM as an opener. Shares are 0 until this is empty.
    std::vector<Core::VmId> unconfirmedBy;
    bool isOverloaded { false };
};

}
