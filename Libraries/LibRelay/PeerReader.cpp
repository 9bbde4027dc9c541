#include <LibRelay/PeerReader.h>

namespace Chicorytally::Relay {

using Distribution::StoreFailure;

// Time beyond the wait for connecting and for the answer's way between zones.
static constexpr std::chrono::milliseconds AnswerMargin { 300 };

static constexpr int StatusOk = 200;

PeerReader::PeerReader(EventLoop::Loop& loop, Messages::KeyRing const& keys, std::uint16_t port)
    : m_loop(loop)
    , m_keys(keys)
    , m_port(port)
{
}

void PeerReader::watch(Core::Endpoint const& peer, Distribution::WatchRequest const& request, Callback callback)
{
    auto& client = m_clients[peer];
    if (!client)
        client = std::make_unique<EventLoop::HttpClient>(m_loop, peer);
    auto target = "/changes?after=" + std::to_string(request.after.value())
        + "&wait_ms=" + std::to_string(request.wait.count()) + "&port=" + std::to_string(m_port);
    auto handle = [this, callback = std::move(callback)](auto response, EventLoop::HttpError error) {
        if (!response) {
            callback(std::nullopt, StoreFailure::Unreachable, std::string { toString(error) });
            return;
        }
        if (response->status != StatusOk) {
            callback(std::nullopt, StoreFailure::Refused, "status " + std::to_string(response->status));
            return;
        }
        auto batch = Distribution::openBatch(response->body, m_keys);
        if (!batch) {
            callback(std::nullopt, StoreFailure::Malformed, "not authentic or not readable");
            return;
        }
        callback(Distribution::StoreAnswer { .items = std::move(batch->items),
                     .isListing = batch->isListing,
                     .asOf = batch->completeUpTo,
                     .age = batch->age },
            StoreFailure::Unreachable, {});
    };
    client->get(target, request.wait + AnswerMargin, std::move(handle));
}

}
