#include <LibRelay/PeerServer.h>

#include <algorithm>
#include <cstdio>

namespace Chicorytally::Relay {

// A longer wait would keep the connection of a caller that has gone.
static constexpr std::chrono::milliseconds MaxWait { 10'000 };

std::unique_ptr<PeerServer> PeerServer::create(EventLoop::Loop& loop, Core::Endpoint const& endpoint,
    Messages::PeerKey const& key, Distribution::ReplicaFeed& feed, std::string& error)
{
    auto server = EventLoop::HttpServer::create(loop, endpoint, error);
    if (!server)
        return nullptr;
    return std::unique_ptr<PeerServer> { new PeerServer { std::move(server), key, feed } };
}

PeerServer::PeerServer(
    std::unique_ptr<EventLoop::HttpServer> server, Messages::PeerKey const& key, Distribution::ReplicaFeed& feed)
    : m_server(std::move(server))
    , m_key(key)
    , m_feed(feed)
{
    m_server->addDeferredRoute("/changes", [this](auto const& query, auto const& reply) { answer(query, reply); });
}

void PeerServer::answer(std::string const& query, EventLoop::HttpServer::Reply const& reply)
{
    unsigned long long after = 0;
    long long wait = 0;
    if (std::sscanf(query.c_str(), "after=%llu&wait_ms=%lld", &after, &wait) != 2 || wait < 0) {
        reply({ .status = 400, .body = "after and wait_ms are needed" });
        return;
    }
    auto bounded = std::min(std::chrono::milliseconds { wait }, MaxWait);
    m_feed.request(Core::Revision { after }, bounded, [this, reply](auto const& batch) {
        if (batch)
            reply({ .status = 200, .body = Distribution::sealBatch(*batch, m_key) });
        else
            reply({ .status = 503 });
    });
}

}
