#include <chicorytally/ConfigurationFolder.h>

namespace Chicorytally::Tool {

static int runCheck(Invocation const& invocation)
{
    auto const& folder = invocation.operands.front();
    auto configuration = readConfigurationFolder(invocation, folder);
    if (!configuration)
        return ExitFailure;
    if (invocation.isJson) {
        printJson(invocation.out,
            { { "good", true }, { "folder", folder }, { "revision", configuration->revision.value() },
                { "services", configuration->services.size() }, { "upstreams", countUpstreams(*configuration) },
                { "zones", configuration->zones.size() }, { "faults", Json::array() } });
        return ExitSuccess;
    }
    invocation.out << folder << ": good, revision " << configuration->revision.value() << ", "
                   << configuration->services.size() << " services, " << countUpstreams(*configuration)
                   << " upstreams, " << configuration->zones.size() << " zones\n";
    return ExitSuccess;
}

Command checkCommand()
{
    return { "check", { "DIR" }, "Check a configuration folder and print all of its faults.",
        "DIR holds .toml files, which are merged in the order of their names. Each fault is printed as\n"
        "FILE:LINE:COLUMN: CAUSE; REMEDY. This command changes nothing.",
        runCheck };
}

}
