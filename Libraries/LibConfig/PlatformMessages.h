#pragma once

#include <LibConfig/SourceFile.h>

#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Config {

/// Answer to GET /v1/config.
struct PlatformConfiguration {
    Core::Revision revision;
    std::vector<SourceFile> files;
};

enum class VmState : std::uint8_t {
    Live,
    Leaving,
};

struct Vm {
    std::string name;
    Core::IpAddress address;
    std::string zone;
    VmState state { VmState::Live };

    friend bool operator==(Vm const&, Vm const&) = default;
};

/// Answer to GET /v1/vms. The list lags behind, so it is only a hint about which VMs exist.
struct VmList {
    Core::Revision revision;
    std::vector<Vm> vms;

    friend bool operator==(VmList const&, VmList const&) = default;
};

/// Decode the JSON of the platform. Unknown fields are ignored. Nothing when a field is missing or bad; the error then
/// says which. An answer is taken as a whole or not at all.
std::optional<PlatformConfiguration> decodePlatformConfiguration(std::string const& json, std::string& error);
std::optional<VmList> decodeVmList(std::string const& json, std::string& error);

}
