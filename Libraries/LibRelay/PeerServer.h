#pragma once

#include <LibDistribution/Distribution.h>
#include <LibEventLoop/EventLoop.h>
#include <LibMessages/Messages.h>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Chicorytally::Relay {

/// Answers `GET /changes?after=REVISION&wait_ms=MILLISECONDS&port=PORT&epoch=EPOCH&encoding=zstd` of other balancers
/// with an authenticated ItemBatch, or with status 503 while this balancer's view is too old. PORT is the port on which
/// the requesting balancer receives datagrams. Balancers of earlier versions send neither the epoch of the revision,
/// which then counts as this balancer's, nor the encoding, without which the batch is sent in plain form.
class PeerServer {
public:
    /// Called with the size of each batch that is sent.
    using SentHook = std::function<void(std::size_t bytes)>;

    /// Returns null and sets the error if the endpoint can't be bound.
    static std::unique_ptr<PeerServer> create(EventLoop::Loop&, Core::Clock const&, Core::Endpoint const&,
        Messages::PeerKey const&, Distribution::ReplicaFeed&, SentHook, std::string& error);

    /// The datagram endpoints of the balancers that sent a request within the last 3 s.
    std::vector<Core::Endpoint> followers() const;
    /// Removes followers that have not sent a request within that time.
    void removeExpiredFollowers();

private:
    PeerServer(std::unique_ptr<EventLoop::HttpServer>, Core::Clock const&, Messages::PeerKey const&,
        Distribution::ReplicaFeed&, SentHook);
    std::shared_ptr<std::string const> sealedBatch(std::shared_ptr<Distribution::ItemBatch const> const&);
    void answer(EventLoop::HttpRequest const&, EventLoop::HttpServer::ResponseCallback const&);

    Core::Clock const& m_clock;
    std::unique_ptr<EventLoop::HttpServer> m_server;
    Messages::PeerKey m_key;
    Distribution::ReplicaFeed& m_feed;
    SentHook m_sentHook;
    struct SealedBatch {
        std::shared_ptr<Distribution::ItemBatch const> batch;
        std::shared_ptr<std::string const> bytes;
    };

    /// The changes and the listing that were encoded last. They are cached because followers of the same revision get
    /// the same batch.
    SealedBatch m_lastChanges;
    SealedBatch m_lastListing;
    absl::flat_hash_map<Core::Endpoint, Core::TimePoint> m_followers;
};

}
