#pragma once

#include <chicorytally/Tool.h>

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace Chicorytally::Tool {

/// What a command gets: its operands and the flags.
struct Invocation {
    std::vector<std::string> operands;
    bool isJson { false };
    /// IP:PORT of the daemon's HTTP server.
    std::string daemon;
    std::ostream& out;
    std::ostream& err;
};

struct Command {
    std::string name;
    /// Names of the operands, all of which must be given.
    std::vector<std::string> operands;
    /// One line.
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
