#include <LibConfig/HealthUrl.h>
#include <LibConfig/Schema.h>

#include <algorithm>
#include <limits>

namespace Chicorytally::Config {

template <typename Number> static void assignNumber(Number& target, std::optional<std::int64_t> value)
{
    if (value)
        target = static_cast<Number>(*value);
}

static void readSlots(TableReader& reader, Model::Upstream& upstream)
{
    assignNumber(upstream.maxConnections, reader.integer("max_connections", 1, MaxConnections));
    auto slots = reader.integer("slots", 1, MaxSlots);
    assignNumber(upstream.slots, slots);
    if (slots && upstream.slots > upstream.maxConnections)
        reader.reject("slots",
            "is " + std::to_string(upstream.slots) + ", more than max_connections, which is "
                + std::to_string(upstream.maxConnections),
            "each request needs a connection: lower slots or raise max_connections");
}

static void readHealth(TableReader& reader, Model::Upstream& upstream)
{
    auto url = reader.optionalText("health");
    if (!url || url->empty())
        return;
    if (isHealthUrl(*url))
        upstream.healthUrl = *url;
    else
        reader.reject("health", "is no URL that can be probed: " + quoted(*url),
            "write http://IP:PORT/PATH, or \"\" for no probe");
}

static DeclaredUpstream readUpstream(TableReader reader)
{
    using State = Model::UpstreamState;
    DeclaredUpstream upstream { .path = reader.path(), .name = reader.name() };
    auto& values = upstream.values;
    values.name = reader.name();
    upstream.address = reader.requiredAddress("address");
    assignNumber(values.address.port, reader.requiredInteger("port", 1, MaxPort));
    upstream.zoneName = reader.requiredText("zone");
    assignNumber(values.weight, reader.integer("weight", 1, MaxWeight));
    readSlots(reader, values);
    values.state = reader.choice<State>(
        "state", { { "active", State::Active }, { "draining", State::Draining } }, State::Active);
    values.drainDeadline = reader.duration("drain_deadline", MinDrainDeadline, MaxDrainDeadline);
    readHealth(reader, values);
    reader.rejectUnknown();
    upstream.addressPosition = reader.positionOf("address");
    upstream.zonePosition = reader.positionOf("zone");
    return upstream;
}

static DeclaredService readService(TableReader reader)
{
    using Policy = Model::PartitionPolicy;
    DeclaredService service { .path = reader.path(), .position = reader.position() };
    auto& values = service.values;
    values.name = reader.name();
    service.address = reader.requiredAddress("address");
    assignNumber(values.address.port, reader.requiredInteger("port", 1, MaxPort));
    values.protocol = reader.choice<Core::Protocol>(
        "protocol", { { "tcp", Core::Protocol::Tcp }, { "udp", Core::Protocol::Udp } }, Core::Protocol::Tcp);
    values.partition
        = reader.choice<Policy>("partition", { { "risk", Policy::Risk }, { "refuse", Policy::Refuse } }, Policy::Risk);
    values.idleTimeout = reader.duration("idle_timeout", MinIdleTimeout, MaxIdleTimeout).value_or(values.idleTimeout);
    values.slowStart = reader.duration("slow_start", 0s, MaxSlowStart).value_or(values.slowStart);
    for (auto& upstream : reader.tables("upstream"))
        service.upstreams.push_back(readUpstream(std::move(upstream)));
    reader.rejectUnknown();
    service.addressPosition = reader.positionOf("address");
    return service;
}

static Model::AvailabilityZone readZone(TableReader reader)
{
    using State = Model::ZoneState;
    auto state = reader.choice<State>("state", { { "in", State::In }, { "out", State::Out } }, State::In);
    reader.rejectUnknown();
    return { Model::zoneId(reader.name()), reader.name(), state };
}

Declaration readDeclaration(PositionedTable const& table, FaultList& faults)
{
    Declaration declaration;
    TableReader reader { table, "", {}, faults };
    std::uint64_t revision = 0;
    assignNumber(revision, reader.integer("revision", 1, std::numeric_limits<std::int64_t>::max()));
    declaration.revision = Core::Revision { revision };
    for (auto& service : reader.tables("service"))
        declaration.services.push_back(readService(std::move(service)));
    for (auto& zone : reader.tables("zone"))
        declaration.zones.push_back(readZone(std::move(zone)));
    reader.rejectUnknown();
    return declaration;
}

static Model::Service toService(DeclaredService const& declared)
{
    auto service = declared.values;
    service.address.address = declared.address.value_or(Core::IpAddress {});
    service.id = Model::serviceId(service.name, service.address, service.protocol);
    for (auto const& declaredUpstream : declared.upstreams) {
        auto upstream = declaredUpstream.values;
        upstream.address.address = declaredUpstream.address.value_or(Core::IpAddress {});
        upstream.zone = Model::zoneId(declaredUpstream.zoneName.value_or(std::string {}));
        upstream.id = Model::upstreamId(service.id, upstream.name, upstream.address);
        service.upstreams.push_back(std::move(upstream));
    }
    std::ranges::sort(service.upstreams, {}, &Model::Upstream::id);
    return service;
}

Model::Configuration toConfiguration(Declaration const& declaration)
{
    Model::Configuration configuration { .revision = declaration.revision, .zones = declaration.zones };
    for (auto const& service : declaration.services)
        configuration.services.push_back(toService(service));
    std::ranges::sort(configuration.services, {}, &Model::Service::id);
    std::ranges::sort(configuration.zones, {}, &Model::AvailabilityZone::id);
    return configuration;
}

}
