#include "ConfigurationTexts.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using Chicorytally::Tests::goodText;

BOOST_AUTO_TEST_SUITE(TestFaults)

namespace {

struct Case {
    /// Appended to goodText(), which has 8 lines; or the whole text when it starts with '!'.
    std::string text;
    std::uint32_t line;
    std::string cause;
    std::string remedy;
};

std::ostream& operator<<(std::ostream& stream, Case const& faulty) { return stream << faulty.text; }

}

static std::string const WebUpstream = "[service.web.upstream.web-2]\n";
static std::string const Upstream2 = WebUpstream + "address = \"10.1.0.12\"\nport = 6080\nzone = \"north\"\n";
static std::string const Service2 = "[service.api]\naddress = \"198.51.100.11\"\nport = 7000\n";

static Case const Cases[] = {
    // Syntax and structure
    { "[zone.north", 9, "", "TOML syntax" },
    { "[zone.east]\nstate = \"in\"\nstate = \"out\"\n", 11, "redefine", "TOML syntax" },
    { "[zone.north]\n", 9, "redefine", "TOML syntax" },
    { "[zones.east]\n", 9, "unknown key 'zones'", "did you mean zone?" },
    { "[upstreams]\n", 9, "unknown key 'upstreams'", "known keys are revision, service, zone" },
    { "!revision = 0\n" + goodText(), 1, "revision is 0, which is out of range", "1 to " },
    { "!revision = \"1\"\n" + goodText(), 1, "revision is a string, not an integer", "write an integer" },
    { "!service = 5\n", 1, "service is an integer, not a table", "write a table" },
    { "!", 0, "there is no configuration file", ".toml" },
    // Names
    { "[zone.\"a b\"]\n", 9, "bad name 'a b' in zone", "letters" },
    { "[zone.\"\"]\n", 9, "bad name '' in zone", "letters" },
    { "[zone.\"a\\u0000b\"]\n", 9, "bad name 'a\\x00b'", "letters" },
    { "[zone]\neast = \"in\"\n", 10, "zone.east is a string, not a table", "[zone.east]" },
    // Services
    { "[service.api]\nport = 7000\n", 9, "service.api has no address", "add address" },
    { "[service.api]\naddress = \"198.51.100.11\"\n", 9, "service.api has no port", "add port" },
    { Service2 + "protocol = \"sctp\"\n", 12, "protocol of service.api is 'sctp'", "\"tcp\" or \"udp\"" },
    { Service2 + "partition = true\n", 12, "is a boolean, not a string", "double quotes" },
    { Service2 + "partitoin = \"risk\"\n", 12, "unknown key 'partitoin'", "did you mean partition?" },
    { Service2 + "idle_timeout = \"15\"\n", 12, "is no duration: '15'", "from 1s to 1d" },
    { Service2 + "idle_timeout = \"0s\"\n", 12, "is 0s, which is out of range", "from 1s to 1d" },
    { Service2 + "slow_start = \"2h\"\n", 12, "out of range", "from 0s to 1h" },
    { "[service.api]\naddress = \"198.51.100.11:80\"\nport = 1\n", 10, "is no IP address", "without a port" },
    { "[service.api]\naddress = \"198.51.100.11\\u0000\"\nport = 1\n", 10, "is no IP address", "without a port" },
    { "[service.api]\naddress = \"0.0.0.0\"\nport = 1\n", 10, "unspecified range", "one machine" },
    { "[service.api]\naddress = \"224.0.0.1\"\nport = 1\n", 10, "multicast range", "one machine" },
    { "[service.api]\naddress = \"ff02::1\"\nport = 1\n", 10, "multicast range", "one machine" },
    { "[service.api]\naddress = \"198.51.100.11\"\nport = 65536\n", 11, "port of service.api is 65536", "1 to 65535" },
    { "[service.api]\naddress = \"198.51.100.11\"\nport = 7e3\n", 11, "is a float, not an integer", "an integer" },
    // Upstreams
    { WebUpstream + "address = \"10.1.0.12\"\nport = 6080\n", 9, "web-2 has no zone", "add zone" },
    { Upstream2 + "weight = 0\n", 13, "weight of service.web.upstream.web-2 is 0", "1 to 1000" },
    { Upstream2 + "weight = 1001\n", 13, "is 1001, which is out of range", "1 to 1000" },
    { Upstream2 + "max_connections = 1000001\n", 13, "out of range", "1 to 1000000" },
    { Upstream2 + "max_connections = 2\nslots = 3\n", 14, "is 3, more than max_connections", "lower slots" },
    { Upstream2 + "slots = [4]\n", 13, "is an array, not an integer", "an integer" },
    { Upstream2 + "state = \"drain\"\n", 13, "state of service.web.upstream.web-2 is 'drain'", "\"draining\"" },
    { Upstream2 + "drain_deadline = \"25h\"\n", 13, "out of range", "1s to 1d" },
    { Upstream2 + "health = \"https://10.1.0.12/\"\n", 13, "is no URL", "http://IP:PORT" },
    { Upstream2 + "health = \"http://web-2/\"\n", 13, "is no URL", "http://IP:PORT" },
    { Upstream2 + "health = \"http://10.1.0.12/\\r\\nA: b\"\n", 13, "\\x0d\\x0a", "http://IP:PORT" },
    { Upstream2 + "wieght = 5\n", 13, "unknown key 'wieght'", "did you mean weight?" },
    // Relations
    { WebUpstream + "address = \"10.1.0.12\"\nport = 6080\nzone = \"nroth\"\n", 12, "'nroth' of", "mean north?" },
    { WebUpstream + "address = \"10.1.0.12\"\nport = 6080\nzone = \"x\"\n", 12, "is not declared", "[zone.NAME]" },
    { WebUpstream + "address = \"10.1.0.11\"\nport = 6080\nzone = \"north\"\n", 10, "web-1 (a.toml:5)", "its own" },
    { WebUpstream + "address = \"198.51.100.10\"\nport = 6080\nzone = \"north\"\n", 10, "is that of service.web",
        "leads back" },
    { WebUpstream + "address = \"2001:db8::1\"\nport = 6080\nzone = \"north\"\n", 10,
        "is IPv6, but service.web is IPv4", "second service" },
    { "[service.api]\naddress = \"198.51.100.10\"\nport = 7000\n", 10, "also that of service.web (a.toml:2)",
        "own address" },
    { Service2 + "[service.api.upstream.a]\naddress = \"10.1.0.11\"\nport = 6080\nzone = \"north\"\n", 13,
        "also that of service.web.upstream.web-1", "to one service" },
};

static std::vector<Config::SourceFile> filesOf(Case const& faulty)
{
    if (faulty.text == "!")
        return {};
    bool isWhole = faulty.text.starts_with('!');
    return { { "a.toml", isWhole ? faulty.text.substr(1) : goodText() + faulty.text } };
}

BOOST_DATA_TEST_CASE(FaultHasLineCauseAndRemedy, boost::unit_test::data::make(Cases), faulty)
{
    // Guards against a bad declaration that is accepted, or reported at the wrong place or without a way out.
    Config::Parser parser;
    BOOST_TEST(!parser.parse(filesOf(faulty), {}));
    BOOST_REQUIRE_EQUAL(parser.faults().size(), 1u);
    auto const& fault = parser.faults().front();
    BOOST_TEST_INFO(fault.toString());
    BOOST_TEST(fault.line == faulty.line);
    BOOST_TEST(fault.cause.find(faulty.cause) != std::string::npos);
    BOOST_TEST(fault.remedy.find(faulty.remedy) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AllFaultsOfAllFilesAreReported)
{
    // Guards against an operator who has to run the check once for each fault.
    Config::Parser parser;
    BOOST_TEST(!parser.parse({ { "a.toml", goodText() + "[zone.east]\nstate = \"up\"\ncolour = 1\n" },
                                 { "b.toml", "[service.web]\nport = 0\n[service.api]\n" } },
        {}));
    std::vector<std::string> places;
    for (auto const& fault : parser.faults())
        places.push_back(fault.file + ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column));
    std::vector<std::string> expected { "a.toml:10:1", "a.toml:11:1", "b.toml:2:1", "b.toml:3:10", "b.toml:3:10" };
    BOOST_TEST(places == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(SyntaxFaultCausesNoFaultsInOtherFiles)
{
    // Guards against one missing bracket that floods the operator with dangling names and missing keys.
    Config::Parser parser;
    BOOST_TEST(!parser.parse({ { "a.toml", "[zone.north\n" },
                                 { "b.toml", goodText().substr(0, goodText().find("[zone")) + "wieght = 1\n" } },
        {}));
    BOOST_REQUIRE_EQUAL(parser.faults().size(), 2u);
    BOOST_TEST(parser.faults()[0].file == "a.toml");
    BOOST_TEST(parser.faults()[1].cause.find("wieght") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(OversizedAndRepeatedFilesAreRefused)
{
    // Guards against a file that the platform could not hold, and against a set whose merge order is undefined.
    Config::Parser parser;
    std::string comment = "#" + std::string(1'048'576, 'x');
    BOOST_TEST(!parser.parse({ { "a.toml", goodText() }, { "b.toml", comment } }, {}));
    BOOST_TEST(parser.faults().front().cause == "the file has 1048577 bytes");
    BOOST_TEST(!parser.parse({ { "a.toml", goodText() }, { "a.toml", goodText() } }, {}));
    BOOST_TEST(parser.faults().front().cause == "the file name stands twice in the set");
}

BOOST_AUTO_TEST_SUITE_END()
