#pragma once

#include <LibDistribution/ItemReplica.h>
#include <LibMessages/Messages.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Chicorytally::Distribution {

/// A set of changes that one balancer sends to another one.
struct ItemBatch {
    std::vector<Item> items;
    Core::Revision completeUpTo;
    /// Time since the sender was last known to be up to date with the store.
    std::chrono::milliseconds age { 0 };
    /// Whether the items are a complete listing rather than changes.
    bool isListing { false };
};

/// Returns the encoded batch followed by its authentication tag.
std::string sealBatch(ItemBatch const&, Messages::PeerKey const&);
/// Returns nothing if the authentication tag is invalid or the bytes can't be decoded.
std::optional<ItemBatch> openBatch(std::string_view bytes, Messages::KeyRing const&);

}
