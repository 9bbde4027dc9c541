#pragma once

#include <LibPacket/Gue.h>

#include <algorithm>
#include <vector>

namespace Chicorytally::Packet {

/// Keys of peer hops while the fleet's key is replaced: hops are tagged with one key, and those of every key are
/// accepted.
struct HopKeyRing {
    HopKey sealing {};
    /// Accepted beside the sealing key.
    std::vector<HopKey> accepted {};

    bool accepts(GuePacket const& packet) const
    {
        auto isMadeWith = [&](HopKey const& key) { return isAuthentic(packet, key); };
        return isMadeWith(sealing) || std::ranges::any_of(accepted, isMadeWith);
    }
};

}
