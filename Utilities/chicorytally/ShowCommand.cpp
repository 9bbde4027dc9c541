#include <chicorytally/ConfigurationFolder.h>
#include <chicorytally/TextTable.h>

#include <algorithm>

namespace Chicorytally::Tool {

// The configuration is sorted by ID, which means nothing to operators.
template <typename Item> static std::vector<Item> sortedByName(std::vector<Item> items)
{
    std::ranges::sort(items, {}, &Item::name);
    return items;
}

static std::string zoneName(Model::Configuration const& configuration, Core::ZoneId id)
{
    auto const* zone = configuration.findZone(id);
    return zone ? zone->name : std::string {};
}

static std::string deadlineText(Model::Upstream const& upstream)
{
    return upstream.drainDeadline ? Config::formatDuration(*upstream.drainDeadline) : std::string {};
}

static Json toJson(Model::Configuration const& configuration, Model::Upstream const& upstream)
{
    Json json { { "name", upstream.name }, { "address", upstream.address.address.toString() },
        { "port", upstream.address.port }, { "zone", zoneName(configuration, upstream.zone) },
        { "weight", upstream.weight }, { "max_connections", upstream.maxConnections }, { "slots", upstream.slots },
        { "state", std::string { toString(upstream.state) } }, { "health", upstream.healthUrl } };
    if (upstream.drainDeadline)
        json["drain_deadline"] = deadlineText(upstream);
    return json;
}

static Json toJson(Model::Configuration const& configuration)
{
    auto services = Json::array();
    for (auto const& service : sortedByName(configuration.services)) {
        auto upstreams = Json::array();
        for (auto const& upstream : sortedByName(service.upstreams))
            upstreams.push_back(toJson(configuration, upstream));
        services.push_back({ { "name", service.name }, { "address", service.address.address.toString() },
            { "port", service.address.port }, { "protocol", std::string { Model::toString(service.protocol) } },
            { "partition", std::string { toString(service.partition) } },
            { "idle_timeout", Config::formatDuration(service.idleTimeout) },
            { "slow_start", Config::formatDuration(service.slowStart) }, { "upstreams", upstreams } });
    }
    auto zones = Json::array();
    for (auto const& zone : sortedByName(configuration.zones))
        zones.push_back({ { "name", zone.name }, { "state", std::string { toString(zone.state) } } });
    return { { "revision", configuration.revision.value() }, { "services", services }, { "zones", zones } };
}

static void printServices(std::ostream& out, Model::Configuration const& configuration)
{
    TextTable table { { "SERVICE", "ADDRESS", "PROTOCOL", "PARTITION", "IDLE TIMEOUT", "SLOW START", "UPSTREAMS" } };
    for (auto const& service : sortedByName(configuration.services))
        table.add({ service.name, service.address.toString(), std::string { Model::toString(service.protocol) },
            std::string { toString(service.partition) }, Config::formatDuration(service.idleTimeout),
            Config::formatDuration(service.slowStart), std::to_string(service.upstreams.size()) });
    table.print(out);
}

static void printUpstreams(std::ostream& out, Model::Configuration const& configuration)
{
    TextTable table { { "UPSTREAM", "ADDRESS", "ZONE", "WEIGHT", "MAX CONNECTIONS", "SLOTS", "STATE", "DRAIN DEADLINE",
        "HEALTH" } };
    for (auto const& service : sortedByName(configuration.services)) {
        for (auto const& upstream : sortedByName(service.upstreams))
            table.add({ service.name + "/" + upstream.name, upstream.address.toString(),
                zoneName(configuration, upstream.zone), std::to_string(upstream.weight),
                std::to_string(upstream.maxConnections), std::to_string(upstream.slots),
                std::string { toString(upstream.state) }, deadlineText(upstream), upstream.healthUrl });
    }
    table.print(out);
}

static void printZones(std::ostream& out, Model::Configuration const& configuration)
{
    TextTable table { { "ZONE", "STATE" } };
    for (auto const& zone : sortedByName(configuration.zones))
        table.add({ zone.name, std::string { toString(zone.state) } });
    table.print(out);
}

static int runShow(Invocation const& invocation)
{
    auto configuration = readConfigurationFolder(invocation, invocation.operands.front());
    if (!configuration)
        return ExitFailure;
    if (invocation.isJson) {
        printJson(invocation.out, toJson(*configuration));
        return ExitSuccess;
    }
    invocation.out << "revision " << configuration->revision.value() << "\n\n";
    printServices(invocation.out, *configuration);
    invocation.out << "\n";
    printUpstreams(invocation.out, *configuration);
    invocation.out << "\n";
    printZones(invocation.out, *configuration);
    return ExitSuccess;
}

Command showCommand()
{
    return { "show", { "DIR" }, "Print a configuration folder as it is after the merge.",
        "All keys are printed, including those that have their default values.", runShow };
}

}
