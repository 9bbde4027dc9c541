#pragma once

#include <LibCore/Hash.h>
#include <LibCore/IpAddress.h>

namespace Chicorytally::Core {

/// Transport protocol, with its IANA protocol number as value.
enum class Protocol : std::uint8_t {
    Tcp = 6,
    Udp = 17,
};

/// The 5-tuple that identifies a flow, seen from the caller: the source is the caller, the destination the service.
struct FlowKey {
    Endpoint source;
    Endpoint destination;
    Protocol protocol { Protocol::Tcp };

    /// Keyed 128-bit hash. The key is shared by all balancers of a site and kept from callers, so that a caller
    /// can't choose its bucket.
    Hash128 hash(std::uint64_t key) const;

    friend auto operator<=>(FlowKey const&, FlowKey const&) = default;

    template <typename H> friend H AbslHashValue(H state, FlowKey const& key)
    {
        return H::combine(std::move(state), key.source, key.destination, key.protocol);
    }
};

}
