#include <HarnessLoad/Site.h>

#include <algorithm>

namespace Chicorytally::Benchmarks {

SiteShape accra()
{
    return { .name = "accra", .zones = 4, .services = { { .name = "register" }, { .name = "packs", .upstreams = 4 } } };
}

SiteShape centralGuatemala()
{
    return { .name = "central-guatemala",
        .zones = 3,
        .services = { { .name = "intake", .slots = 2 }, { .name = "labels", .upstreams = 4, .slots = 2 } } };
}

Core::ZoneId zoneAt(SiteShape const& site, std::size_t index)
{
    return Model::zoneId(site.name + "-" + static_cast<char>('a' + index));
}

static Core::Endpoint endpoint(std::uint8_t high, std::uint8_t low, std::uint16_t port)
{
    return { Core::IpAddress::fromV4(std::array<std::uint8_t, 4> { 10, 1, high, low }), port };
}

static Model::Service makeService(SiteShape const& site, ServiceShape const& shape, std::uint8_t number)
{
    Model::Service service { .name = shape.name, .address = endpoint(255, number, 7000) };
    service.id = Model::serviceId(shape.name, service.address, service.protocol);
    service.idleTimeout = shape.idleTimeout;
    service.slowStart = shape.slowStart;
    for (std::size_t i = 0; i < shape.upstreams; ++i) {
        Model::Upstream upstream { .name = shape.name + "-" + std::to_string(i) };
        upstream.address = endpoint(number, static_cast<std::uint8_t>(i + 1), 6080);
        upstream.id = Model::upstreamId(service.id, upstream.name, upstream.address);
        upstream.zone = zoneAt(site, i % site.zones);
        upstream.maxConnections = shape.maxConnections;
        upstream.slots = shape.slots;
        upstream.healthUrl = "http://" + upstream.address.toString() + "/health";
        service.upstreams.push_back(std::move(upstream));
    }
    std::ranges::sort(service.upstreams, {}, &Model::Upstream::id);
    return service;
}

Model::Configuration makeConfiguration(SiteShape const& site)
{
    Model::Configuration configuration { .revision = Core::Revision { 1 } };
    std::uint8_t number = 0;
    for (auto const& shape : site.services)
        configuration.services.push_back(makeService(site, shape, ++number));
    for (std::size_t i = 0; i < site.zones; ++i)
        configuration.zones.push_back({ zoneAt(site, i), site.name + "-" + static_cast<char>('a' + i) });
    std::ranges::sort(configuration.services, {}, &Model::Service::id);
    std::ranges::sort(configuration.zones, {}, &Model::AvailabilityZone::id);
    return configuration;
}

}
