#pragma once

#include <LibCore/Core.h>
#include <LibEventLoop/Loop.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evhttp_connection;
struct evhttp_request;

namespace Chicorytally::EventLoop {

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpResponse {
    int status { 0 };
    std::string body;
    /// If set, a server sends it instead of `body`, without copying it for each client.
    std::shared_ptr<std::string const> sharedBody {};
    /// Set only in responses that a client received.
    std::vector<HttpHeader> headers {};

    /// Returns the value of the first header with the name, whose case doesn't matter.
    std::optional<std::string_view> header(std::string_view name) const;
};

enum class HttpError : std::uint8_t {
    None,
    TimedOut,
    ConnectionClosed,
    /// The response is larger than 4 MiB.
    TooLarge,
    Busy,
};

std::string_view toString(HttpError);

/// Encodes a value for the query of a request's target: all bytes but the unreserved characters of RFC 3986 as %XX.
std::string encodeQueryValue(std::string_view);

/// Sends GET requests to one server over one connection, one request at a time. The connection is kept open between
/// requests and re-established after an error, so that an unresponsive connection costs a single timeout.
class HttpClient {
public:
    /// Called once for each request, with either the response or std::nullopt and the error.
    using Callback = std::function<void(std::optional<HttpResponse>, HttpError)>;

    HttpClient(Loop&, Core::Endpoint server);
    HttpClient(HttpClient const&) = delete;
    HttpClient& operator=(HttpClient const&) = delete;
    ~HttpClient();

    /// The timeout covers connecting and receiving the whole response. Fails with Busy while a request is in progress.
    void get(std::string const& target, std::chrono::milliseconds timeout, Callback);
    bool isBusy() const { return static_cast<bool>(m_callback); }

private:
    void connect();
    void disconnect();
    void finish(std::optional<HttpResponse>, HttpError);
    static void onResponse(evhttp_request*, void* self);
    /// The reason is an evhttp_request_error.
    void noteError(int reason);

    Loop& m_loop;
    Core::Endpoint m_server;
    evhttp_connection* m_connection { nullptr };
    /// Set while a request is in progress.
    Callback m_callback;
    /// Whether the request in progress failed because of the size of its response.
    bool m_isTooLarge { false };
    std::unique_ptr<EventRegistration> m_deadline;
};

}
