#include <LibTelemetry/AdminServer.h>

#include <LibTelemetry/EventLog.h>

#include <cerrno>
#include <cstring>
#include <exception>
#include <httplib.h>

namespace Chicorytally::Telemetry {

// Enough for operators and one or two scrapers; more threads would only use memory.
static constexpr std::size_t ThreadCount = 2;

// A client that stops reading or writing occupies a thread for at most this time.
static constexpr std::chrono::seconds ClientTimeout { 5 };

static constexpr std::size_t MaxRequestBytes = 64 * 1024;

struct AdminServer::Implementation {
    httplib::Server server;
};

AdminServer::AdminServer()
    : m_implementation(std::make_unique<Implementation>())
{
}

AdminServer::~AdminServer() { stop(); }

// cpp-httplib sets SO_REUSEPORT by default, which would let a second process bind to the same port and receive half of
// the requests unnoticed.
static void setSocketOptions(int descriptor)
{
    int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

std::unique_ptr<AdminServer> AdminServer::create(Core::Endpoint const& endpoint, std::string& error)
{
    std::unique_ptr<AdminServer> admin { new AdminServer };
    auto& server = admin->m_implementation->server;
    server.new_task_queue = [] { return new httplib::ThreadPool(ThreadCount); };
    server.set_socket_options(setSocketOptions);
    server.set_read_timeout(ClientTimeout);
    server.set_write_timeout(ClientTimeout);
    server.set_payload_max_length(MaxRequestBytes);
    auto address = endpoint.address.toString();
    errno = 0;
    auto port = endpoint.port;
    if (port == 0) {
        auto bound = server.bind_to_any_port(address);
        port = bound > 0 ? static_cast<std::uint16_t>(bound) : 0;
    } else if (!server.bind_to_port(address, port)) {
        port = 0;
    }
    if (port == 0) {
        error = "bind " + endpoint.toString() + ": " + std::strerror(errno);
        return nullptr;
    }
    admin->m_port = port;
    return admin;
}

static AdminRequest toAdminRequest(httplib::Request const& request)
{
    AdminRequest converted;
    converted.path = request.path;
    for (auto const& [name, value] : request.params)
        converted.parameters.emplace(name, value);
    return converted;
}

static AdminResponse callHandler(AdminServer::Handler const& handler, AdminRequest const& request)
{
    try {
        return handler(request);
    } catch (std::exception const& exception) {
        logEvent(Level::Error, "admin_request_failed", { { "path", request.path }, { "cause", exception.what() } });
        return { 500, "internal error\n", "text/plain" };
    }
}

void AdminServer::addRoute(std::string const& path, Handler handler)
{
    // cpp-httplib takes the path as a regular expression; the paths in use contain no special characters.
    m_implementation->server.Get(
        path, [handler = std::move(handler)](httplib::Request const& request, httplib::Response& response) {
            auto result = callHandler(handler, toAdminRequest(request));
            response.status = result.status;
            response.set_content(result.body, result.contentType);
        });
}

void AdminServer::start()
{
    m_thread = std::thread { [this] { m_implementation->server.listen_after_bind(); } };
    // Server::stop() has no effect on a server that isn't listening yet.
    while (!m_implementation->server.is_running())
        std::this_thread::sleep_for(std::chrono::milliseconds { 1 });
}

void AdminServer::stop()
{
    if (!m_thread.joinable())
        return;
    m_implementation->server.stop();
    m_thread.join();
}

}
