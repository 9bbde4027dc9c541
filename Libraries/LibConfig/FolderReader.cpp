#include <LibConfig/FolderReader.h>

#include <algorithm>
#include <toml++/toml.h>

namespace Chicorytally::Config {

std::string Fault::toString() const
{
    auto text = file;
    if (line)
        text += ":" + std::to_string(line) + ":" + std::to_string(column);
    text += ": " + cause;
    if (!remedy.empty())
        text += "; " + remedy;
    return text;
}

static std::vector<std::filesystem::path> listFiles(std::filesystem::path const& folder, std::error_code& error)
{
    std::vector<std::filesystem::path> files;
    for (auto const& entry : std::filesystem::directory_iterator { folder, error }) {
        if (entry.path().extension() == ".toml")
            files.push_back(entry.path());
    }
    std::ranges::sort(files);
    return files;
}

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

std::optional<Model::Configuration> FolderReader::read(std::filesystem::path const& folder)
{
    m_faults.clear();
    std::error_code error;
    auto files = listFiles(folder, error);
    if (error) {
        m_faults.push_back({ folder.string(), 0, 0, "can't read the folder: " + error.message(),
            "check the path and its permissions" });
        return std::nullopt;
    }
    toml::table merged;
    for (auto const& file : files) {
        try {
            mergeTable(merged, toml::parse_file(file.string()));
        } catch (toml::parse_error const& parseError) {
            auto position = parseError.source().begin;
            m_faults.push_back({ file.filename().string(), position.line, position.column,
                std::string { parseError.description() }, "" });
        }
    }
    if (!m_faults.empty())
        return std::nullopt;
    return build(merged);
}

}
