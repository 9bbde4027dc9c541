#pragma once

#include <LibCore/Core.h>

#include <cstdint>

namespace Chicorytally::Directory {

/// A value carried in each packet of a flow that identifies its upstream, so that any balancer can forward the packet
/// without per-flow state (similar to the connection IDs of QUIC-LB). Zero means "none".
using RoutingToken = std::uint32_t;

/// The same on all balancers. When the tokens of two upstreams collide, the directory gives new flows to only one of
/// them.
RoutingToken routingToken(Core::UpstreamId);

}
