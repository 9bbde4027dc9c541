#include "Settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/time/time.h>

#include <array>
#include <cstdlib>

ABSL_FLAG(std::string, vm_name, "", "Name of this VM, unique in the fleet.");
ABSL_FLAG(std::string, zone, "", "Availability zone of this VM.");
ABSL_FLAG(std::string, data_address, "", "IP:PORT for packets in GUE; the port is the same on all balancers.");
ABSL_FLAG(std::string, peer_address, "",
    "IP:PORT for messages of other balancers. Default: the next port of --data_address.");
ABSL_FLAG(std::string, admin_address, "", "IP:PORT for metrics, health and status over HTTP. Default: none.");
ABSL_FLAG(std::string, peers, "", "Comma-separated peer addresses (IP:PORT) of some other balancers.");
ABSL_FLAG(std::string, config_dir, "", "Folder of TOML files. Give this or --platform.");
ABSL_FLAG(std::string, platform, "", "IP:PORT of the configuration service. Give this or --config_dir.");
ABSL_FLAG(std::string, peer_key, "",
    "Key of the fleet, 64 hexadecimal digits. Better set in the environment than as a flag.");
ABSL_FLAG(
    std::string, accepted_peer_keys, "", "Comma-separated keys that are accepted too, while the key is replaced.");
ABSL_FLAG(std::string, flow_key, "", "Key of the flow hash, 64 hexadecimal digits. Default: derived from --peer_key.");
ABSL_FLAG(int, workers, 1, "Packet threads, 1 to 64.");
ABSL_FLAG(
    int, max_flows, 1'000'000, "Greatest number of flow records held, 1,000 to 100,000,000; about 64 bytes each.");
ABSL_FLAG(absl::Duration, shutdown_deadline, absl::Seconds(30), "Longest time of a graceful shutdown, up to 1h.");
ABSL_FLAG(std::string, log_level, "info", "Least level that is logged: debug, info, warn or error.");
ABSL_FLAG(std::string, trace_file, "", "File for trace spans as OTLP/JSON lines. Default: no traces.");
ABSL_FLAG(int, trace_sampling, 1000, "One flow in this many is traced, 1 to 1,000,000.");

namespace Chicorytally::Daemon {

static constexpr int MaxWorkers = 64;
static constexpr int MinFlows = 1'000;
static constexpr int MaxFlows = 100'000'000;
static constexpr int MaxTraceSampling = 1'000'000;
static constexpr absl::Duration MaxShutdownDeadline = absl::Hours(1);

static constexpr std::array FlagNames {
    "vm_name",
    "zone",
    "data_address",
    "peer_address",
    "admin_address",
    "peers",
    "config_dir",
    "platform",
    "peer_key",
    "accepted_peer_keys",
    "flow_key",
    "workers",
    "max_flows",
    "shutdown_deadline",
    "log_level",
    "trace_file",
    "trace_sampling",
};

// Flags given on the command line win; so the environment is applied before they are parsed.
static bool applyEnvironment(std::string& error)
{
    for (char const* name : FlagNames) {
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

namespace {

    /// Fills in the settings step by step; each step gives false and an error when its flags are bad.
    class SettingsChecker {
    public:
        std::optional<Settings> check()
        {
            if (checkIdentity() && checkAddresses() && checkSource() && checkKeys() && checkLimits()
                && checkTelemetry())
                return m_settings;
            return std::nullopt;
        }

        std::string const& error() const { return m_error; }

    private:
        bool fail(std::string const& flag, std::string const& value, std::string const& remedy)
        {
            m_error = absl::StrCat("--", flag, "=", value, ": ", remedy);
            return false;
        }

        bool checkIdentity()
        {
            m_settings.vmName = absl::GetFlag(FLAGS_vm_name);
            if (m_settings.vmName.empty())
                return fail("vm_name", "", "give this VM a name that is unique in the fleet");
            m_settings.zoneName = absl::GetFlag(FLAGS_zone);
            if (m_settings.zoneName.empty())
                return fail("zone", "", "name the availability zone of this VM");
            return true;
        }

        bool parseEndpoint(std::string const& flag, std::string const& text, Core::Endpoint& endpoint)
        {
            auto parsed = Core::Endpoint::parse(text);
            if (!parsed)
                return fail(flag, text, "write IP:PORT, for example 10.0.0.5:6080");
            endpoint = *parsed;
            return true;
        }

        bool checkAddresses()
        {
            if (!parseEndpoint("data_address", absl::GetFlag(FLAGS_data_address), m_settings.dataAddress))
                return false;
            m_settings.peerAddress = m_settings.dataAddress;
            ++m_settings.peerAddress.port;
            auto peerText = absl::GetFlag(FLAGS_peer_address);
            if (!peerText.empty() && !parseEndpoint("peer_address", peerText, m_settings.peerAddress))
                return false;
            if (m_settings.peerAddress == m_settings.dataAddress || m_settings.peerAddress.port == 0)
                return fail(
                    "peer_address", m_settings.peerAddress.toString(), "give a port other than that of --data_address");
            if (m_settings.peerAddress.address != m_settings.dataAddress.address)
                return fail("peer_address", peerText,
                    "use the IP number of --data_address; other balancers send packets there");
            auto adminText = absl::GetFlag(FLAGS_admin_address);
            if (!adminText.empty() && !parseEndpoint("admin_address", adminText, m_settings.adminAddress.emplace()))
                return false;
            for (auto text : absl::StrSplit(absl::GetFlag(FLAGS_peers), ',', absl::SkipEmpty())) {
                if (!parseEndpoint("peers", std::string { text }, m_settings.seeds.emplace_back()))
                    return false;
            }
            return true;
        }

        bool checkSource()
        {
            auto folder = absl::GetFlag(FLAGS_config_dir);
            auto platform = absl::GetFlag(FLAGS_platform);
            if (folder.empty() == platform.empty())
                return fail("config_dir", folder, "give either --config_dir or --platform, and only one of them");
            if (!platform.empty())
                return parseEndpoint("platform", platform, m_settings.platform.emplace());
            if (!std::filesystem::is_directory(folder))
                return fail("config_dir", folder, "name an existing folder of .toml files");
            m_settings.configurationFolder = folder;
            return true;
        }

        // Key values are never repeated in an error.
        bool parseKey(std::string const& flag, std::string const& text, Messages::PeerKey& key)
        {
            auto parsed = Messages::PeerKey::fromHex(text);
            if (!parsed)
                return fail(flag, "(hidden)", "give 64 hexadecimal digits, the same on all balancers");
            key = *parsed;
            return true;
        }

        bool checkKeys()
        {
            if (!parseKey("peer_key", absl::GetFlag(FLAGS_peer_key), m_settings.keys.sealing))
                return false;
            for (auto text : absl::StrSplit(absl::GetFlag(FLAGS_accepted_peer_keys), ',', absl::SkipEmpty())) {
                if (!parseKey("accepted_peer_keys", std::string { text }, m_settings.keys.accepted.emplace_back()))
                    return false;
            }
            auto flowKeyText = absl::GetFlag(FLAGS_flow_key);
            if (flowKeyText.empty() && !m_settings.keys.accepted.empty())
                return fail("flow_key", "",
                    "set it before --peer_key is replaced; flows would move with the peer key otherwise");
            auto flowKey = m_settings.keys.sealing;
            if (!flowKeyText.empty() && !parseKey("flow_key", flowKeyText, flowKey))
                return false;
            m_settings.flowKey = flowKey.deriveUint64("flow hash");
            return true;
        }

        bool checkRange(std::string const& flag, int value, int least, int greatest)
        {
            if (value >= least && value <= greatest)
                return true;
            return fail(flag, std::to_string(value), absl::StrCat("give a number from ", least, " to ", greatest));
        }

        bool checkLimits()
        {
            auto workers = absl::GetFlag(FLAGS_workers);
            auto maxFlows = absl::GetFlag(FLAGS_max_flows);
            if (!checkRange("workers", workers, 1, MaxWorkers)
                || !checkRange("max_flows", maxFlows, MinFlows, MaxFlows))
                return false;
            m_settings.workers = static_cast<std::size_t>(workers);
            m_settings.maxFlows = static_cast<std::size_t>(maxFlows);
            auto deadline = absl::GetFlag(FLAGS_shutdown_deadline);
            if (deadline < absl::ZeroDuration() || deadline > MaxShutdownDeadline)
                return fail("shutdown_deadline", absl::FormatDuration(deadline), "give a time from 0s to 1h");
            m_settings.shutdownDeadline = absl::ToChronoMilliseconds(deadline);
            return true;
        }

        bool checkTelemetry()
        {
            auto level = absl::GetFlag(FLAGS_log_level);
            if (!Telemetry::parseLevel(level, m_settings.logLevel))
                return fail("log_level", level, "give debug, info, warn or error");
            auto traceFile = absl::GetFlag(FLAGS_trace_file);
            if (!traceFile.empty())
                m_settings.traceFile = traceFile;
            auto sampling = absl::GetFlag(FLAGS_trace_sampling);
            if (!checkRange("trace_sampling", sampling, 1, MaxTraceSampling))
                return false;
            m_settings.traceSampling = static_cast<std::uint32_t>(sampling);
            return true;
        }

        Settings m_settings;
        std::string m_error;
    };

}

std::optional<Settings> parseSettings(int argc, char** argv, std::string& error)
{
    if (!applyEnvironment(error))
        return std::nullopt;
    auto rest = absl::ParseCommandLine(argc, argv);
    if (rest.size() > 1) {
        error = absl::StrCat("unexpected argument '", rest[1], "'; all settings are flags, see --help");
        return std::nullopt;
    }
    SettingsChecker checker;
    auto settings = checker.check();
    error = checker.error();
    return settings;
}

}
