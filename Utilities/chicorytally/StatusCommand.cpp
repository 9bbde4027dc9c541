#include <chicorytally/DaemonClient.h>

namespace Chicorytally::Tool {

static int runStatus(Invocation const& invocation) { return printResponse(invocation, "/status", { "name", "state" }); }

Command statusCommand()
{
    return { "status", {}, "Print the state of a running daemon.",
        "Requests /status from the daemon at --daemon and prints all fields of the response.", runStatus };
}

}
