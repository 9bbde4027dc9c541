#include <chicorytally/DaemonClient.h>

namespace Chicorytally::Tool {

static int runMembers(Invocation const& invocation)
{
    return printResponse(invocation, "/members", { "name", "zone", "status", "incarnation", "revision" });
}

Command membersCommand()
{
    return { "members", {}, "Print the members of the fleet as a running daemon sees them.",
        "Requests /members from the daemon at --daemon. Fields that the daemon leaves out are printed as '-'.",
        runMembers };
}

}
