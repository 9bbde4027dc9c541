#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Chicorytally::Directory {

/// A service among which the new flows of a route are divided.
struct WeightedService {
    Core::ServiceId service;
    std::uint32_t weight { 1 };

    friend bool operator==(WeightedService const&, WeightedService const&) = default;
};

/// Where new flows to an address go.
struct Route {
    std::string name;
    Core::Endpoint address;
    /// Never empty; the weights add up to more than 0.
    std::vector<WeightedService> services;

    /// The service of a new flow; the same for each copy of its opening packet.
    Core::ServiceId serviceFor(std::uint64_t flowHash) const;

    friend bool operator==(Route const&, Route const&) = default;
};

/// How new flows may be sent to the upstreams of a service.
struct ServiceLimits {
    /// New flows per second that an upstream in slow start bears, over all balancers.
    double slowStartOpensPerSecond { 0 };

    friend bool operator==(ServiceLimits const&, ServiceLimits const&) = default;
};

/// One version of everything that operators declare. Versions only grow.
struct RouteTable {
    std::uint64_t version { 0 };
    absl::flat_hash_map<Core::Endpoint, Route> routes;
    absl::flat_hash_map<Core::ServiceId, ServiceLimits> services;
    /// A flow without packets for this long may be forgotten.
    std::chrono::milliseconds idleTimeout { std::chrono::seconds { 15 } };
};

/// Identifier of a service that is known by its name only.
Core::ServiceId serviceId(std::string_view name);

}
