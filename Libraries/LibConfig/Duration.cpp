#include <LibConfig/Duration.h>

#include <array>
#include <charconv>

namespace Chicorytally::Config {

namespace {

    struct Unit {
        char symbol;
        std::chrono::seconds size;
    };

}

static constexpr std::array<Unit, 4> Units { {
    { 'd', std::chrono::days { 1 } },
    { 'h', std::chrono::hours { 1 } },
    { 'm', std::chrono::minutes { 1 } },
    { 's', std::chrono::seconds { 1 } },
} };
static constexpr std::chrono::seconds MaxDuration = std::chrono::days { 36'525 };

std::optional<std::chrono::seconds> parseDuration(std::string_view text)
{
    if (text.empty())
        return std::nullopt;
    std::chrono::seconds sum { 0 };
    std::size_t nextUnit = 0;
    while (!text.empty()) {
        std::uint32_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc {})
            return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        while (nextUnit < Units.size() && (text.empty() || Units[nextUnit].symbol != text.front()))
            ++nextUnit;
        if (nextUnit == Units.size())
            return std::nullopt;
        // 2^32 days are far below the range of the sum, so checking after the addition is enough.
        sum += Units[nextUnit].size * std::int64_t { number };
        if (sum > MaxDuration)
            return std::nullopt;
        text.remove_prefix(1);
        ++nextUnit;
    }
    return sum;
}

std::string formatDuration(std::chrono::seconds duration)
{
    std::string text;
    for (auto const& unit : Units) {
        auto number = duration / unit.size;
        duration -= number * unit.size;
        if (number > 0)
            text += std::to_string(number) + unit.symbol;
    }
    return text.empty() ? "0s" : text;
}

}
