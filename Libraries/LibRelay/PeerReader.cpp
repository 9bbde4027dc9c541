#include <LibRelay/PeerReader.h>

#include <LibRelay/AnswerHandler.h>

namespace Chicorytally::Relay {

using Distribution::StoreFailure;

// Time allowed beyond the wait, for connecting and for network latency between zones.
static constexpr std::chrono::milliseconds AnswerTimeoutMargin { 300 };

// The same for a listing, which a balancer needs before it can serve and can also get from the store.
static constexpr std::chrono::milliseconds ListingTimeoutMargin { 50 };

PeerReader::PeerReader(EventLoop::Loop& loop, Messages::KeyRing const& keys, std::uint16_t port)
    : m_loop(loop)
    , m_keys(keys)
    , m_datagramPort(port)
{
}

void PeerReader::watch(
    Core::Endpoint const& peer, Distribution::WatchRequest const& request, Distribution::StoreCallback callback)
{
    auto& client = m_clients[peer];
    if (!client)
        client = std::make_unique<EventLoop::HttpClient>(m_loop, peer);
    auto target = "/changes?after=" + std::to_string(request.after.value())
        + "&wait_ms=" + std::to_string(request.wait.count()) + "&port=" + std::to_string(m_datagramPort)
        + "&epoch=" + std::to_string(request.after.epoch().value()) + "&encoding=zstd";
    AnswerFormat format {
        .decode = [this](auto const& response, auto& cause) { return decode(response.body, cause); },
        .failureOf = [](int) { return StoreFailure::Refused; },
    };
    auto margin = request.after.isValid() ? AnswerTimeoutMargin : ListingTimeoutMargin;
    client->get(target, request.wait + margin, answerHandler(std::move(format), std::move(callback)));
}

std::optional<Distribution::StoreAnswer> PeerReader::decode(std::string const& body, std::string& cause) const
{
    auto batch = Distribution::openBatch(body, m_keys);
    if (!batch) {
        cause = "batch is not authentic or is malformed";
        return std::nullopt;
    }
    return Distribution::StoreAnswer { .items = std::move(batch->items),
        .patches = std::move(batch->patches),
        .isListing = batch->isListing,
        .asOf = batch->completeUpTo,
        .age = batch->age };
}

}
