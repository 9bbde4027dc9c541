#include "Settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <cstdlib>

ABSL_FLAG(std::string, vm_name, "", "Name of this VM, unique in the fleet.");
ABSL_FLAG(std::string, zone, "", "Availability zone of this VM.");
ABSL_FLAG(
    std::string, data_address, "", "IP:PORT that receives packets in GUE, from the fabric and from other balancers.");
ABSL_FLAG(std::string, config_dir, "", "Folder of TOML files with services, upstreams and availability zones.");
ABSL_FLAG(std::string, peer_key, "",
    "Key of the fleet: 64 hexadecimal digits. Better given in the environment than as a flag.");
ABSL_FLAG(int, workers, 1, "Packet threads, 1 to 64.");
ABSL_FLAG(std::string, log_level, "info", "Least level that is logged: debug, info, warn or error.");

namespace Chicorytally::Daemon {

static constexpr int MaxWorkers = 64;

// Flags given on the command line win; so the environment is applied before they are parsed.
static bool applyEnvironment(std::string& error)
{
    for (char const* name : { "vm_name", "zone", "data_address", "config_dir", "peer_key", "workers", "log_level" }) {
        auto variable = absl::StrCat("CHICORYTALLY_", absl::AsciiStrToUpper(name));
        char const* value = std::getenv(variable.c_str());
        if (!value)
            continue;
        std::string cause;
        if (!absl::FindCommandLineFlag(name)->ParseFrom(value, &cause)) {
            error = absl::StrCat(variable, "=", value, ": ", cause);
            return false;
        }
    }
    return true;
}

static std::optional<Settings> fail(
    std::string& error, std::string_view flag, std::string_view value, std::string_view remedy)
{
    error = "--" + std::string { flag } + "=" + std::string { value } + ": " + std::string { remedy };
    return std::nullopt;
}

static std::optional<Settings> check(std::string& error)
{
    Settings settings;
    settings.vmName = absl::GetFlag(FLAGS_vm_name);
    if (settings.vmName.empty())
        return fail(error, "vm_name", "", "give this VM a name that is unique in the fleet");
    settings.zoneName = absl::GetFlag(FLAGS_zone);
    if (settings.zoneName.empty())
        return fail(error, "zone", "", "name the availability zone of this VM");
    auto dataText = absl::GetFlag(FLAGS_data_address);
    auto dataAddress = Core::Endpoint::parse(dataText);
    if (!dataAddress)
        return fail(error, "data_address", dataText, "write IP:PORT, for example 10.0.0.5:6080");
    settings.dataAddress = *dataAddress;
    settings.configurationFolder = absl::GetFlag(FLAGS_config_dir);
    if (!std::filesystem::is_directory(settings.configurationFolder))
        return fail(
            error, "config_dir", settings.configurationFolder.string(), "name an existing folder of .toml files");
    auto key = Messages::PeerKey::fromHex(absl::GetFlag(FLAGS_peer_key));
    if (!key)
        return fail(error, "peer_key", "(hidden)", "give 64 hexadecimal digits, the same on all balancers");
    settings.peerKey = *key;
    auto workers = absl::GetFlag(FLAGS_workers);
    if (workers < 1 || workers > MaxWorkers)
        return fail(error, "workers", std::to_string(workers), "give a number from 1 to 64");
    settings.workers = static_cast<std::size_t>(workers);
    auto level = absl::GetFlag(FLAGS_log_level);
    if (!Telemetry::parseLevel(level, settings.logLevel))
        return fail(error, "log_level", level, "give debug, info, warn or error");
    return settings;
}

std::optional<Settings> parseSettings(int argc, char** argv, std::string& error)
{
    absl::SetProgramUsageMessage(
        "Layer-4 load balancer. Every flag can also be set by the environment variable CHICORYTALLY_FLAGNAME.");
    if (!applyEnvironment(error))
        return std::nullopt;
    auto rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1) {
        error = absl::StrCat("unexpected argument '", rest[1], "'; all settings are flags, see --help");
        return std::nullopt;
    }
    return check(error);
}

}
