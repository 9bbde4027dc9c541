#include <LibConfig/Parser.h>

#include <algorithm>
#include <toml++/toml.h>

namespace Chicorytally::Config {

static void mergeTable(toml::table& into, toml::table const& from)
{
    for (auto const& [key, node] : from) {
        auto* present = into.get(key);
        if (present && present->is_table() && node.is_table())
            mergeTable(*present->as_table(), *node.as_table());
        else
            into.insert_or_assign(key, node);
    }
}

// FIXME: Only the keys of the first end-to-end run are read, and faults carry no remedy; the full schema follows.
static void readUpstreams(toml::table const& table, Model::Service& service)
{
    for (auto const& [name, node] : table) {
        auto const& values = *node.as_table();
        Model::Upstream upstream;
        upstream.name = name.str();
        upstream.address.address = *Core::IpAddress::parse(values["address"].value_or(std::string_view {}));
        upstream.address.port = values["port"].value_or(std::uint16_t { 0 });
        upstream.zone = Model::zoneId(values["zone"].value_or(std::string_view {}));
        upstream.id = Model::upstreamId(service.id, upstream.name, upstream.address);
        service.upstreams.push_back(std::move(upstream));
    }
    std::ranges::sort(service.upstreams, {}, &Model::Upstream::id);
}

static Model::Configuration build(toml::table const& root)
{
    Model::Configuration configuration;
    if (auto const* services = root["service"].as_table()) {
        for (auto const& [name, node] : *services) {
            auto const& values = *node.as_table();
            Model::Service service;
            service.name = name.str();
            service.address.address = *Core::IpAddress::parse(values["address"].value_or(std::string_view {}));
            service.address.port = values["port"].value_or(std::uint16_t { 0 });
            service.protocol = values["protocol"].value_or(std::string_view { "tcp" }) == "udp" ? Core::Protocol::Udp
                                                                                                : Core::Protocol::Tcp;
            service.id = Model::serviceId(service.name, service.address, service.protocol);
            if (auto const* upstreams = values["upstream"].as_table())
                readUpstreams(*upstreams, service);
            configuration.services.push_back(std::move(service));
        }
    }
    if (auto const* zones = root["zone"].as_table()) {
        for (auto const& [name, node] : *zones) {
            auto isOut = (*node.as_table())["state"].value_or(std::string_view { "in" }) == "out";
            auto state = isOut ? Model::ZoneState::Out : Model::ZoneState::In;
            configuration.zones.push_back({ Model::zoneId(name.str()), std::string { name.str() }, state });
        }
    }
    std::ranges::sort(configuration.services, {}, &Model::Service::id);
    std::ranges::sort(configuration.zones, {}, &Model::AvailabilityZone::id);
    return configuration;
}

std::optional<Model::Configuration> Parser::parse(std::vector<SourceFile> const& files, Core::Revision revision)
{
    m_faults.clear();
    toml::table merged;
    for (auto const& file : files) {
        try {
            mergeTable(merged, toml::parse(file.content));
        } catch (toml::parse_error const& error) {
            auto position = error.source().begin;
            m_faults.push_back({ file.name, position.line, position.column, std::string { error.description() }, "" });
        }
    }
    if (!m_faults.empty())
        return std::nullopt;
    auto configuration = build(merged);
    configuration.revision = revision;
    return configuration;
}

}
