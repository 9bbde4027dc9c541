#include <chicorytally/DaemonClient.h>

#include <LibCore/Core.h>

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <chrono>

namespace Chicorytally::Tool {

static constexpr std::chrono::seconds ConnectTimeout { 2 };
static constexpr std::chrono::seconds ReadTimeout { 5 };

static std::optional<Json> printError(Invocation const& invocation, std::string const& error)
{
    auto text = absl::StrCat("daemon ", invocation.daemon, ": ", error);
    if (invocation.isJson)
        printJson(invocation.out, { { "error", text } });
    else
        invocation.err << "chicorytally: " << text << "\n";
    return std::nullopt;
}

// The daemon may send an object { "error": TEXT } with an error status.
static std::string describeErrorResponse(httplib::Response const& response)
{
    auto text = absl::StrCat("HTTP status ", response.status);
    auto json = Json::parse(response.body, nullptr, false);
    if (json.is_object() && json.contains("error"))
        absl::StrAppend(&text, ": ", cellText(json["error"]));
    return text;
}

static std::optional<Json> fetchJson(
    Invocation const& invocation, Core::Endpoint const& endpoint, std::string const& path)
{
    httplib::Client client { endpoint.address.toString(), endpoint.port };
    client.set_connection_timeout(ConnectTimeout);
    client.set_read_timeout(ReadTimeout);
    auto result = client.Get(path);
    if (!result)
        return printError(invocation,
            absl::StrCat("can't be reached (", httplib::to_string(result.error()),
                "); check that chicorytallyd runs there and that --daemon names its HTTP address"));
    if (result->status != 200)
        return printError(invocation, describeErrorResponse(*result));
    auto json = Json::parse(result->body, nullptr, false);
    if (!json.is_object())
        return printError(invocation, "the response is not a JSON object; check that --daemon names a chicorytallyd");
    return json;
}

int printResponse(Invocation const& invocation, std::string const& path, std::vector<std::string> const& firstColumns)
{
    auto endpoint = Core::Endpoint::parse(invocation.daemon);
    if (!endpoint) {
        invocation.err << "chicorytally: --daemon=" << invocation.daemon
                       << ": write IP:PORT, for example 10.0.0.5:9180\n";
        return ExitUsageError;
    }
    auto response = fetchJson(invocation, *endpoint, path);
    if (!response)
        return ExitFailure;
    if (invocation.isJson)
        printJson(invocation.out, *response);
    else
        printObject(invocation.out, *response, firstColumns);
    return ExitSuccess;
}

}
