#include <LibEventLoop/HttpServer.h>

#include <event2/buffer.h>
#include <event2/http.h>

namespace Chicorytally::EventLoop {

// Idle connections, for example of monitoring, are closed so that they don't exhaust the file descriptors.
static constexpr int IdleTimeoutSeconds = 30;

std::unique_ptr<HttpServer> HttpServer::create(Loop& loop, Core::Endpoint const& endpoint, std::string& error)
{
    auto* server = evhttp_new(loop.base());
    if (server && evhttp_bind_socket(server, endpoint.address.toString().c_str(), endpoint.port) == 0)
        return std::unique_ptr<HttpServer> { new HttpServer { server } };
    error = "can't listen on " + endpoint.toString();
    if (server)
        evhttp_free(server);
    return nullptr;
}

HttpServer::HttpServer(evhttp* server)
    : m_server(server)
{
    evhttp_set_timeout(m_server, IdleTimeoutSeconds);
    evhttp_set_allowed_methods(m_server, EVHTTP_REQ_GET);
    evhttp_set_gencb(
        m_server, [](evhttp_request* request, void* self) { static_cast<HttpServer*>(self)->handleRequest(request); },
        this);
}

HttpServer::~HttpServer() { evhttp_free(m_server); }

void HttpServer::addRoute(std::string const& path, Handler handler)
{
    addDeferredRoute(
        path, [handler = std::move(handler)](auto const&, ResponseCallback const& respond) { respond(handler()); });
}

void HttpServer::addDeferredRoute(std::string const& path, DeferredHandler handler)
{
    m_routes.emplace(path, std::move(handler));
}

static Core::IpAddress clientAddress(evhttp_request* request)
{
    char* address = nullptr;
    ev_uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &address, &port);
    return Core::IpAddress::parse(address ? address : "").value_or(Core::IpAddress {});
}

void HttpServer::handleRequest(evhttp_request* request) const
{
    auto const* uri = evhttp_request_get_evhttp_uri(request);
    auto const* path = uri ? evhttp_uri_get_path(uri) : nullptr;
    auto route = path ? m_routes.find(path) : m_routes.end();
    if (route == m_routes.end()) {
        send(request, { .status = HTTP_NOTFOUND });
        return;
    }
    auto const* query = evhttp_uri_get_query(uri);
    route->second({ .query = query ? query : "", .client = clientAddress(request) },
        [request](HttpResponse const& response) { send(request, response); });
}

// libevent keeps the request of a client that disconnected until a response is sent, and then frees it.
void HttpServer::send(evhttp_request* request, HttpResponse const& response)
{
    auto* buffer = evhttp_request_get_output_buffer(request);
    if (response.sharedBody) {
        // Keeps the body alive until libevent has sent its last byte.
        auto* bodyReference = new std::shared_ptr<std::string const> { response.sharedBody };
        auto release = [](void const*, size_t, void* context) {
            delete static_cast<std::shared_ptr<std::string const>*>(context);
        };
        auto const& body = *response.sharedBody;
        if (evbuffer_add_reference(buffer, body.data(), body.size(), release, bodyReference) != 0)
            delete bodyReference;
    } else {
        evbuffer_add(buffer, response.body.data(), response.body.size());
    }
    evhttp_send_reply(request, response.status, nullptr, nullptr);
}

}
