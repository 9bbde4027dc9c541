#pragma once

#include <LibConfig/Config.h>
#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// Keeps the order in which fields are written.
using Json = nlohmann::ordered_json;

void printJson(std::ostream&, Json const&);

/// A value for a table cell; strings without their quotes.
std::string cellText(Json const&);

/// An object of a daemon for people: plain fields as "name  value" lines (nested ones as "outer.inner"), then each list
/// of objects as a table. The columns that are named stand first, as far as they occur; all others follow.
void printObject(std::ostream&, Json const&, std::vector<std::string> const& firstColumns);

Json toJson(std::vector<Config::Fault> const&);

}
