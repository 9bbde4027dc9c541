#pragma once

/// LibDirectory: the routes and upstreams that are known at run time, where a discovery service rather than a
/// configuration folder names them. Knows no sockets, files or wire formats.

#include <LibDirectory/Route.h>
#include <LibDirectory/RoutingToken.h>
#include <LibDirectory/UpstreamDirectory.h>
