#pragma once

#include <LibCore/Core.h>
#include <LibMessages/Messages.h>
#include <LibTelemetry/Telemetry.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Daemon {

/// Checked settings of the daemon, from flags and environment variables.
struct Settings {
    std::string vmName;
    std::string zoneName;
    /// Receives packets in GUE. All balancers of a fleet use the same port.
    Core::Endpoint dataAddress;
    /// Receives messages of other balancers.
    Core::Endpoint peerAddress;
    std::optional<Core::Endpoint> adminAddress;
    /// Peer addresses of some other balancers.
    std::vector<Core::Endpoint> seeds;

    /// Exactly one of the folder and the platform is set.
    std::optional<std::filesystem::path> configurationFolder;
    std::optional<Core::Endpoint> platform;

    Messages::KeyRing keys;
    std::uint64_t flowKey { 0 };

    std::size_t workers { 1 };
    std::size_t maxFlows { 0 };
    std::chrono::milliseconds shutdownDeadline { 0 };
    Telemetry::Level logLevel { Telemetry::Level::Info };
    std::optional<std::filesystem::path> traceFile;
    /// One flow in this many is traced.
    std::uint32_t traceSampling { 0 };
};

/// Parses flags; a flag that is not given falls back to the environment variable of its name in capitals behind
/// CHICORYTALLY_. Nothing when a setting is bad; the error then names the setting, the value and the remedy.
std::optional<Settings> parseSettings(int argc, char** argv, std::string& error);

}
