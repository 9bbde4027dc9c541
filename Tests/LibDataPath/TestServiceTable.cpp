#include "Harness.h"

#include <random>

using namespace Chicorytally;

BOOST_AUTO_TEST_SUITE(TestServiceTable)

BOOST_AUTO_TEST_CASE(IndexAgreesWithLinearSearch)
{
    // Guards against matching a packet to a different service than the configuration does.
    std::mt19937 random { 1 };
    auto randomEndpoint = [&] {
        auto bytes = std::array<std::uint8_t, 4> { 198, 51, 100, static_cast<std::uint8_t>(random() % 16) };
        return Core::Endpoint { Core::IpAddress::fromV4(bytes), static_cast<std::uint16_t>(7000 + random() % 4) };
    };
    auto randomProtocol = [&] { return random() % 2 ? Core::Protocol::Tcp : Core::Protocol::Udp; };
    Model::Configuration configuration;
    for (int i = 0; i < 40; ++i) {
        auto address = randomEndpoint();
        auto protocol = randomProtocol();
        if (!configuration.findService(address, protocol))
            configuration.services.push_back(serviceAt("service", address, protocol));
    }
    DataPath::ServiceTable table { configuration };
    for (int i = 0; i < 1000; ++i) {
        auto address = randomEndpoint();
        auto protocol = randomProtocol();
        auto const* service = configuration.findService(address, protocol);
        BOOST_TEST((table.find(address, protocol) == (service ? service->id : Core::ServiceId {})));
        auto hasAddress = [&](auto const& other) { return other.address.address == address.address; };
        BOOST_TEST(table.isServiceAddress(address.address) == std::ranges::any_of(configuration.services, hasAddress));
    }
}

BOOST_AUTO_TEST_SUITE_END()
