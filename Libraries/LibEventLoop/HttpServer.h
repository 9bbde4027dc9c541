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
    /// Without the question mark.
    std::string query;
    Core::IpAddress client;
};

/// Answers GET requests on the loop. Unknown paths are answered with 404.
class HttpServer {
public:
    using Handler = std::function<HttpResponse()>;
    /// Sends the answer; to be called once, now or later on the loop. Harmless after the client has gone.
    using ResponseCallback = std::function<void(HttpResponse)>;
    using DeferredHandler = std::function<void(HttpRequest const&, ResponseCallback)>;

    /// Nothing when the endpoint can't be bound; the error says why.
    static std::unique_ptr<HttpServer> create(Loop&, Core::Endpoint const&, std::string& error);
    HttpServer(HttpServer const&) = delete;
    HttpServer& operator=(HttpServer const&) = delete;
    ~HttpServer();

    /// The path is matched whole, without the query.
    void addRoute(std::string const& path, Handler);
    void addDeferredRoute(std::string const& path, DeferredHandler);

private:
    explicit HttpServer(evhttp* server);
    void answer(evhttp_request*) const;
    static void send(evhttp_request*, HttpResponse const&);

    evhttp* m_server;
    std::map<std::string, DeferredHandler, std::less<>> m_routes;
};

}
