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
        "Requests /upstreams from the daemon at --daemon. Fields that the daemon leaves out are printed as '-'.",
        runUpstreams };
}

}
