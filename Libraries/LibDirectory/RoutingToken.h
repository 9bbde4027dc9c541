#pragma once

#include <LibCore/Core.h>

#include <cstdint>

namespace Chicorytally::Directory {

/// A value that travels in each packet of a flow and names its upstream, so that any balancer can forward the packet
/// without a record of the flow (compare the connection identifiers of QUIC-LB). Zero means "none".
using RoutingToken = std::uint32_t;

/// Equal on all balancers. Two upstreams may share a token; the directory then gives new flows to one of them only.
RoutingToken routingToken(Core::UpstreamId);

}
