#pragma once

#include <LibDataPath/FilterChain.h>

#include <memory>

namespace Chicorytally::DataPath {

/// Gives the configuration in force; nothing before the first one.
using ConfigurationSource = std::function<std::shared_ptr<Model::Configuration const>()>;

/// Gives the data endpoint of a member.
using PeerAddressSource = std::function<std::optional<Core::Endpoint>(Core::VmId)>;

/// Unwraps GUE, checks the tag of a peer hop and parses the inner packet.
Filter makeParseFilter(Packet::HopKey const&);

/// Finds the service that the packet is for.
Filter makeServiceFilter(ConfigurationSource);

/// Asks the placement engine; refusals and drops stop here.
Filter makePlacementFilter(Placement::Engine&);

/// Writes the outer header and sets the destination.
Filter makeEncapsulationFilter(Packet::HopKey const&, Core::VmId self, PeerAddressSource);

}
