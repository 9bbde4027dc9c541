#pragma once

#include <LibModel/Model.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace Chicorytally::DataPath {

/// Index of the services of a configuration by address, port and protocol. Immutable; thread-safe.
class ServiceTable {
public:
    explicit ServiceTable(Model::Configuration const&);

    /// Returns an invalid id if no service has this address and protocol.
    Core::ServiceId find(Core::Endpoint const&, Core::Protocol) const;
    /// Whether a service has this IP address, on any port.
    bool isServiceAddress(Core::IpAddress const& address) const { return m_addresses.contains(address); }

private:
    struct Key {
        Core::Endpoint address;
        Core::Protocol protocol;

        friend bool operator==(Key const&, Key const&) = default;
        template <typename H> friend H AbslHashValue(H state, Key const& key)
        {
            return H::combine(std::move(state), key.address, key.protocol);
        }
    };

    absl::flat_hash_map<Key, Core::ServiceId> m_services;
    absl::flat_hash_set<Core::IpAddress> m_addresses;
};

}
