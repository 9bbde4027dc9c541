#include <chicorytallyd/Settings.h>

#include <absl/flags/reflection.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace Chicorytally;

BOOST_AUTO_TEST_SUITE(TestSettings)

static std::string keyText(char digit) { return std::string(2 * Messages::KeySize, digit); }

static std::optional<Daemon::Settings> parse(std::vector<std::string> flags, std::string& error)
{
    absl::FlagSaver saver;
    std::vector<std::string> words { "chicorytallyd", "--vm_name=vm-1", "--zone=zone-a", "--data_address=10.0.0.5:6080",
        "--platform=10.0.0.1:8500", "--peer_key=" + keyText('a') };
    words.insert(words.end(), flags.begin(), flags.end());
    std::vector<char*> arguments;
    arguments.reserve(words.size());
    for (auto& word : words)
        arguments.push_back(word.data());
    return Daemon::parseSettings(static_cast<int>(arguments.size()), arguments.data(), error);
}

struct BadSetting {
    char const* flag;
    /// Part of the error.
    char const* expected;
};

static BadSetting const BadSettings[] = {
    { "--vm_name=", "--vm_name=: give this VM a name" },
    { "--zone=", "--zone=: name the availability zone" },
    { "--data_address=10.0.0.5", "--data_address=10.0.0.5: write IP:PORT" },
    { "--data_address=10.0.0.5:65535", "--peer_address=" },
    { "--peer_address=10.0.0.5:6080", "give a port other than that of --data_address" },
    { "--peer_address=10.0.0.6:6081", "use the IP number of --data_address" },
    { "--admin_address=x", "--admin_address=x: write IP:PORT" },
    { "--peers=10.0.0.6:6081,10.0.0.7", "--peers=10.0.0.7: write IP:PORT" },
    { "--platform=", "give either --config_dir or --platform" },
    { "--config_dir=/nonexistent", "give either --config_dir or --platform" },
    { "--peer_key=abc", "--peer_key=(hidden): give 64 hexadecimal digits" },
    { "--accepted_peer_keys=abc", "--accepted_peer_keys=(hidden)" },
    { "--workers=0", "--workers=0: give a number from 1 to 64" },
    { "--max_flows=10", "--max_flows=10: give a number from 1000" },
    { "--shutdown_deadline=2h", "--shutdown_deadline=2h: give a time from 0s to 1h" },
    { "--log_level=loud", "--log_level=loud: give debug, info, warn or error" },
    { "--trace_sampling=0", "--trace_sampling=0: give a number from 1" },
    { "extra", "unexpected argument 'extra'" },
};

BOOST_DATA_TEST_CASE(BadSettingIsNamed, boost::unit_test::data::xrange(std::size(BadSettings)), index)
{
    // Guards against a daemon that starts with a setting that it can't follow.
    std::string error;
    BOOST_TEST(!parse({ BadSettings[index].flag }, error));
    BOOST_TEST(error.find(BadSettings[index].expected) != std::string::npos, error);
}

BOOST_AUTO_TEST_CASE(AcceptedKeysNeedAFlowKey)
{
    // Guards against flows that move to other upstreams when the peer key is replaced.
    std::string error;
    auto accepted = "--accepted_peer_keys=" + keyText('b');
    BOOST_TEST(!parse({ accepted }, error));
    auto before = parse({ accepted, "--flow_key=" + keyText('f') }, error);
    auto after = parse({ "--peer_key=" + keyText('b'), "--flow_key=" + keyText('f') }, error);
    BOOST_REQUIRE(before && after);
    BOOST_TEST(before->flowKey == after->flowKey);
}

BOOST_AUTO_TEST_CASE(EnvironmentIsTheFallback)
{
    // Guards against an environment variable that overrules a flag or is ignored.
    std::string error;
    setenv("CHICORYTALLY_WORKERS", "3", 1);
    auto fromEnvironment = parse({}, error);
    auto fromFlag = parse({ "--workers=5" }, error);
    setenv("CHICORYTALLY_WORKERS", "many", 1);
    auto bad = parse({}, error);
    unsetenv("CHICORYTALLY_WORKERS");
    BOOST_REQUIRE(fromEnvironment && fromFlag);
    BOOST_TEST(fromEnvironment->workers == 3u);
    BOOST_TEST(fromFlag->workers == 5u);
    BOOST_TEST(!bad);
    BOOST_TEST(error.find("CHICORYTALLY_WORKERS=many") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
