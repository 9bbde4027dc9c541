#pragma once

#include <LibDistribution/Distribution.h>
#include <LibEventLoop/EventLoop.h>
#include <LibMessages/Messages.h>

#include <memory>
#include <string>

namespace Chicorytally::Relay {

/// Answers `GET /changes?after=REVISION&wait_ms=MILLISECONDS` of other balancers with a sealed ItemBatch, or with 503
/// while this balancer's view is too old.
class PeerServer {
public:
    /// Nothing when the endpoint can't be bound; the error says why.
    static std::unique_ptr<PeerServer> create(EventLoop::Loop&, Core::Endpoint const&, Messages::PeerKey const&,
        Distribution::ReplicaFeed&, std::string& error);

private:
    PeerServer(std::unique_ptr<EventLoop::HttpServer>, Messages::PeerKey const&, Distribution::ReplicaFeed&);
    void answer(std::string const& query, EventLoop::HttpServer::Reply const&);

    std::unique_ptr<EventLoop::HttpServer> m_server;
    Messages::PeerKey m_key;
    Distribution::ReplicaFeed& m_feed;
};

}
