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
    /// Can't be reached, but may still serve on the other side of a partition: its shares stay reserved.
    Unreachable,
    /// Left gracefully: opens no flows any more.
    Left,
    /// Confirmed gone by the platform's VM list together with the suspicion timeout.
    Gone,
};

/// A balancer that opens flows or has opened some. The own VM may be listed and is ignored.
struct LoadMember {
    Core::VmId vm;
    MemberStatus status { MemberStatus::Alive };
    /// Lifetime of the process; 0: not known yet. A greater one is another process without the counts of the earlier
    /// one, so a number that also grows when a living member refutes a suspicion must not be given here.
    Core::Incarnation incarnation;
};

struct LoadOptions {
    Core::VmId self;
    /// Availability zone of the own VM; invalid: no zone is preferred.
    Core::ZoneId zone;
    Core::Incarnation incarnation;
    /// Opens per second over which the balancer refuses new flows; 0: no limit.
    std::uint32_t maxOpensPerSecond { 0 };
    /// Greatest number of upstreams whose state is held; further ones are used without load information.
    std::uint32_t maxUpstreams { 20'000 };
};

/// What a probe or an upstream's own report said.
struct UpstreamReport {
    bool isHealthy { true };
    /// Time that the probe took; without a value when it failed.
    std::optional<std::chrono::microseconds> latency;
    std::optional<std::uint32_t> connections;
    std::optional<std::uint32_t> busySlots;
    /// Start time or generation that the upstream gave; a change means a restart.
    std::optional<std::int64_t> generation;
    /// How old the report was when it was received.
    std::chrono::milliseconds age { 0 };
};

/// An upstream that this VM has to probe now.
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
    /// In its slow start.
    Starting,
    Unhealthy,
    Draining,
    /// Its drain deadline has passed, or it has left the configuration.
    Ended,
    ZoneOut,
};

std::string_view toString(UpstreamCondition);

/// What operators see of an upstream.
struct UpstreamStatus {
    Core::ServiceId service;
    Core::UpstreamId upstream;
    UpstreamCondition condition { UpstreamCondition::Active };
    bool isHealthy { true };
    /// Estimated share of the upstream's capacity that is in use, 0 to 1; without a value when nothing is known.
    std::optional<double> estimate;
    /// Flows that this VM may have open on the upstream now, slow start included.
    std::uint32_t share { 0 };
    /// Flows that this VM has open.
    std::uint32_t openFlows { 0 };
    /// Flows of the whole fleet as last published, orphans included.
    std::uint32_t fleetFlows { 0 };
    /// Flows of lost owners that still count against the limit.
    std::uint32_t orphans { 0 };
    /// Slow start: 0.1 to 1.
    double ramp { 1 };
    /// Why the condition or the health last changed.
    std::string lastReason;
};

/// How a controller stands as a whole.
struct ControllerStatus {
    /// Members that haven't confirmed yet that they count this VM as an opener; until none is left, shares are 0.
    std::vector<Core::VmId> unconfirmedBy;
    bool isOverloaded { false };
};

}
