#pragma once

#include <LibDistribution/Distribution.h>
#include <LibEventLoop/EventLoop.h>
#include <LibMessages/Messages.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Chicorytally::Relay {

/// HTTP client for the changes that other balancers relay.
class PeerReader {
public:
    /// The port on which this balancer receives datagrams is sent with each request.
    PeerReader(EventLoop::Loop&, Messages::KeyRing const&, std::uint16_t port);

    void watch(Core::Endpoint const& peer, Distribution::WatchRequest const&, Distribution::StoreCallback);

private:
    std::optional<Distribution::StoreAnswer> decode(std::string const& body, std::string& cause) const;

    EventLoop::Loop& m_loop;
    Messages::KeyRing m_keys;
    std::uint16_t m_datagramPort;
    std::map<Core::Endpoint, std::unique_ptr<EventLoop::HttpClient>> m_clients;
};

}
