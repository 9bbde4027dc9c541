#include <platform/NodeSettings.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <nlohmann/json.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

std::string const PeerKey(64, 'a');

nlohmann::json validSettings()
{
    return nlohmann::json::parse(R"({
        "node": "front-a-1", "zone": "a", "zones": {"a": "r", "b": "r"},
        "listen": {"packet_addr": "10.1.0.10:8172", "ready": "10.1.0.10:8167"},
        "internal_ports": [7720, 7735], "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
        "limits": {"memory_mb": 260, "link_mbps": 200.0}, "heartbeat_ms": 1200, "bounds": {"grace_s": 6},
        "platform": {"addr": "10.200.1.7:8169"}, "unknown": [1, 2]})");
}

}

BOOST_AUTO_TEST_SUITE(NodeSettings)

BOOST_AUTO_TEST_CASE(FieldsAreParsed)
{
    // Guards against mixing up the addresses.
    std::string error;
    auto parsed = Platform::parseNodeSettings(validSettings().dump(), PeerKey, error);
    BOOST_REQUIRE_MESSAGE(parsed.has_value(), error);
    BOOST_TEST(parsed->dataAddress.toString() == "10.1.0.10:8172");
    BOOST_TEST(parsed->readyAddress.toString() == "10.1.0.10:8167");
    BOOST_TEST(parsed->peerAddress.toString() == "10.1.0.10:7720");
    BOOST_TEST(parsed->storeAddress.toString() == "10.200.1.7:8169");
    BOOST_TEST(parsed->seeds.size() == 2U);
    BOOST_CHECK(parsed->upstreamHeartbeat == 1200ms);
    BOOST_CHECK(parsed->shutdownGrace == 6s);
    BOOST_TEST(parsed->linkBytesPerSecond.value() == 25e6);
}

BOOST_AUTO_TEST_CASE(MissingFieldIsNamedInTheError)
{
    // Guards against a process that starts without a required setting.
    for (auto const* field : { "node", "zone", "listen", "internal_ports", "platform", "heartbeat_ms", "bounds" }) {
        auto changed = validSettings();
        changed.erase(field);
        std::string error;
        BOOST_TEST(!Platform::parseNodeSettings(changed.dump(), PeerKey, error).has_value());
        BOOST_TEST(error.find(field) != std::string::npos, error);
    }
}

BOOST_AUTO_TEST_CASE(InvalidAddressIsRejected)
{
    // Guards against binding a socket to the wildcard address.
    auto changed = validSettings();
    changed["listen"]["ready"] = "8167";
    std::string error;
    BOOST_TEST(!Platform::parseNodeSettings(changed.dump(), PeerKey, error).has_value());
    BOOST_TEST(error.find("listen.ready") != std::string::npos);
}

struct SwitchCase {
    char const* variable;
    std::string Platform::FeatureSwitches::*text;
    bool Platform::NodeSettings::*isEnabled;
};

std::ostream& operator<<(std::ostream& stream, SwitchCase const& testCase) { return stream << testCase.variable; }

SwitchCase const Switches[] {
    { "CHICORYTALLY_ADMISSION_CONTROL", &Platform::FeatureSwitches::admissionControl,
        &Platform::NodeSettings::isAdmissionControlEnabled },
    { "CHICORYTALLY_LOAD_VIEW", &Platform::FeatureSwitches::loadView, &Platform::NodeSettings::isLoadViewEnabled },
};

BOOST_DATA_TEST_CASE(FeatureCanBeTurnedOff, boost::unit_test::data::make(Switches), testCase)
{
    // Guards against a misspelt switch that leaves a feature in the wrong state.
    std::string error;
    auto text = validSettings().dump();
    Platform::FeatureSwitches switches;
    BOOST_TEST((Platform::parseNodeSettings(text, PeerKey, error, switches).value().*testCase.isEnabled));
    switches.*testCase.text = "off";
    BOOST_TEST(!(Platform::parseNodeSettings(text, PeerKey, error, switches).value().*testCase.isEnabled));
    switches.*testCase.text = "no";
    BOOST_TEST(!Platform::parseNodeSettings(text, PeerKey, error, switches).has_value());
    BOOST_TEST(error.find(testCase.variable) != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
