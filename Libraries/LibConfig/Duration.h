#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace Chicorytally::Config {

/// Parses whole numbers with the units d, h, m and s, greatest unit first and each at most once: "30s", "1h30m".
/// Nothing for any other text and for more than 100 years.
std::optional<std::chrono::seconds> parseDuration(std::string_view text);

/// The shortest text that parseDuration() takes for the value; "0s" for zero. Negative values are not supported.
std::string formatDuration(std::chrono::seconds);

}
