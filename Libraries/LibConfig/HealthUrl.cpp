#include <LibConfig/HealthUrl.h>

#include <algorithm>

namespace Chicorytally::Config {

static constexpr std::string_view Scheme = "http://";
static constexpr std::size_t MaxLength = 2'000;

// Only visible ASCII goes into a request line.
static bool isVisible(std::string_view text)
{
    return std::ranges::all_of(text, [](char letter) { return letter > 0x20 && letter < 0x7f; });
}

std::optional<HealthUrl> parseHealthUrl(std::string_view text)
{
    if (!text.starts_with(Scheme) || text.size() > MaxLength || !isVisible(text))
        return std::nullopt;
    text.remove_prefix(Scheme.size());
    auto slash = std::min(text.find('/'), text.size());
    std::string host { text.substr(0, slash) };
    std::string path { text.substr(slash) };
    bool hasPort = host.rfind(':') != std::string::npos && !host.ends_with(']');
    auto endpoint = Core::Endpoint::parse(hasPort ? host : host + ":80");
    if (!endpoint)
        return std::nullopt;
    return HealthUrl { *endpoint, path.empty() ? "/" : path };
}

}
