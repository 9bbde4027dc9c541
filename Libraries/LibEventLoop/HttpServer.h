#pragma once

#include <LibCore/Core.h>
#include <LibEventLoop/HttpClient.h>
#include <LibEventLoop/Loop.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

struct evhttp;
struct evhttp_request;

namespace Chicorytally::EventLoop {

struct HttpRequest {
    /// Query string without the leading question mark.
    std::string query;
    Core::IpAddress client;
};

/// Serves GET requests on the loop. The response to an unknown path has status 404.
class HttpServer {
public:
    using Handler = std::function<HttpResponse()>;
    /// Sends the response. Must be called exactly once, on the loop, from the handler or later. It may also be called
    /// after the client disconnected.
    using ResponseCallback = std::function<void(HttpResponse)>;
    using DeferredHandler = std::function<void(HttpRequest const&, ResponseCallback)>;

    /// Returns nullptr and sets the error if the endpoint can't be bound.
    static std::unique_ptr<HttpServer> create(Loop&, Core::Endpoint const&, std::string& error);
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;
    ~HttpServer();

    /// The path must match exactly; the query is not part of it.
    void addRoute(std::string const& path, Handler);
    void addDeferredRoute(std::string const& path, DeferredHandler);

private:
    explicit HttpServer(evhttp* server);
    void handleRequest(evhttp_request*) const;
    static void send(evhttp_request*, HttpResponse const&);

    evhttp* m_server;
    std::map<std::string, DeferredHandler, std::less<>> m_routes;
};

}
