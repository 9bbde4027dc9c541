#pragma once

#include <LibModel/Configuration.h>

#include <string_view>

namespace Chicorytally::Model {

/// The spellings used in configuration files.
std::string_view toString(PartitionPolicy);
std::string_view toString(UpstreamState);
std::string_view toString(ZoneState);
std::string_view toString(Core::Protocol);

}
