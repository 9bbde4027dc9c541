#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Model {

/// What to do with opening packets that can't be placed safely while a live member is unreachable.
enum class PartitionPolicy : std::uint8_t {
    /// Accept the open, although the two sides of the partition may place the same flow differently.
    Risk,
    /// Reject the open.
    Refuse,
};

enum class UpstreamState : std::uint8_t {
    Active,
    /// Keeps its established flows but gets no new ones.
    Draining,
};

enum class ZoneState : std::uint8_t {
    In,
    /// Gets no packets at all; its flows are aborted.
    Out,
};

struct AvailabilityZone {
    Core::ZoneId id;
    std::string name;
    ZoneState state { ZoneState::In };

    friend bool operator==(AvailabilityZone const&, AvailabilityZone const&) = default;
};

struct Upstream {
    Core::UpstreamId id;
    std::string name;
    /// Where GUE packets for this upstream are sent.
    Core::Endpoint address;
    Core::ZoneId zone;
    /// Relative weight for new flows, 1 to 1000.
    std::uint32_t weight { 100 };
    /// Maximum number of open flows over all balancers.
    std::uint32_t maxConnections { 2000 };
    /// Number of requests that the upstream processes concurrently.
    std::uint32_t slots { 4 };
    UpstreamState state { UpstreamState::Active };
    /// How long a draining upstream keeps established flows. If unset, it keeps them until they end.
    std::optional<std::chrono::seconds> drainDeadline;
    /// URL of the HTTP health check; if empty, there is no check.
    std::string healthUrl;

    bool isDraining() const { return state == UpstreamState::Draining; }

    friend bool operator==(Upstream const&, Upstream const&) = default;
};

struct Service {
    Core::ServiceId id;
    std::string name;
    Core::Endpoint address;
    Core::Protocol protocol { Core::Protocol::Tcp };
    PartitionPolicy partition { PartitionPolicy::Risk };
    /// A flow without packets for this long is removed.
    std::chrono::seconds idleTimeout { std::chrono::minutes { 15 } };
    /// Time in which the limits of a newly started upstream ramp up from a tenth to their full value.
    std::chrono::seconds slowStart { 30 };
    /// Sorted by id.
    std::vector<Upstream> upstreams;

    Upstream const* findUpstream(Core::UpstreamId) const;

    friend bool operator==(Service const&, Service const&) = default;
};

/// One accepted revision of the operators' whole configuration. Immutable once shared.
struct Configuration {
    Core::Revision revision;
    /// Sorted by id.
    std::vector<Service> services;
    /// Sorted by id.
    std::vector<AvailabilityZone> zones;

    Service const* findService(Core::Endpoint const& address, Core::Protocol) const;
    Service const* findService(Core::ServiceId) const;
    AvailabilityZone const* findZone(Core::ZoneId) const;
    /// Returns false for an unknown availability zone.
    bool isZoneInService(Core::ZoneId) const;

    friend bool operator==(Configuration const&, Configuration const&) = default;
};

/// Identifiers are hashes of the identifying fields, so that all balancers compute the same ones, and an address that
/// moves to another service gets a new identifier.
Core::ServiceId serviceId(std::string_view name, Core::Endpoint const& address, Core::Protocol);
Core::UpstreamId upstreamId(Core::ServiceId, std::string_view name, Core::Endpoint const& address);
Core::ZoneId zoneId(std::string_view name);
Core::VmId vmId(std::string_view name);

}
