#include <LibEventLoop/HttpClient.h>

#include <LibEventLoop/TimeValue.h>

#include <absl/strings/ascii.h>

#include <algorithm>
#include <cstdlib>
#include <new>
#include <utility>

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace Chicorytally::EventLoop {

// A page of items holds up to 1 MB of values, encoded in base64; a single value may be that large as well.
static constexpr std::size_t MaxBodyBytes = std::size_t { 4 } * 1024 * 1024;

std::string_view toString(HttpError error)
{
    switch (error) {
    case HttpError::None:
        return "none";
    case HttpError::TimedOut:
        return "timed_out";
    case HttpError::ConnectionClosed:
        return "connection_closed";
    case HttpError::TooLarge:
        return "too_large";
    case HttpError::Busy:
        return "busy";
    }
    return "unknown";
}

std::optional<std::string_view> HttpResponse::header(std::string_view name) const
{
    auto found = std::ranges::find_if(headers, [name](auto const& header) {
        return std::ranges::equal(header.name, name, {}, absl::ascii_tolower, absl::ascii_tolower);
    });
    return found == headers.end() ? std::nullopt : std::optional<std::string_view> { found->value };
}

std::string encodeQueryValue(std::string_view value)
{
    if (value.empty())
        return {};
    static constexpr int SpaceAsPercent = 0;
    std::unique_ptr<char, decltype(&std::free)> encoded {
        evhttp_uriencode(value.data(), static_cast<ev_ssize_t>(value.size()), SpaceAsPercent), &std::free
    };
    if (!encoded)
        throw std::bad_alloc {};
    return encoded.get();
}

HttpClient::HttpClient(Loop& loop, Core::Endpoint server)
    : m_loop(loop)
    , m_server(server)
    , m_deadline(loop.timer([this] {
        disconnect();
        finish(std::nullopt, HttpError::TimedOut);
    }))
{
}

HttpClient::~HttpClient()
{
    m_callback = nullptr;
    disconnect();
}

void HttpClient::connect()
{
    m_connection
        = evhttp_connection_base_new(m_loop.base(), nullptr, m_server.address.toString().c_str(), m_server.port);
    evhttp_connection_set_max_body_size(m_connection, MaxBodyBytes);
    evhttp_connection_set_retries(m_connection, 0);
}

void HttpClient::disconnect()
{
    if (!m_connection)
        return;
    // evhttp_connection_free() reports the pending request as failed. onResponse() ignores that while m_connection is
    // null, so that it doesn't reach the callback of the next request.
    auto* connection = m_connection;
    m_connection = nullptr;
    evhttp_connection_free(connection);
}

void HttpClient::get(std::string const& target, std::chrono::milliseconds timeout, Callback callback)
{
    if (isBusy()) {
        callback(std::nullopt, HttpError::Busy);
        return;
    }
    if (!m_connection)
        connect();
    m_callback = std::move(callback);
    m_isTooLarge = false;
    m_deadline->arm(timeout);
    auto* request = evhttp_request_new(onResponse, this);
    // Called before onResponse() gets a null request.
    evhttp_request_set_error_cb(
        request, [](evhttp_request_error reason, void* self) { static_cast<HttpClient*>(self)->noteError(reason); });
    evhttp_add_header(evhttp_request_get_output_headers(request), "Host", m_server.toString().c_str());
    if (evhttp_make_request(m_connection, request, EVHTTP_REQ_GET, target.c_str()) != 0) {
        disconnect();
        finish(std::nullopt, HttpError::ConnectionClosed);
    }
}

void HttpClient::noteError(int reason) { m_isTooLarge = reason == EVREQ_HTTP_DATA_TOO_LONG; }

void HttpClient::onResponse(evhttp_request* request, void* context)
{
    auto* self = static_cast<HttpClient*>(context);
    if (!self->m_connection)
        return;
    auto status = request ? evhttp_request_get_response_code(request) : 0;
    if (status == 0) {
        self->finish(std::nullopt, self->m_isTooLarge ? HttpError::TooLarge : HttpError::ConnectionClosed);
        return;
    }
    auto* buffer = evhttp_request_get_input_buffer(request);
    HttpResponse response { .status = status, .body = std::string(evbuffer_get_length(buffer), '\0') };
    evbuffer_remove(buffer, response.body.data(), response.body.size());
    auto const* headers = evhttp_request_get_input_headers(request);
    for (auto const* header = headers->tqh_first; header; header = header->next.tqe_next)
        response.headers.push_back({ header->key, header->value });
    self->finish(std::move(response), HttpError::None);
}

void HttpClient::finish(std::optional<HttpResponse> response, HttpError error)
{
    m_deadline->cancel();
    if (auto callback = std::exchange(m_callback, nullptr))
        callback(std::move(response), error);
}

}
