#include <LibEventLoop/EventLoop.h>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

/// A TCP socket bound to a free loopback port; it listens if requested, but never accepts a connection.
class TcpPort {
public:
    explicit TcpPort(bool isListening)
        : m_descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
        if (isListening)
            BOOST_REQUIRE(listen(m_descriptor, 8) == 0);
        getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        m_endpoint = *Core::Endpoint::parse("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
    }
    TcpPort(TcpPort const&) = delete;
    TcpPort& operator=(TcpPort const&) = delete;
    ~TcpPort() { close(m_descriptor); }

    Core::Endpoint const& endpoint() const { return m_endpoint; }

private:
    int m_descriptor;
    Core::Endpoint m_endpoint;
};

Core::Endpoint unusedEndpoint() { return TcpPort { false }.endpoint(); }

struct Fixture {
    std::string error;
    std::unique_ptr<EventLoop::Loop> loop { EventLoop::Loop::create(error) };
    Core::SystemClock clock;
    EventLoop::HttpError httpError { EventLoop::HttpError::None };
    std::optional<EventLoop::HttpResponse> response;

    void get(EventLoop::HttpClient& client, std::string const& target, std::chrono::milliseconds timeout = 5s)
    {
        client.get(target, timeout, [this](auto result, auto resultError) {
            response = std::move(result);
            httpError = resultError;
            loop->stop();
        });
        loop->run();
    }

    EventLoop::ProbeResult probe(Core::Endpoint const& endpoint, std::chrono::milliseconds timeout)
    {
        std::optional<EventLoop::ProbeResult> result;
        EventLoop::ConnectionProbe probe { *loop, clock, endpoint, timeout, [&](auto probeResult) {
                                              result = probeResult;
                                              loop->stop();
                                          } };
        loop->run();
        return *result;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(Http, Fixture)

BOOST_AUTO_TEST_CASE(RequestsShareAConnection)
{
    // Guards against a client that takes the response to an earlier request for that of the current one.
    auto endpoint = unusedEndpoint();
    auto server = EventLoop::HttpServer::create(*loop, endpoint, error);
    BOOST_REQUIRE_MESSAGE(server, error);
    server->addRoute("/a", [] { return EventLoop::HttpResponse { 200, "first" }; });
    server->addRoute("/b", [] { return EventLoop::HttpResponse { 503, "second" }; });
    EventLoop::HttpClient client { *loop, endpoint };
    get(client, "/a?x=1");
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body == "first");
    BOOST_TEST(response->header("content-length").value_or("") == "5");
    BOOST_TEST(!response->header("content").has_value());
    get(client, "/b");
    BOOST_TEST(response->status == 503);
    BOOST_TEST(response->body == "second");
    get(client, "/c");
    BOOST_TEST(response->status == 404);
}

BOOST_AUTO_TEST_CASE(UnresponsiveServerTimesOutAndTheClientRecovers)
{
    // Guards against a client that waits forever on an unresponsive connection.
    TcpPort unresponsive { true };
    EventLoop::HttpClient client { *loop, unresponsive.endpoint() };
    get(client, "/", 20ms);
    BOOST_CHECK(httpError == EventLoop::HttpError::TimedOut);
    BOOST_TEST(!client.isBusy());
    get(client, "/", 20ms);
    BOOST_CHECK(httpError == EventLoop::HttpError::TimedOut);
}

BOOST_AUTO_TEST_CASE(ClosedPortIsReported)
{
    // Guards against a connection failure that is reported as an empty response.
    EventLoop::HttpClient client { *loop, unusedEndpoint() };
    get(client, "/");
    BOOST_TEST(!response.has_value());
    BOOST_CHECK(httpError == EventLoop::HttpError::ConnectionClosed);
}

BOOST_AUTO_TEST_CASE(ResponseThatIsTooLargeIsToldApart)
{
    // Guards against taking a server whose response is too large for one that can't be reached.
    // The server writes on after the client has closed the connection. The programs ignore the signal, too.
    std::signal(SIGPIPE, SIG_IGN);
    auto endpoint = unusedEndpoint();
    auto server = EventLoop::HttpServer::create(*loop, endpoint, error);
    BOOST_REQUIRE_MESSAGE(server, error);
    static constexpr std::size_t LargestBody = std::size_t { 4 } * 1024 * 1024;
    server->addRoute("/largest", [] { return EventLoop::HttpResponse { 200, std::string(LargestBody, 'x') }; });
    server->addRoute("/larger", [] { return EventLoop::HttpResponse { 200, std::string(LargestBody + 1, 'x') }; });
    EventLoop::HttpClient client { *loop, endpoint };
    get(client, "/larger");
    BOOST_TEST(!response.has_value());
    BOOST_CHECK(httpError == EventLoop::HttpError::TooLarge);
    get(client, "/largest");
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(response->body.size() == LargestBody);
}

BOOST_AUTO_TEST_CASE(ProbeDistinguishesAListenerFromAClosedPort)
{
    // Guards against an upstream that is considered failed although a process listens on its port.
    TcpPort listener { true };
    BOOST_CHECK(probe(listener.endpoint(), 5s) == EventLoop::ProbeResult::Connected);
    BOOST_CHECK(probe(unusedEndpoint(), 5s) == EventLoop::ProbeResult::Refused);
}

BOOST_AUTO_TEST_SUITE_END()
