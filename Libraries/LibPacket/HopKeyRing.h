#pragma once

#include <LibPacket/Gue.h>

#include <algorithm>
#include <vector>

namespace Chicorytally::Packet {

/// Keys for peer hops during a key rotation: outgoing hops are tagged with one key, and incoming hops are accepted with
/// any of the keys.
struct HopKeyRing {
    HopKey sealing {};
    /// Keys accepted in addition to the sealing key.
    std::vector<HopKey> accepted {};

    bool accepts(GuePacket const& packet) const
    {
        auto isTaggedWith = [&](HopKey const& key) { return isAuthentic(packet, key); };
        return isTaggedWith(sealing) || std::ranges::any_of(accepted, isTaggedWith);
    }
};

}
