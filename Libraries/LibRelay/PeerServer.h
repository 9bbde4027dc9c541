#pragma once

#include <LibDistribution/Distribution.h>
#include <LibEventLoop/EventLoop.h>
#include <LibMessages/Messages.h>

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

namespace Chicorytally::Relay {

/// Answers `GET /changes?after=REVISION&wait_ms=MILLISECONDS&port=PORT` of other balancers with a sealed ItemBatch, or
/// with 503 while this balancer's view is too old. The port is where the caller receives datagrams.
class PeerServer {
public:
    /// Nothing when the endpoint can't be bound; the error says why.
    static std::unique_ptr<PeerServer> create(EventLoop::Loop&, Core::Clock const&, Core::Endpoint const&,
        Messages::PeerKey const&, Distribution::ReplicaFeed&, std::string& error);

    /// Where the balancers that asked within the last seconds receive datagrams.
    std::vector<Core::Endpoint> followers() const;
    /// Forgets those that ask no more.
    void removeExpiredFollowers();

private:
    PeerServer(std::unique_ptr<EventLoop::HttpServer>, Core::Clock const&, Messages::PeerKey const&,
        Distribution::ReplicaFeed&);
    std::shared_ptr<std::string const> sealedBatch(std::shared_ptr<Distribution::ItemBatch const> const&);
    void answer(EventLoop::HttpRequest const&, EventLoop::HttpServer::Reply const&);

    Core::Clock const& m_clock;
    std::unique_ptr<EventLoop::HttpServer> m_server;
    Messages::PeerKey m_key;
    Distribution::ReplicaFeed& m_feed;
    /// The batch that was sealed last, which the next follower may get, too.
    std::shared_ptr<Distribution::ItemBatch const> m_batch;
    std::shared_ptr<std::string const> m_sealed;
    absl::flat_hash_map<Core::Endpoint, Core::TimePoint> m_followers;
};

}
