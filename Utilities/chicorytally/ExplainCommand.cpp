#include <chicorytally/DaemonClient.h>

#include <LibCore/Core.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace Chicorytally::Tool {

// Returns the flow in the format that the daemon expects, or std::nullopt when it is invalid.
static std::optional<std::string> normalizeFlow(std::string const& text)
{
    std::vector<std::string> parts = absl::StrSplit(text, ',');
    bool isValid = parts.size() == 3 && (parts[0] == "tcp" || parts[0] == "udp");
    auto source = isValid ? Core::Endpoint::parse(parts[1]) : std::nullopt;
    auto destination = isValid ? Core::Endpoint::parse(parts[2]) : std::nullopt;
    if (!source || !destination)
        return std::nullopt;
    return absl::StrCat(parts[0], ",", source->toString(), ",", destination->toString());
}

static int runExplain(Invocation const& invocation)
{
    auto flow = normalizeFlow(invocation.operands.front());
    if (!flow) {
        invocation.err << "chicorytally: invalid flow '" << invocation.operands.front()
                       << "'; write PROTOCOL,CALLER,SERVICE, for example tcp,10.0.0.1:4000,198.51.100.10:7000\n";
        return ExitUsageError;
    }
    return printResponse(
        invocation, absl::StrCat("/explain?flow=", *flow), { "step", "verdict", "reason", "upstream" });
}

Command explainCommand()
{
    return { "explain", { "FLOW" }, "Print where a running daemon sends a flow, and why.",
        "FLOW is PROTOCOL,CALLER,SERVICE with tcp or udp and addresses as IP:PORT, for example\n"
        "tcp,10.0.0.1:4000,198.51.100.10:7000 or udp,[2001:db8::1]:4000,[2001:db8::10]:7000.",
        runExplain };
}

}
