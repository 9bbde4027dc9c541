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

/// How a batch is sent. Balancers of earlier versions understand only the plain form.
enum class BatchEncoding : std::uint8_t {
    Plain,
    /// Compressed, with patches in place of large values whose earlier version the receiver has.
    Compressed,
};

/// A set of changes that one balancer sends to another one.
struct ItemBatch {
    std::vector<Item> items;
    /// Keys that are not among the items.
    std::vector<ItemPatch> patches {};
    Core::Revision completeUpTo;
    /// Time since the sender was last known to be up to date with the store.
    std::chrono::milliseconds age { 0 };
    /// Whether the items are a complete listing rather than changes.
    bool isListing { false };
    BatchEncoding encoding { BatchEncoding::Plain };
};

/// Returns the encoded batch followed by its authentication tag.
std::string sealBatch(ItemBatch const&, Messages::PeerKey const&);
/// Returns nothing if the authentication tag is invalid or the bytes can't be decoded.
std::optional<ItemBatch> openBatch(std::string_view bytes, Messages::KeyRing const&);

}
