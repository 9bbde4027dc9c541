#include <LibModel/Model.h>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace Chicorytally;

BOOST_AUTO_TEST_SUITE(TestConfiguration)

static Core::Endpoint endpoint(char const* text) { return *Core::Endpoint::parse(text); }

static Model::Service serviceWithUpstreams(std::string const& name, Core::Endpoint const& address, int count)
{
    Model::Service service { .name = name, .address = address };
    service.id = Model::serviceId(name, address, service.protocol);
    for (int i = 1; i <= count; ++i) {
        Model::Upstream upstream { .name = std::to_string(i) };
        upstream.address = endpoint(("10.0.0." + std::to_string(i) + ":6080").c_str());
        upstream.id = Model::upstreamId(service.id, upstream.name, upstream.address);
        service.upstreams.push_back(upstream);
    }
    std::ranges::sort(service.upstreams, {}, &Model::Upstream::id);
    return service;
}

BOOST_AUTO_TEST_CASE(IdentifierDependsOnEveryIdentifyingField)
{
    // Guards against identifier collisions, which resolve a flow record to an upstream of another service or address.
    auto address = endpoint("198.51.100.10:7000");
    std::set<Core::ServiceId> services { Model::serviceId("web", address, Core::Protocol::Tcp),
        Model::serviceId("web", address, Core::Protocol::Udp), Model::serviceId("api", address, Core::Protocol::Tcp),
        Model::serviceId("web", endpoint("198.51.100.10:7001"), Core::Protocol::Tcp),
        Model::serviceId("web", endpoint("198.51.100.11:7000"), Core::Protocol::Tcp) };
    BOOST_TEST(services.size() == 5u);
    std::set<Core::UpstreamId> upstreams;
    for (auto service : services) {
        upstreams.insert(Model::upstreamId(service, "a", address));
        upstreams.insert(Model::upstreamId(service, "b", address));
        upstreams.insert(Model::upstreamId(service, "a", endpoint("198.51.100.10:7001")));
    }
    BOOST_TEST(upstreams.size() == 15u);
}

BOOST_AUTO_TEST_CASE(IdentifiersAreStableAcrossVersions)
{
    // Guards against a rolling upgrade in which old and new balancers compute different identifiers for the same
    // upstream.
    auto service = Model::serviceId("web", endpoint("198.51.100.10:7000"), Core::Protocol::Tcp);
    BOOST_TEST(service.value() == 14'003'009'520'622'267'882u);
    BOOST_TEST(Model::upstreamId(service, "web-1", endpoint("10.1.0.11:6080")).value() == 479'796'497'720'934'356u);
    BOOST_TEST(Model::zoneId("north").value() == 4'855'965'825'427'521'444u);
    BOOST_TEST(Model::vmId("north").value() == 7'408'976'413'401'757'557u);
}

BOOST_AUTO_TEST_CASE(LookupsMatchExactIdsOnly)
{
    // Guards against a binary search that returns the adjacent element for an unknown ID.
    Model::Configuration configuration;
    configuration.services = { serviceWithUpstreams("a", endpoint("198.51.100.10:1"), 9),
        serviceWithUpstreams("b", endpoint("198.51.100.10:2"), 9) };
    std::ranges::sort(configuration.services, {}, &Model::Service::id);
    for (auto const& service : configuration.services) {
        BOOST_TEST(configuration.findService(service.id) == &service);
        BOOST_TEST(configuration.findService(service.address, Core::Protocol::Tcp) == &service);
        BOOST_TEST(!configuration.findService(service.address, Core::Protocol::Udp));
        for (auto const& upstream : service.upstreams) {
            BOOST_TEST(service.findUpstream(upstream.id) == &upstream);
            BOOST_TEST(!service.findUpstream(Core::UpstreamId { upstream.id.value() + 1 }));
        }
        BOOST_TEST(!configuration.findService(Core::ServiceId { service.id.value() + 1 }));
    }
    BOOST_TEST(!configuration.findService(Core::ServiceId {}));
}

BOOST_AUTO_TEST_CASE(UnknownZoneIsNotInService)
{
    // Guards against sending packets to an upstream in an undeclared zone.
    Model::Configuration configuration;
    configuration.zones = { { Model::zoneId("north"), "north", Model::ZoneState::In } };
    BOOST_TEST(configuration.isZoneInService(Model::zoneId("north")));
    BOOST_TEST(!configuration.isZoneInService(Model::zoneId("south")));
    configuration.zones.front().state = Model::ZoneState::Out;
    BOOST_TEST(!configuration.isZoneInService(Model::zoneId("north")));
}

BOOST_AUTO_TEST_SUITE_END()
