#include <LibRelay/PeerServer.h>

#include <algorithm>
#include <cstdio>

namespace Chicorytally::Relay {

using Distribution::BatchEncoding;

// The revision, the wait and the port.
static constexpr int RequiredParameters = 3;

static constexpr std::string_view CompressionRequest { "&encoding=zstd" };

// Limits how long a connection is kept open for a client that is gone.
static constexpr std::chrono::milliseconds MaximumWait { 10'000 };

// A follower sends a request at least once a second.
static constexpr std::chrono::seconds FollowerTimeout { 3 };

std::unique_ptr<PeerServer> PeerServer::create(EventLoop::Loop& loop, Core::Clock const& clock,
    Core::Endpoint const& endpoint, Messages::PeerKey const& key, Distribution::ReplicaFeed& feed, SentHook sentHook,
    std::string& error)
{
    auto server = EventLoop::HttpServer::create(loop, endpoint, error);
    if (!server)
        return nullptr;
    return std::unique_ptr<PeerServer> { new PeerServer { std::move(server), clock, key, feed, std::move(sentHook) } };
}

PeerServer::PeerServer(std::unique_ptr<EventLoop::HttpServer> server, Core::Clock const& clock,
    Messages::PeerKey const& key, Distribution::ReplicaFeed& feed, SentHook sentHook)
    : m_clock(clock)
    , m_server(std::move(server))
    , m_key(key)
    , m_feed(feed)
    , m_sentHook(std::move(sentHook))
{
    m_server->addDeferredRoute("/changes", [this](auto const& request, auto const& reply) { answer(request, reply); });
}

std::vector<Core::Endpoint> PeerServer::followers() const
{
    std::vector<Core::Endpoint> result;
    for (auto const& [follower, lastRequestAt] : m_followers) {
        if (m_clock.now() - lastRequestAt < FollowerTimeout)
            result.push_back(follower);
    }
    return result;
}

void PeerServer::removeExpiredFollowers()
{
    absl::erase_if(m_followers, [this](auto const& entry) { return m_clock.now() - entry.second >= FollowerTimeout; });
}

std::shared_ptr<std::string const> PeerServer::sealedBatch(std::shared_ptr<Distribution::ItemBatch const> const& batch)
{
    auto& last = batch->isListing ? m_lastListing : m_lastChanges;
    if (batch != last.batch)
        last = { batch, std::make_shared<std::string const>(Distribution::sealBatch(*batch, m_key)) };
    return last.bytes;
}

void PeerServer::answer(EventLoop::HttpRequest const& request, EventLoop::HttpServer::ResponseCallback const& reply)
{
    unsigned long long after = 0;
    long long wait = 0;
    unsigned short port = 0;
    unsigned long long epoch = m_feed.epoch().value();
    auto parsedCount = std::sscanf(
        request.query.c_str(), "after=%llu&wait_ms=%lld&port=%hu&epoch=%llu", &after, &wait, &port, &epoch);
    auto encoding = request.query.ends_with(CompressionRequest) ? BatchEncoding::Compressed : BatchEncoding::Plain;
    if (parsedCount < RequiredParameters || wait < 0) {
        reply({ .status = 400, .body = "after, wait_ms and port are needed" });
        return;
    }
    m_followers.insert_or_assign(Core::Endpoint { request.client, port }, m_clock.now());
    auto boundedWait = std::min(std::chrono::milliseconds { wait }, MaximumWait);
    m_feed.request(
        Core::Revision { after, Core::Epoch { epoch } }, boundedWait, encoding, [this, reply](auto const& batch) {
            if (!batch) {
                reply({ .status = 503 });
                return;
            }
            auto sealed = sealedBatch(batch);
            m_sentHook(sealed->size());
            reply({ .status = 200, .sharedBody = std::move(sealed) });
        });
}

}
