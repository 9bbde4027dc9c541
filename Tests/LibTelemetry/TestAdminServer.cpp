#include <LibTelemetry/Telemetry.h>

#include <boost/test/unit_test.hpp>
#include <httplib.h>

#include <stdexcept>

using namespace Chicorytally;
using namespace Chicorytally::Telemetry;

BOOST_AUTO_TEST_SUITE(TestAdminServer)

static std::unique_ptr<AdminServer> makeServer()
{
    std::string error;
    auto server = AdminServer::create({ *Core::IpAddress::parse("127.0.0.1"), 0 }, error);
    BOOST_REQUIRE_MESSAGE(server, error);
    return server;
}

BOOST_AUTO_TEST_CASE(RoutesAnswerWithTheirHandlers)
{
    // Guards against lost parameters, a wrong status and an exception that terminates the process.
    auto server = makeServer();
    server->addRoute("/explain",
        [](AdminRequest const& request) { return AdminResponse { .body = request.parameters.at("flow") }; });
    server->addRoute("/readyz", [](auto const&) { return AdminResponse { 503, "starting\n", "text/plain" }; });
    server->addRoute("/broken", [](auto const&) -> AdminResponse { throw std::runtime_error("broken"); });
    server->start();
    httplib::Client client { "127.0.0.1", server->port() };
    BOOST_TEST(client.Get("/explain?flow=1.2.3.4%3A5")->body == "1.2.3.4:5");
    BOOST_TEST(client.Get("/readyz")->status == 503);
    BOOST_TEST(client.Get("/broken")->status == 500);
    BOOST_TEST(client.Get("/unknown")->status == 404);
}

BOOST_AUTO_TEST_CASE(StopEndsTheServer)
{
    // Guards against a stop() that hangs or that has no effect right after start().
    for (int i = 0; i < 20; ++i) {
        auto server = makeServer();
        server->start();
        server->stop();
        server->stop();
    }
}

BOOST_AUTO_TEST_CASE(PortInUseIsAnError)
{
    // Guards against two balancers on one VM that unknowingly share the requests of operators.
    auto first = makeServer();
    first->start();
    std::string error;
    BOOST_TEST(!AdminServer::create({ *Core::IpAddress::parse("127.0.0.1"), first->port() }, error));
    BOOST_TEST(!error.empty());
}

BOOST_AUTO_TEST_SUITE_END()
