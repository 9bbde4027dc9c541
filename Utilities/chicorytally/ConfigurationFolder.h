#pragma once

#include <chicorytally/Command.h>
#include <chicorytally/JsonOutput.h>

namespace Chicorytally::Tool {

/// Reads a configuration folder. When it has faults, prints them in the selected format and returns std::nullopt.
inline std::optional<Model::Configuration> readConfigurationFolder(
    Invocation const& invocation, std::string const& folder)
{
    Config::FolderReader reader;
    auto configuration = reader.read(folder);
    if (configuration)
        return configuration;
    if (invocation.isJson) {
        printJson(invocation.out, { { "good", false }, { "folder", folder }, { "faults", toJson(reader.faults()) } });
        return std::nullopt;
    }
    for (auto const& fault : reader.faults())
        invocation.err << fault.toString() << "\n";
    invocation.err << folder << ": " << reader.faults().size() << " faults\n";
    return std::nullopt;
}

inline std::size_t countUpstreams(Model::Configuration const& configuration)
{
    std::size_t count = 0;
    for (auto const& service : configuration.services)
        count += service.upstreams.size();
    return count;
}

}
