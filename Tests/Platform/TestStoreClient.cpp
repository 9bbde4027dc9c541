#include <platform/StoreClient.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <map>

using namespace Chicorytally;
using namespace std::chrono_literals;
using namespace std::string_literals;

namespace {

/// Answers pages of listings over HTTP, and keeps the parameters of the last request as a server decodes them.
class PagingStore {
public:
    explicit PagingStore(EventLoop::Loop& loop)
    {
        std::string error;
        for (std::uint16_t port = FirstPort; !m_server && port < FirstPort + PortCount; ++port) {
            m_endpoint = *Core::Endpoint::parse("127.0.0.1:" + std::to_string(port));
            m_server = EventLoop::HttpServer::create(loop, m_endpoint, error);
        }
        BOOST_REQUIRE_MESSAGE(m_server, error);
        m_server->addDeferredRoute("/api/kv-range", [this](auto const& request, auto const& respond) {
            decode(request.query);
            respond({ .status = 200, .body = R"({"items":[],"has_more":false,"as_of":1})" });
        });
    }

    Core::Endpoint const& endpoint() const { return m_endpoint; }
    std::map<std::string, std::string> const& parameters() const { return m_parameters; }

private:
    static constexpr std::uint16_t FirstPort = 21700;
    static constexpr std::uint16_t PortCount = 100;

    void decode(std::string const& query)
    {
        evkeyvalq parameters {};
        m_parameters.clear();
        if (evhttp_parse_query_str(query.c_str(), &parameters) != 0)
            return;
        for (auto const* parameter = parameters.tqh_first; parameter; parameter = parameter->next.tqe_next)
            m_parameters.emplace(parameter->key, parameter->value);
        evhttp_clear_headers(&parameters);
    }

    std::unique_ptr<EventLoop::HttpServer> m_server;
    Core::Endpoint m_endpoint;
    std::map<std::string, std::string> m_parameters;
};

struct Fixture {
    std::string error;
    std::unique_ptr<EventLoop::Loop> loop { EventLoop::Loop::create(error) };
    PagingStore store { *loop };
    Platform::StoreClient client { *loop, store.endpoint() };
};

char const* const Keys[] { "servers/i-7f3a91c2", "servers/dock-1&2", "servers/a#b", "servers/a+b", "servers/100%25",
    "servers/a b", "servers/a=b", "servers/a\r\nHost: b", "servers/\xc3\xa9\xe2\x82\xac", "servers/a?b/c;d,e\"<>" };

}

BOOST_FIXTURE_TEST_SUITE(StoreClient, Fixture)

BOOST_DATA_TEST_CASE(PageBeginsAfterAnyKey, boost::unit_test::data::make(Keys), key)
{
    // Guards against a listing that asks for the same page for ever, because the store decodes another key than the one
    // that ended the page.
    std::optional<Distribution::StoreAnswer> answer;
    client.send(Distribution::ListRequest { key }, [&](auto result, auto, auto const& cause) {
        BOOST_TEST_CONTEXT(cause) { BOOST_TEST(result.has_value()); }
        loop->stop();
    });
    loop->run();
    std::map<std::string, std::string> const expected { { "prefix", "" }, { "after", key } };
    BOOST_TEST((store.parameters() == expected));
}

BOOST_AUTO_TEST_SUITE_END()
