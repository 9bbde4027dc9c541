#pragma once

#include <LibConfig/Config.h>
#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// Keeps fields in the order of insertion.
using Json = nlohmann::ordered_json;

void printJson(std::ostream&, Json const&);

/// The text of a value in a table cell. Strings have no quotes, and null is empty.
std::string cellText(Json const&);

/// Prints a JSON object as text: scalar fields as "name  value" lines (nested ones as "outer.inner"), then each array
/// of objects as a table. The columns in firstColumns that occur come first, followed by all others.
void printObject(std::ostream&, Json const&, std::vector<std::string> const& firstColumns);

Json toJson(std::vector<Config::Fault> const&);

}
