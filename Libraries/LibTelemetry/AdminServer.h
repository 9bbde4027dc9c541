#pragma once

#include <LibCore/Core.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace Chicorytally::Telemetry {

struct AdminRequest {
    std::string path;
    /// Decoded query parameters, as in /explain?flow=...
    std::map<std::string, std::string> parameters;
};

struct AdminResponse {
    int status { 200 };
    std::string body;
    std::string contentType { "application/json" };
};

/// Serves GET requests of operators and monitoring over HTTP on its own threads.
class AdminServer {
public:
    /// Called on a thread of the server; must be thread-safe. An exception results in a response with status 500.
    using Handler = std::function<AdminResponse(AdminRequest const&)>;

    /// Binds to the endpoint; port 0 selects any free port. Returns nullptr and sets the error on failure.
    static std::unique_ptr<AdminServer> create(Core::Endpoint const&, std::string& error);
    AdminServer(AdminServer const&) = delete;
    AdminServer& operator=(AdminServer const&) = delete;
    ~AdminServer();

    /// Must be called before start(). The path must match exactly.
    void addRoute(std::string const& path, Handler);
    void start();
    /// Completes the requests in progress and joins the threads.
    void stop();
    std::uint16_t port() const { return m_port; }

private:
    struct Implementation;

    AdminServer();

    std::unique_ptr<Implementation> m_implementation;
    std::uint16_t m_port { 0 };
    std::thread m_thread;
};

}
