#pragma once

#include <LibModel/Configuration.h>

#include <string_view>

namespace Chicorytally::Model {

/// The words that configuration files use.
std::string_view toString(PartitionPolicy);
std::string_view toString(UpstreamState);
std::string_view toString(ZoneState);
std::string_view toString(Core::Protocol);

}
