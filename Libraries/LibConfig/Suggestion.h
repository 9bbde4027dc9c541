#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Config {

/// The candidate with the smallest edit distance (Levenshtein 1966) to the word, as long as at most a third of the
/// word, but at least two letters, would change. The first one wins a tie.
std::optional<std::string> nearestWord(std::string_view word, std::vector<std::string> const& candidates);

}
