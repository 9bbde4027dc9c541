#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Relay {

/// A bounded random sample of the other balancers, as in Newscast (Jelasity, 2003) and Cyclon (Voulgaris, 2005). An
/// address is dated by the last time that anybody received a message from it, so that the addresses of terminated
/// balancers expire everywhere. Not thread-safe.
class PeerView {
public:
    struct Options {
        /// Address of this balancer, which is never added.
        Core::Endpoint self;
        /// Maximum number of addresses. The connectivity of a random graph needs some times ln(n), which is 7.6 for
        /// 2,100 balancers.
        std::size_t capacity { 64 };
        /// Addresses that nobody has heard from for this time are removed. Twelve keep-alives of 5 s.
        std::chrono::milliseconds retention { 60'000 };
    };

    PeerView(Core::Clock const&, Options);

    /// Adds an address or refreshes it. A full view replaces a random address that was heard from longer ago.
    void add(Core::Endpoint const&, std::chrono::milliseconds age, std::mt19937_64&);
    /// Adds encoded addresses. Returns false without adding any if the bytes are malformed.
    bool addEncoded(std::string_view, std::mt19937_64&);
    void removeExpired();

    std::size_t size() const { return m_peers.size(); }
    bool contains(Core::Endpoint const&) const;
    std::optional<Core::Endpoint> randomPeer(std::mt19937_64&) const;
    /// Encodes up to that number of random addresses: 4 bytes IPv4 address, 2 bytes port, 1 byte age in units of 250
    /// ms. IPv6 addresses are left out.
    std::string encodeSample(std::size_t count, std::mt19937_64&) const;

private:
    struct Peer {
        Core::Endpoint endpoint;
        Core::TimePoint heardAt;
    };

    Core::Clock const& m_clock;
    Options m_options;
    std::vector<Peer> m_peers;
};

}
