#pragma once

#include <LibModel/Model.h>

#include <memory>
#include <string>
#include <vector>

namespace Chicorytally::Benchmarks {

/// Shape of one service for tests and benchmarks.
struct ServiceShape {
    std::string name;
    std::size_t upstreams { 15 };
    std::uint32_t slots { 4 };
    std::uint32_t maxConnections { 2000 };
    std::chrono::seconds idleTimeout { std::chrono::minutes { 15 } };
    std::chrono::seconds slowStart { 30 };
};

struct SiteShape {
    std::string name;
    std::size_t zones { 4 };
    std::vector<ServiceShape> services;
};

SiteShape accra();
SiteShape centralGuatemala();

/// Upstreams are dealt out over the zones in turn; all have a health URL.
Model::Configuration makeConfiguration(SiteShape const&);

Core::ZoneId zoneAt(SiteShape const&, std::size_t index);

}
