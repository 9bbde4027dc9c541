#include <chicorytallyd/ConfigurationController.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;

BOOST_AUTO_TEST_SUITE(TestConfigurationController)

static std::string const GoodFile = "[service.s]\naddress = \"198.51.100.1\"\nport = 80\nprotocol = \"tcp\"\n";

BOOST_AUTO_TEST_CASE(FaultySetIsRefusedWhole)
{
    // Guards against half a change in force, and against the loss of the last good configuration.
    std::vector<std::uint64_t> applied;
    Daemon::ConfigurationController controller { [&](auto const& next) { applied.push_back(next->revision.value()); } };
    std::string reason;
    BOOST_TEST(controller.accept(Core::Revision { 5 }, { { "a.toml", GoodFile } }, reason));
    BOOST_TEST(!controller.accept(
        Core::Revision { 6 }, { { "a.toml", GoodFile }, { "b.toml", "[zone.z]\nstat = 1" } }, reason));
    BOOST_TEST(reason.find("b.toml:2") != std::string::npos, reason);
    BOOST_TEST(!controller.faults().empty());
    BOOST_REQUIRE(controller.configuration());
    BOOST_TEST(controller.configuration()->revision.value() == 5u);

    controller.noteFaults({ { .file = "c.toml" } });
    BOOST_TEST(controller.faults().front().file == "c.toml");
    BOOST_TEST(controller.accept(Core::Revision { 7 }, { { "a.toml", GoodFile } }, reason));
    BOOST_TEST(controller.faults().empty());
    BOOST_TEST(applied == (std::vector<std::uint64_t> { 5, 7 }), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
