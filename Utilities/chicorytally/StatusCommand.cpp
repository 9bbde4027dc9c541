#include <chicorytally/DaemonClient.h>

namespace Chicorytally::Tool {

static int runStatus(Invocation const& invocation) { return printResponse(invocation, "/status", { "name", "state" }); }

Command statusCommand()
{
    return { "status", {}, "Print the state of a running daemon.",
        "Asks /status of the daemon that --daemon names, and prints all fields that it answers.", runStatus };
}

}
