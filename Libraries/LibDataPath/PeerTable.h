#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

namespace Chicorytally::DataPath {

/// Data endpoints of the other balancers, by VM.
using PeerTable = absl::flat_hash_map<Core::VmId, Core::Endpoint>;

}
