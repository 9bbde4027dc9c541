#include <LibCore/Core.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally::Core;

BOOST_AUTO_TEST_SUITE(TestIpAddress)

static char const* const ValidEndpoints[] = { "10.0.0.5:6080", "[2001:db8::1]:7000", "127.0.0.1:65535" };

BOOST_DATA_TEST_CASE(EndpointTextRoundTrips, boost::unit_test::data::make(ValidEndpoints), text)
{
    // Guards against formatting an address differently from its configured text.
    auto endpoint = Endpoint::parse(text);
    BOOST_REQUIRE(endpoint);
    BOOST_TEST(endpoint->toString() == text);
}

static char const* const InvalidEndpoints[] = { "", "10.0.0.5", "10.0.0.5:", "10.0.0.5:0", "10.0.0.5:65536",
    "10.0.0.5:1x", "2001:db8::1:7000", "[10.0.0.5]:1", "host:1" };

BOOST_DATA_TEST_CASE(InvalidEndpointIsRejected, boost::unit_test::data::make(InvalidEndpoints), text)
{
    // Guards against accepting a mistyped setting, which would bind or forward to another address.
    BOOST_TEST(!Endpoint::parse(text));
}

BOOST_AUTO_TEST_SUITE_END()
