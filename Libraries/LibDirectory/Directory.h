#pragma once

/// LibDirectory: the routes and upstreams known at run time, for sites where a discovery service provides them
/// instead of a configuration folder. Doesn't depend on sockets, files or wire formats.

#include <LibDirectory/Route.h>
#include <LibDirectory/RoutingToken.h>
#include <LibDirectory/UpstreamDirectory.h>
