#include "ConfigurationTexts.h"
#include "Property.h"

#include <map>
#include <sys/stat.h>

using namespace Chicorytally;
using Chicorytally::Tests::checkProperty;
using Chicorytally::Tests::goodText;

BOOST_AUTO_TEST_SUITE(TestParser)

static std::string textOf(std::vector<Config::Fault> const& faults)
{
    std::string text;
    for (auto const& fault : faults)
        text += fault.toString() + "\n";
    return text;
}

BOOST_AUTO_TEST_CASE(EveryKeyReachesTheModel)
{
    // Guards against a key that is accepted and then has no effect.
    std::string text = "revision = 41\n"
                       "[service.web]\naddress = \"2001:db8::10\"\nport = 7000\nprotocol = \"udp\"\n"
                       "partition = \"refuse\"\nidle_timeout = \"1h30m\"\nslow_start = \"0s\"\n"
                       "[service.web.upstream.web-1]\naddress = \"2001:db8:1::11\"\nport = 6081\nzone = \"north\"\n"
                       "weight = 7\nmax_connections = 9\nslots = 8\nstate = \"draining\"\ndrain_deadline = \"2h\"\n"
                       "health = \"http://[2001:db8:1::11]:8080/health\"\n"
                       "[zone.north]\nstate = \"out\"\n";
    Config::Parser parser;
    auto configuration = parser.parse({ { "a.toml", text } }, {});
    BOOST_REQUIRE_MESSAGE(configuration, textOf(parser.faults()));
    BOOST_TEST(configuration->revision.value() == 41u);
    BOOST_REQUIRE_EQUAL(configuration->services.size(), 1u);
    auto const& service = configuration->services.front();
    BOOST_TEST(service.name == "web");
    BOOST_TEST(service.address.toString() == "[2001:db8::10]:7000");
    BOOST_TEST((service.protocol == Core::Protocol::Udp));
    BOOST_TEST((service.partition == Model::PartitionPolicy::Refuse));
    BOOST_TEST(service.idleTimeout.count() == 5'400);
    BOOST_TEST(service.slowStart.count() == 0);
    BOOST_TEST((service.id == Model::serviceId("web", service.address, Core::Protocol::Udp)));
    BOOST_REQUIRE_EQUAL(service.upstreams.size(), 1u);
    auto const& upstream = service.upstreams.front();
    BOOST_TEST(upstream.name == "web-1");
    BOOST_TEST(upstream.address.toString() == "[2001:db8:1::11]:6081");
    BOOST_TEST((upstream.zone == Model::zoneId("north")));
    BOOST_TEST(upstream.weight == 7u);
    BOOST_TEST(upstream.maxConnections == 9u);
    BOOST_TEST(upstream.slots == 8u);
    BOOST_TEST(upstream.isDraining());
    BOOST_REQUIRE(upstream.drainDeadline);
    BOOST_TEST(upstream.drainDeadline->count() == 7'200);
    BOOST_TEST(upstream.healthUrl == "http://[2001:db8:1::11]:8080/health");
    BOOST_REQUIRE_EQUAL(configuration->zones.size(), 1u);
    BOOST_TEST((configuration->zones.front().state == Model::ZoneState::Out));
}

BOOST_AUTO_TEST_CASE(LaterFileOverridesSingleKeysWhateverTheOrderOfTheSet)
{
    // Guards against a merge that depends on how a peer or a file system lists the files.
    std::vector<Config::SourceFile> files { { "90-drain.toml", "[service.web.upstream.web-1]\nstate = \"draining\"\n" },
        { "10-web.toml", goodText() }, { "50-weight.toml", "[service.web.upstream.web-1]\nweight = 5\n" } };
    Config::Parser parser;
    auto configuration = parser.parse(files, Core::Revision { 7 });
    BOOST_REQUIRE_MESSAGE(configuration, textOf(parser.faults()));
    auto const& upstream = configuration->services.front().upstreams.front();
    BOOST_TEST(upstream.isDraining());
    BOOST_TEST(upstream.weight == 5u);
    BOOST_TEST(upstream.address.toString() == "10.1.0.11:6080");
    BOOST_TEST(configuration->revision.value() == 7u);
    std::ranges::reverse(files);
    BOOST_TEST((parser.parse(files, Core::Revision { 7 }) == configuration));
}

BOOST_AUTO_TEST_CASE(ExamplesAreGood)
{
    // Guards against examples that the program refuses.
    Config::FolderReader reader;
    for (auto const* site : { "accra", "central-guatemala" }) {
        auto configuration = reader.read(std::filesystem::path { Tests::exampleFolder() } / site);
        BOOST_REQUIRE_MESSAGE(configuration, textOf(reader.faults()));
        BOOST_TEST(configuration->services.size() == 2u);
        BOOST_TEST((configuration->revision == reader.newestModification()));
    }
}

BOOST_AUTO_TEST_CASE(FolderReaderTakesOnlyVisibleTomlFiles)
{
    // Guards against an editor's backup file that changes the configuration, a named pipe that blocks the reader, and
    // a missing folder that looks like an empty one.
    Tests::TemporaryFolder folder;
    folder.write("a.toml", goodText());
    folder.write(".a.toml", "broken [");
    folder.write("a.toml~", "broken [");
    folder.write("empty.toml", "");
    std::filesystem::create_directory(folder.path() / "sub.toml");
    Config::FolderReader reader;
    auto files = reader.readFiles(folder.path());
    BOOST_REQUIRE(files);
    BOOST_REQUIRE_EQUAL(files->size(), 2u);
    BOOST_TEST((files->front() == Config::SourceFile { "a.toml", goodText() }));
    BOOST_REQUIRE(mkfifo((folder.path() / "pipe.toml").c_str(), 0600) == 0);
    BOOST_TEST(!reader.readFiles(folder.path()));
    BOOST_TEST(reader.faults().front().file == "pipe.toml");
    BOOST_TEST(!reader.readFiles(folder.path() / "missing"));
    BOOST_TEST(reader.faults().size() == 1u);
}

namespace {

using Values = std::map<std::string, std::string>;

// A table by its path, with its keys; an empty key stands for the table itself.
struct Line {
    std::string table;
    std::string key;
    std::string value;
};

}

static Line randomLine()
{
    auto pick = [](std::vector<std::string> const& texts) { return *rc::gen::elementOf(texts); };
    auto kind = *rc::gen::inRange(0, 4);
    if (kind == 0)
        return { "zone." + pick({ "a", "b" }), "state", pick({ "\"in\"", "\"out\"" }) };
    auto service = "service." + pick({ "s", "t" });
    if (kind == 1)
        return { service, pick({ "slow_start", "idle_timeout" }), pick({ "\"5s\"", "\"9m\"", "\"1h\"" }) };
    auto upstream = service + ".upstream." + pick({ "u", "v" });
    if (kind == 2)
        return { upstream, "zone", pick({ "\"a\"", "\"b\"", "\"c\"" }) };
    return { upstream, pick({ "weight", "max_connections", "port", "slots" }), pick({ "5", "6080", "-1", "\"x\"" }) };
}

// The keys without which everything else would be a fault.
static std::vector<Line> baseLines()
{
    std::vector<Line> lines { { "zone.a", "state", "\"in\"" }, { "zone.b", "state", "\"in\"" } };
    int address = 1;
    for (std::string service : { "s", "t" }) {
        lines.push_back({ "service." + service, "address", "\"198.51.100." + std::to_string(address++) + "\"" });
        lines.push_back({ "service." + service, "port", "80" });
        for (std::string upstream : { "u", "v" }) {
            std::string table = "service.";
            table.append(service).append(".upstream.").append(upstream);
            lines.push_back({ table, "address", "\"10.0.0." + std::to_string(address++) + "\"" });
            lines.push_back({ table, "port", "6080" });
            lines.push_back({ table, "zone", "\"a\"" });
        }
    }
    return lines;
}

// The naive merge: one list of lines, where the last one of each key counts.
static std::map<std::string, Values> naiveMerge(std::vector<std::vector<Line>> const& files)
{
    std::map<std::string, Values> tables;
    for (auto const& file : files) {
        for (auto const& line : file)
            tables[line.table][line.key] = line.value;
    }
    return tables;
}

static std::string textOf(std::map<std::string, Values> const& tables)
{
    std::string text;
    for (auto const& [table, values] : tables) {
        text += "[" + table + "]\n";
        for (auto const& [key, value] : values)
            text.append(key).append(" = ").append(value).append("\n");
    }
    return text;
}

static std::vector<std::string> causesOf(std::vector<Config::Fault> const& faults)
{
    std::vector<std::string> causes;
    causes.reserve(faults.size());
    for (auto const& fault : faults)
        causes.push_back(fault.cause);
    std::ranges::sort(causes);
    return causes;
}

BOOST_AUTO_TEST_CASE(MergeEqualsNaiveMerge)
{
    // Guards against a merge that loses a key, keeps an overridden one, or moves a fault to another file.
    int accepted = 0;
    checkProperty("merge equals naive merge", 300, [&accepted] {
        std::vector<std::vector<Line>> contents { baseLines() };
        std::vector<Config::SourceFile> files { { "00", textOf(naiveMerge(contents)) } };
        auto count = *rc::gen::inRange(0, 6);
        for (int i = 1; i <= count; ++i) {
            auto lines = *rc::gen::container<std::vector<Line>>(
                *rc::gen::inRange<std::size_t>(0, 9), rc::gen::exec(randomLine));
            contents.push_back(lines);
            files.push_back({ "0" + std::to_string(i), textOf(naiveMerge({ lines })) });
        }
        Config::Parser merged;
        auto configuration = merged.parse(files, Core::Revision { 1 });
        Config::Parser naive;
        auto expected = naive.parse({ { "all", textOf(naiveMerge(contents)) } }, Core::Revision { 1 });
        RC_ASSERT(configuration == expected);
        RC_ASSERT(causesOf(merged.faults()) == causesOf(naive.faults()));
        accepted += configuration.has_value();
    });
    BOOST_TEST_MESSAGE("accepted " << accepted << " of 300");
    BOOST_TEST(accepted > 30);
    BOOST_TEST(accepted < 270);
}

// Bytes that have a meaning in TOML are more likely than others to reach deep into the parser.
static std::string randomSnippet()
{
    static std::vector<std::string> const Snippets { "[", "]", "\"", "'", "=", "\n", ".", "{", "}", ",", "#", "\\u0000",
        "\xff", "\xc3", "0x", "-", "1e9", "inf", "1979-05-27", "[zone.x]\n", "port", "state = \"out\"\n", "[[a]]\n",
        "\"\"\"", "99999999999999999999" };
    return *rc::gen::elementOf(Snippets);
}

static std::string mutate(std::string text)
{
    auto count = *rc::gen::inRange(1, 6);
    for (int i = 0; i < count; ++i) {
        auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        auto length = *rc::gen::inRange<std::size_t>(0, 12);
        if (*rc::gen::inRange(0, 2) == 0)
            text.insert(at, randomSnippet());
        else
            text.erase(std::min(at, text.size()), length);
    }
    return text;
}

static void checkOutcome(std::vector<Config::SourceFile> const& files)
{
    Config::Parser parser;
    auto configuration = parser.parse(files, Core::Revision { 1 });
    RC_ASSERT(configuration.has_value() == parser.faults().empty());
    for (auto const& fault : parser.faults()) {
        RC_ASSERT(!fault.cause.empty());
        RC_ASSERT(!fault.remedy.empty());
        auto isOfFault = [&](auto const& candidate) { return candidate.name == fault.file; };
        auto file = std::ranges::find_if(files, isOfFault);
        RC_ASSERT(file != files.end());
        RC_ASSERT(fault.line <= 1u + std::ranges::count(file->content, '\n'));
    }
}

BOOST_AUTO_TEST_CASE(MutatedFilesGiveFaultsOrAConfiguration)
{
    // Guards against a crash, or a refusal without a reason, on files that were damaged on the way.
    Config::FolderReader reader;
    auto example = *reader.readFiles(std::filesystem::path { Tests::exampleFolder() } / "accra");
    checkProperty("mutated files", 150, [&example] {
        auto files = example;
        auto& file = files[*rc::gen::inRange<std::size_t>(0, files.size())];
        file.content = mutate(file.content);
        checkOutcome(files);
    });
    checkProperty("mutated small file", 500, [] { checkOutcome({ { "a.toml", mutate(Tests::goodText()) } }); });
}

BOOST_AUTO_TEST_CASE(RandomFilesGiveFaultsOrAConfiguration)
{
    // Guards against a crash on bytes that were never meant as a configuration.
    checkProperty("random files", 300, [] {
        checkOutcome({ { "a.toml", *rc::gen::arbitrary<std::string>() } });
        auto snippets = *rc::gen::container<std::vector<std::string>>(rc::gen::exec(randomSnippet));
        std::string text;
        for (auto const& snippet : snippets)
            text += snippet;
        checkOutcome({ { "a.toml", text } });
    });
}

BOOST_AUTO_TEST_SUITE_END()
