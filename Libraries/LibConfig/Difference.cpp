#include <LibConfig/Difference.h>
#include <LibConfig/Duration.h>

#include <algorithm>
#include <map>

namespace Chicorytally::Config {

std::string_view toString(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "unknown";
}

std::string_view toString(ChangeSubject subject)
{
    switch (subject) {
    case ChangeSubject::Service:
        return "service";
    case ChangeSubject::Upstream:
        return "upstream";
    case ChangeSubject::Zone:
        return "zone";
    }
    return "unknown";
}

namespace {

    // What is compared of one thing: its keys with their values as text.
    using Values = std::map<std::string, std::string>;
    using Things = std::map<std::string, Values>;

}

static std::string zoneNameOf(Model::Configuration const& configuration, Core::ZoneId id)
{
    auto const* zone = configuration.findZone(id);
    return zone ? zone->name : std::string {};
}

static Values valuesOf(Model::Service const& service)
{
    return {
        { "address", service.address.address.toString() },
        { "port", std::to_string(service.address.port) },
        { "protocol", std::string { Model::toString(service.protocol) } },
        { "partition", std::string { toString(service.partition) } },
        { "idle_timeout", formatDuration(service.idleTimeout) },
        { "slow_start", formatDuration(service.slowStart) },
    };
}

static Values valuesOf(Model::Configuration const& configuration, Model::Upstream const& upstream)
{
    return {
        { "address", upstream.address.address.toString() },
        { "port", std::to_string(upstream.address.port) },
        { "zone", zoneNameOf(configuration, upstream.zone) },
        { "weight", std::to_string(upstream.weight) },
        { "max_connections", std::to_string(upstream.maxConnections) },
        { "slots", std::to_string(upstream.slots) },
        { "state", std::string { toString(upstream.state) } },
        { "drain_deadline", upstream.drainDeadline ? formatDuration(*upstream.drainDeadline) : std::string {} },
        { "health", upstream.healthUrl },
    };
}

static Things servicesOf(Model::Configuration const& configuration)
{
    Things things;
    for (auto const& service : configuration.services)
        things[service.name] = valuesOf(service);
    return things;
}

static Things upstreamsOf(Model::Configuration const& configuration)
{
    Things things;
    for (auto const& service : configuration.services) {
        for (auto const& upstream : service.upstreams)
            things[service.name + "/" + upstream.name] = valuesOf(configuration, upstream);
    }
    return things;
}

static Things zonesOf(Model::Configuration const& configuration)
{
    Things things;
    for (auto const& zone : configuration.zones)
        things[zone.name] = { { "state", std::string { toString(zone.state) } } };
    return things;
}

static std::vector<KeyChange> changedKeys(Values const& before, Values const& after)
{
    std::vector<KeyChange> changes;
    for (auto const& [key, value] : after) {
        auto const& former = before.at(key);
        if (former != value)
            changes.push_back({ key, former, value });
    }
    return changes;
}

static void appendChanges(
    ChangeSubject subject, Things const& before, Things const& after, std::vector<Change>& changes)
{
    auto begin = changes.size();
    for (auto const& [name, values] : before) {
        if (!after.contains(name))
            changes.push_back({ ChangeKind::Removed, subject, name });
    }
    for (auto const& [name, values] : after) {
        auto former = before.find(name);
        if (former == before.end())
            changes.push_back({ ChangeKind::Added, subject, name });
        else if (former->second != values)
            changes.push_back({ ChangeKind::Changed, subject, name, changedKeys(former->second, values) });
    }
    std::ranges::sort(changes.begin() + static_cast<std::ptrdiff_t>(begin), changes.end(), {}, &Change::name);
}

Difference findDifference(
    Model::Configuration const& before, Model::Configuration const& after, DifferenceHooks const& hooks)
{
    Difference difference;
    auto formerServices = servicesOf(before);
    appendChanges(ChangeSubject::Service, formerServices, servicesOf(after), difference.changes);
    appendChanges(ChangeSubject::Upstream, upstreamsOf(before), upstreamsOf(after), difference.changes);
    appendChanges(ChangeSubject::Zone, zonesOf(before), zonesOf(after), difference.changes);
    if (!hooks.movedShare)
        return difference;
    for (auto const& service : after.services) {
        if (formerServices.contains(service.name))
            difference.movedShares.push_back({ service.name, hooks.movedShare(before, after, service) });
    }
    std::ranges::sort(difference.movedShares, {}, &ServiceShare::service);
    return difference;
}

}
