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

/// Changes of a replica for another balancer.
struct ItemBatch {
    std::vector<Item> items;
    Core::Revision completeUpTo;
    /// How long ago the sender knew of no newer revision.
    std::chrono::milliseconds age { 0 };
    /// The items are all there are.
    bool isListing { false };
};

/// The batch with an authentication tag behind it.
std::string sealBatch(ItemBatch const&, Messages::PeerKey const&);
/// Nothing when the bytes are not authentic or can't be decoded.
std::optional<ItemBatch> openBatch(std::string_view bytes, Messages::KeyRing const&);

}
