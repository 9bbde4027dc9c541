#include <Harness/Sites.h>

#include <algorithm>
#include <array>

namespace Chicorytally::Harness {

static Core::Endpoint endpoint(std::uint8_t a, std::uint8_t b, std::uint8_t c, std::uint8_t d, std::uint16_t port)
{
    std::array<std::uint8_t, 4> bytes { a, b, c, d };
    return { Core::IpAddress::fromV4(bytes), port };
}

static std::string zoneName(std::size_t index) { return "zone-" + std::to_string(index); }

static void addZones(Model::Configuration& configuration, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        configuration.zones.push_back({ Model::zoneId(zoneName(i)), zoneName(i), Model::ZoneState::In });
}

Model::Configuration Sites::accra()
{
    Model::Configuration configuration;
    addZones(configuration, 4);
    addService(configuration, "register", 1, 15, 4);
    addService(configuration, "packs", 2, 4, 4);
    return configuration;
}

Model::Configuration Sites::centralGuatemala()
{
    Model::Configuration configuration;
    addZones(configuration, 3);
    addService(configuration, "intake", 1, 15, 3);
    addService(configuration, "labels", 2, 4, 3);
    return configuration;
}

Model::Service& Sites::service(Model::Configuration& configuration, std::string const& name)
{
    return *std::ranges::find(configuration.services, name, &Model::Service::name);
}

Model::Upstream& Sites::upstream(Model::Configuration& configuration, std::string const& name, std::size_t index)
{
    auto& upstreams = service(configuration, name).upstreams;
    return *std::ranges::find(upstreams, name + "-" + std::to_string(index), &Model::Upstream::name);
}

static Model::Upstream makeUpstream(
    Model::Service const& service, std::uint8_t net, std::size_t index, std::size_t zone)
{
    Model::Upstream upstream;
    upstream.name = service.name + "-" + std::to_string(index);
    upstream.address = endpoint(10, 1, net, static_cast<std::uint8_t>(10 + index), 6080);
    upstream.id = Model::upstreamId(service.id, upstream.name, upstream.address);
    upstream.zone = Model::zoneId(zoneName(zone));
    return upstream;
}

void Sites::addService(Model::Configuration& configuration, std::string const& name, std::uint8_t net,
    std::size_t upstreams, std::size_t zones, Core::Protocol protocol)
{
    Model::Service service;
    service.name = name;
    service.address = endpoint(198, 51, 100, static_cast<std::uint8_t>(9 + net), 7000);
    service.protocol = protocol;
    service.id = Model::serviceId(name, service.address, protocol);
    for (std::size_t i = 0; i < upstreams; ++i)
        service.upstreams.push_back(makeUpstream(service, net, i, i % zones));
    configuration.services.push_back(service);
}

void Sites::addUpstream(Model::Configuration& configuration, std::string const& name, std::size_t zone)
{
    auto& service = Sites::service(configuration, name);
    auto net = service.address.address.v4Bytes()[3] - 9;
    service.upstreams.push_back(
        makeUpstream(service, static_cast<std::uint8_t>(net), 100 + service.upstreams.size(), zone));
}

void Sites::removeUpstream(Model::Configuration& configuration, std::string const& name, std::size_t index)
{
    auto id = upstream(configuration, name, index).id;
    std::erase_if(service(configuration, name).upstreams, [&](auto const& entry) { return entry.id == id; });
}

void Sites::setZone(Model::Configuration& configuration, std::size_t zone, Model::ZoneState state)
{
    std::ranges::find(configuration.zones, zoneName(zone), &Model::AvailabilityZone::name)->state = state;
}

ConfigurationPointer Sites::commit(Model::Configuration& configuration)
{
    configuration.revision = Core::Revision { configuration.revision.value() + 1 };
    std::ranges::sort(configuration.services, {}, &Model::Service::id);
    std::ranges::sort(configuration.zones, {}, &Model::AvailabilityZone::id);
    for (auto& service : configuration.services)
        std::ranges::sort(service.upstreams, {}, &Model::Upstream::id);
    return std::make_shared<Model::Configuration const>(configuration);
}

}
