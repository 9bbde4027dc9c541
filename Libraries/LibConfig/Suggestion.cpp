#include <LibConfig/Suggestion.h>

#include <algorithm>
#include <numeric>

namespace Chicorytally::Config {

// Longer words are not worth the quadratic time.
static constexpr std::size_t MaxLength = 64;

static std::size_t editDistance(std::string_view first, std::string_view second)
{
    std::vector<std::size_t> row(second.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < first.size(); ++i) {
        auto diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < second.size(); ++j) {
            auto replaced = diagonal + (first[i] == second[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
        }
    }
    return row.back();
}

std::optional<std::string> nearestWord(std::string_view word, std::vector<std::string> const& candidates)
{
    if (word.size() > MaxLength)
        return std::nullopt;
    auto best = std::max<std::size_t>(2, word.size() / 3) + 1;
    std::optional<std::string> nearest;
    for (auto const& candidate : candidates) {
        // A distance of the whole candidate means that no letter is shared.
        auto distance = editDistance(word, candidate);
        if (distance >= best || distance >= candidate.size())
            continue;
        best = distance;
        nearest = candidate;
    }
    return nearest;
}

}
