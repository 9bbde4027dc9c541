#pragma once

#include <chicorytally/Tool.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// Operands, flag values and output streams of one run of a command.
struct Invocation {
    std::vector<std::string> operands;
    bool isJson { false };
    /// IP:PORT of the daemon's HTTP server, as given by --daemon; not validated yet.
    std::string daemon;
    std::ostream& out;
    std::ostream& err;
};

struct Command {
    std::string name;
    /// Names of the operands; all of them are required.
    std::vector<std::string> operands;
    /// One line, shown in the list of commands.
    std::string summary;
    std::string help;
    std::function<int(Invocation const&)> run;
};

Command checkCommand();
Command showCommand();
Command diffCommand();
Command statusCommand();
Command upstreamsCommand();
Command membersCommand();
Command explainCommand();
Command traceCommand();

}
