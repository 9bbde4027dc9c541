#pragma once

#include <LibCore/Core.h>
#include <LibMessages/Messages.h>
#include <LibTelemetry/Telemetry.h>

#include <filesystem>
#include <optional>
#include <string>

namespace Chicorytally::Daemon {

/// Checked settings of the daemon, from flags and environment variables.
struct Settings {
    std::string vmName;
    std::string zoneName;
    Core::Endpoint dataAddress;
    std::filesystem::path configurationFolder;
    Messages::PeerKey peerKey;
    std::size_t workers { 1 };
    Telemetry::Level logLevel { Telemetry::Level::Info };
};

/// Parses flags; a flag that is not given falls back to the environment variable of its name in capitals behind
/// CHICORYTALLY_. Nothing when a setting is bad; the error then names the setting, the value and the remedy.
std::optional<Settings> parseSettings(int argc, char** argv, std::string& error);

}
