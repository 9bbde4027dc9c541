#include <LibConfig/PlatformMessages.h>

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <limits>

namespace Chicorytally::Config {

using Json = nlohmann::json;

static std::optional<Json> parseObject(std::string const& text, std::string& error)
{
    auto json = Json::parse(text, nullptr, false);
    if (json.is_object())
        return json;
    error = "the answer is no JSON object";
    return std::nullopt;
}

static std::optional<Core::Revision> revisionOf(Json const& json, std::string& error)
{
    auto field = json.find("revision");
    bool isGood = field != json.end() && field->is_number_unsigned();
    auto value = isGood ? field->get<std::uint64_t>() : 0;
    if (value > 0 && value <= std::uint64_t { std::numeric_limits<std::int64_t>::max() })
        return Core::Revision { value };
    error = "the answer has no positive revision";
    return std::nullopt;
}

static Json const* listOf(Json const& json, char const* name, std::string& error)
{
    auto field = json.find(name);
    if (field != json.end() && field->is_array())
        return &*field;
    error = absl::StrCat("the answer has no list '", name, "'");
    return nullptr;
}

static bool readText(Json const& item, char const* name, std::string& text, std::string& error)
{
    auto field = item.is_object() ? item.find(name) : item.end();
    if (field != item.end() && field->is_string()) {
        text = field->get<std::string>();
        return true;
    }
    error = absl::StrCat("an entry of the answer has no text '", name, "'");
    return false;
}

std::optional<PlatformConfiguration> decodePlatformConfiguration(std::string const& text, std::string& error)
{
    auto json = parseObject(text, error);
    auto revision = json ? revisionOf(*json, error) : std::nullopt;
    auto const* files = revision ? listOf(*json, "files", error) : nullptr;
    if (!files)
        return std::nullopt;
    PlatformConfiguration configuration { .revision = *revision };
    for (auto const& item : *files) {
        SourceFile file;
        if (!readText(item, "name", file.name, error) || !readText(item, "content", file.content, error))
            return std::nullopt;
        configuration.files.push_back(std::move(file));
    }
    return configuration;
}

static bool readVm(Json const& item, Vm& vm, std::string& error)
{
    std::string address;
    std::string state;
    if (!readText(item, "name", vm.name, error) || !readText(item, "address", address, error)
        || !readText(item, "zone", vm.zone, error) || !readText(item, "state", state, error))
        return false;
    auto parsed = Core::IpAddress::parse(address);
    if (!parsed || (state != "live" && state != "leaving")) {
        error = absl::StrCat("VM '", vm.name, "' has a bad ", parsed ? "state '" + state : "address '" + address, "'");
        return false;
    }
    vm.address = *parsed;
    vm.state = state == "live" ? VmState::Live : VmState::Leaving;
    return true;
}

std::optional<VmList> decodeVmList(std::string const& text, std::string& error)
{
    auto json = parseObject(text, error);
    auto revision = json ? revisionOf(*json, error) : std::nullopt;
    auto const* vms = revision ? listOf(*json, "vms", error) : nullptr;
    if (!vms)
        return std::nullopt;
    VmList list { .revision = *revision };
    for (auto const& item : *vms) {
        if (!readVm(item, list.vms.emplace_back(), error))
            return std::nullopt;
    }
    return list;
}

}
