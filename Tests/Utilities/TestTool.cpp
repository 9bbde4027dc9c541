#include <LibConfig/ConfigurationTexts.h>

#include <chicorytally/JsonOutput.h>
#include <chicorytally/Tool.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <httplib.h>

#include <sstream>
#include <thread>

using namespace Chicorytally;
using Tool::Json;

BOOST_AUTO_TEST_SUITE(TestTool)

namespace {

struct Result {
    int exitCode;
    std::string out;
    std::string err;
};

/// An HTTP server that returns the response that a test sets.
class FakeDaemon {
public:
    FakeDaemon()
    {
        m_server.Get("/.*", [this](httplib::Request const& request, httplib::Response& response) {
            m_requestTarget = request.path + "?" + request.get_param_value("flow");
            response.status = m_status;
            response.set_content(m_body, "application/json");
        });
        m_port = m_server.bind_to_any_port("127.0.0.1");
        m_thread = std::thread { [this] { m_server.listen_after_bind(); } };
        // httplib::Server::stop() has no effect before the server runs.
        while (!m_server.is_running())
            std::this_thread::yield();
    }
    FakeDaemon(FakeDaemon const&) = delete;
    FakeDaemon& operator=(FakeDaemon const&) = delete;
    ~FakeDaemon() { stop(); }

    void stop()
    {
        m_server.stop();
        if (m_thread.joinable())
            m_thread.join();
    }
    void setResponse(int status, std::string body)
    {
        m_status = status;
        m_body = std::move(body);
    }
    std::string addressFlag() const { return "--daemon=127.0.0.1:" + std::to_string(m_port); }
    std::string const& requestTarget() const { return m_requestTarget; }

private:
    httplib::Server m_server;
    std::string m_requestTarget;
    std::string m_body;
    int m_status { 200 };
    int m_port { 0 };
    std::thread m_thread;
};

}

static Result run(std::vector<std::string> const& arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    auto exitCode = Tool::run(arguments, out, err);
    return { exitCode, out.str(), err.str() };
}

static bool contains(std::string const& text, std::string const& part)
{
    BOOST_TEST_INFO(text);
    return text.find(part) != std::string::npos;
}

static std::string const Accra = Tests::exampleFolder() + "/accra";

BOOST_AUTO_TEST_CASE(CheckReportsValidAndInvalidFolders)
{
    // Guards against a deployment script that accepts an invalid configuration because the exit code is 0.
    auto good = run({ "check", Accra });
    BOOST_TEST(good.exitCode == 0);
    BOOST_TEST(contains(good.out, "2 services, 19 upstreams, 4 zones\n"));
    Tests::TemporaryFolder folder;
    folder.write("a.toml", Tests::goodText() + "[zone.east]\nstat = \"in\"\n");
    auto faulty = run({ "check", folder.path() });
    BOOST_TEST(faulty.exitCode == 1);
    BOOST_TEST(contains(faulty.err, "a.toml:10:1: unknown key 'stat' of zone.east; did you mean state?\n"));
    auto json = run({ "check", "--format", "json", folder.path() });
    BOOST_TEST(json.exitCode == 1);
    auto parsed = Json::parse(json.out);
    BOOST_TEST(parsed["good"] == false);
    BOOST_TEST(parsed["faults"][0]["line"] == 10);
    BOOST_TEST(run({ "check", folder.path() / "missing" }).exitCode == 1);
}

BOOST_AUTO_TEST_CASE(ShowPrintsTheMergedConfiguration)
{
    // Guards against printing values that differ from the merged configuration in force.
    Tests::TemporaryFolder folder;
    folder.write("a.toml", "revision = 7\n" + Tests::goodText());
    folder.write("b.toml", "[service.web.upstream.web-1]\nstate = \"draining\"\ndrain_deadline = \"90m\"\n");
    auto table = run({ "show", folder.path() });
    BOOST_TEST(table.exitCode == 0);
    BOOST_TEST(contains(table.out, "revision 7\n"));
    BOOST_TEST(contains(
        table.out, "web/web-1  10.1.0.11:6080  north  100     2000             4      draining  1h30m           -\n"));
    auto json = Json::parse(run({ "show", folder.path(), "--format=json" }).out);
    BOOST_TEST(json["services"][0]["upstreams"][0]["drain_deadline"] == "1h30m");
    BOOST_TEST(json["zones"][0]["state"] == "in");
}

BOOST_AUTO_TEST_CASE(DiffPrintsChanges)
{
    // Guards against a drain that is missing from the differences, so that a review doesn't notice it.
    Tests::TemporaryFolder folder;
    folder.write("a.toml", Tests::goodText());
    Tests::TemporaryFolder next;
    next.write("a.toml", Tests::goodText());
    next.write("b.toml", "[service.web.upstream.web-1]\nstate = \"draining\"\n");
    auto table = run({ "diff", folder.path(), next.path() });
    BOOST_TEST(table.exitCode == 0);
    BOOST_TEST(contains(table.out, "changed  upstream  web/web-1  state  active  draining\n"));
    auto json = Json::parse(run({ "diff", folder.path(), next.path(), "--format=json" }).out);
    BOOST_TEST(json["changes"][0]["keys"][0]["after"] == "draining");
    BOOST_TEST(json["moved_shares"][0]["share"] > 0);
    BOOST_TEST(run({ "diff", folder.path(), folder.path() }).out == "no differences\n");
}

BOOST_AUTO_TEST_CASE(DaemonResponsesArePrinted)
{
    // Guards against hiding fields that only a newer daemon sends, and against failing on fields that are missing.
    FakeDaemon daemon;
    daemon.setResponse(200,
        R"({"vm":"accra-1","configuration":{"revision":7},"upstreams":[
            {"name":"web-1","connections":3},{"service":"web","name":"web-2","new":"a\u001bb"}],"none":[]})");
    auto table = run({ "upstreams", daemon.addressFlag() });
    BOOST_TEST(table.exitCode == 0);
    BOOST_TEST(table.out
        == "FIELD                   VALUE\nvm                      accra-1\nconfiguration.revision  7\n"
           "none                    []\n\nupstreams:\nservice  name   connections  new\n"
           "-        web-1  3            -\nweb      web-2  -            a?b\n");
    BOOST_TEST(Json::parse(run({ "members", daemon.addressFlag(), "--format=json" }).out)["vm"] == "accra-1");
    BOOST_TEST(daemon.requestTarget() == "/members?");
    BOOST_TEST(run({ "status", daemon.addressFlag() }).exitCode == 0);
    BOOST_TEST(daemon.requestTarget() == "/status?");
    daemon.setResponse(200, "{}");
    BOOST_TEST(run({ "explain", "udp,[2001:db8::1]:4000,[2001:db8::a]:7000", daemon.addressFlag() }).exitCode == 0);
    BOOST_TEST(daemon.requestTarget() == "/explain?udp,[2001:db8::1]:4000,[2001:db8::a]:7000");
}

BOOST_AUTO_TEST_CASE(DaemonErrorsAreReported)
{
    // Guards against a script that takes a failed request for a valid response.
    FakeDaemon daemon;
    daemon.setResponse(404, R"({"error":"no such service"})");
    auto missing = run({ "explain", "tcp,10.0.0.1:4000,198.51.100.10:7000", daemon.addressFlag() });
    BOOST_TEST(missing.exitCode == 1);
    BOOST_TEST(contains(missing.err, "HTTP status 404: no such service"));
    daemon.setResponse(200, "<html>");
    BOOST_TEST(contains(run({ "status", daemon.addressFlag() }).err, "not a JSON object"));
    daemon.stop();
    auto unreachable = run({ "status", daemon.addressFlag() });
    BOOST_TEST(unreachable.exitCode == 1);
    BOOST_TEST(contains(unreachable.err, "can't be reached"));
    auto json = run({ "status", daemon.addressFlag(), "--format=json" });
    BOOST_TEST(json.exitCode == 1);
    BOOST_TEST(Json::parse(json.out).contains("error"));
}

namespace {

struct UsageCase {
    std::vector<std::string> arguments;
    std::string error;
};

std::ostream& operator<<(std::ostream& stream, UsageCase const& usage) { return stream << usage.error; }

}

static UsageCase const UsageCases[] = {
    { {}, "usage: chicorytally COMMAND" },
    { { "chek", "x" }, "unknown command 'chek'" },
    { { "check" }, "write 'chicorytally check DIR'" },
    { { "diff", "a" }, "write 'chicorytally diff OLD NEW'" },
    { { "status", "x" }, "write 'chicorytally status'" },
    { { "check", "x", "--color=1" }, "unknown flag '--color=1'" },
    { { "check", "x", "---" }, "unknown flag '---'" },
    { { "check", "x", "--format" }, "has no value" },
    { { "check", "x", "--format=xml" }, "--format=xml: use table or json" },
    { { "status", "--daemon=localhost" }, "--daemon=localhost: write IP:PORT" },
    { { "explain", "tcp,10.0.0.1:4000" }, "invalid flow" },
    { { "explain", "icmp,10.0.0.1:4000,10.0.0.2:1" }, "invalid flow" },
    { { "explain", "tcp,10.0.0.1:0,10.0.0.2:1" }, "invalid flow" },
};

BOOST_DATA_TEST_CASE(UsageErrorHasItsOwnExitCode, boost::unit_test::data::make(UsageCases), usage)
{
    // Guards against a script that can't tell a misspelt command from a fault in the configuration.
    auto result = run(usage.arguments);
    BOOST_TEST(result.exitCode == 2);
    BOOST_TEST(contains(result.err, usage.error));
    BOOST_TEST(result.out.empty());
}

BOOST_AUTO_TEST_CASE(EveryCommandHasHelp)
{
    // Guards against a command that is missing from the help or has no help text of its own.
    auto overview = run({ "--help" });
    BOOST_TEST(overview.exitCode == 0);
    for (auto const* name : { "check", "show", "diff", "status", "upstreams", "members", "explain" }) {
        BOOST_TEST(contains(overview.out, std::string { "\n  " } + name));
        auto help = run({ name, "--help" });
        BOOST_TEST(help.exitCode == 0);
        BOOST_TEST(help.out.starts_with(std::string { "usage: chicorytally " } + name));
    }
}

BOOST_AUTO_TEST_SUITE_END()
