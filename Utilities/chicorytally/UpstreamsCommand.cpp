#include <chicorytally/DaemonClient.h>

namespace Chicorytally::Tool {

static int runUpstreams(Invocation const& invocation)
{
    return printResponse(invocation, "/upstreams",
        { "service", "name", "zone", "state", "health", "connections", "max_connections", "load" });
}

Command upstreamsCommand()
{
    return { "upstreams", {}, "Print the upstreams as a running daemon sees them.",
        "Asks /upstreams of the daemon that --daemon names. Fields that the daemon leaves out are printed as '-'.",
        runUpstreams };
}

}
