#pragma once

#include <LibCore/Core.h>

#include <optional>
#include <string>
#include <string_view>

namespace Chicorytally::Config {

/// The parts of a health probe's URL.
struct HealthUrl {
    Core::Endpoint endpoint;
    /// With its leading slash, and with the query if there is one.
    std::string path;
};

/// Parses `http://IP[:PORT][/PATH]`; the port defaults to 80 and the path to "/". Host names are not taken, because
/// balancers work without name resolution; https is not taken, because a probe has no certificate to check against.
std::optional<HealthUrl> parseHealthUrl(std::string_view);

inline bool isHealthUrl(std::string_view text) { return parseHealthUrl(text).has_value(); }

}
