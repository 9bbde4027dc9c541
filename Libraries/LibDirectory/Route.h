#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Directory {

/// A service of a route, with its share of the route's new flows.
struct WeightedService {
    Core::ServiceId service;
    std::uint32_t weight { 1 };

    friend bool operator==(WeightedService const&, WeightedService const&) = default;
};

/// What may be done with the requests of a route.
enum class RequestKind : std::uint8_t {
    /// May be repeated.
    Safe,
    /// Must run at most once.
    Unsafe,
    /// May be repeated; its response is large.
    Download,
};

std::string_view toString(RequestKind);

/// Urgency of a route's requests. 0 is the most urgent.
using Priority = std::uint32_t;

/// Maps an address to the services that get its new flows.
struct Route {
    std::string name;
    Core::Endpoint address;
    /// Never empty; the sum of the weights is greater than 0.
    std::vector<WeightedService> services;
    Priority priority { 0 };
    RequestKind requestKind { RequestKind::Safe };
    /// Time to the answer that callers expect; unset if the operators state none.
    std::optional<std::chrono::milliseconds> goal;
    /// Time after which callers give up; unset if the operators state none.
    std::optional<std::chrono::milliseconds> timeout;

    /// Selects the service of a new flow. Retransmissions of the opening packet select the same one.
    Core::ServiceId serviceFor(std::uint64_t flowHash) const;

    friend bool operator==(Route const&, Route const&) = default;
};

/// Limits on the new flows sent to the upstreams of a service.
struct ServiceLimits {
    /// Maximum rate of new flows per second to an upstream in slow start, over all balancers.
    double slowStartOpensPerSecond { 0 };
    /// How long an upstream is in slow start after its process started; unset if the operators state nothing.
    std::optional<std::chrono::milliseconds> slowStart {};

    friend bool operator==(ServiceLimits const&, ServiceLimits const&) = default;
};

/// One version of the operators' configuration. Versions only increase.
struct RouteTable {
    std::uint64_t version { 0 };
    absl::flat_hash_map<Core::Endpoint, Route> routes;
    absl::flat_hash_map<Core::ServiceId, ServiceLimits> services;
    /// A flow without packets for this long may be removed.
    std::chrono::milliseconds idleTimeout { std::chrono::seconds { 15 } };
};

/// Identifier of a service for which only the name is known.
Core::ServiceId serviceId(std::string_view name);

}
