#pragma once

#include <LibCore/Core.h>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Chicorytally::Distribution {

/// A key of a revisioned store with the value written at the revision.
struct Item {
    std::string key;
    /// Empty if the key was removed at the revision.
    std::optional<std::string> value;
    Core::Revision revision;

    friend bool operator==(Item const&, Item const&) = default;
};

/// A key's new value as a difference to an earlier one, see compress().
struct ItemPatch {
    std::string key;
    Core::Revision revision;
    /// The revision of the value that the patch applies to.
    Core::Revision baseRevision;
    std::string patch;
};

/// A replica of a store in which each change gets the next revision. It accepts items in any order, from the store and
/// from other balancers, and keeps the newest version of each key, so that a late item never replaces a newer one.
/// Removed keys are kept as tombstones. Not thread-safe.
///
/// After the store was restored from a copy, a listing of the new epoch is needed before any of its changes. The copy
/// may lack what was written after it was made and is written again, so keys that the listing lacks are kept as
/// unconfirmed until removeUnconfirmed().
class ItemReplica {
public:
    /// Called for each change of a key, including removals.
    using ChangeHook = std::function<void(Item const&)>;

    explicit ItemReplica(ChangeHook changeHook);

    /// Returns false if the same or a newer revision of the key is already known.
    bool apply(Item const&);
    /// Returns false if the key's value isn't the one that the patch applies to and is older than the patch's.
    bool applyPatch(ItemPatch const&);
    /// Applies a complete listing of the store that was read at the revision or later. Keys of the same epoch that are
    /// missing from it were removed by then.
    void applyListing(std::vector<Item> const&, Core::Revision asOf);
    /// Removes the keys that are known from earlier epochs only. Returns their number.
    std::size_t removeUnconfirmed();
    /// Records that every change up to the revision has been applied.
    void markCompleteUpTo(Core::Revision);

    /// The revision up to which every change is known. Not valid before the first listing.
    Core::Revision completeUpTo() const { return m_completeUpTo; }
    /// Returns the items with greater revisions, including removed ones, in order of revision.
    std::vector<Item> changesSince(Core::Revision) const;
    /// Returns a patch that turns the value which a replica complete up to the revision has for the key into the
    /// present one, or nothing if the value is small or that version is no longer known.
    std::optional<ItemPatch> patchSince(std::string const& key, Core::Revision) const;
    /// Tombstones up to this revision may have been pruned, so that changesSince() may lack them.
    Core::Revision tombstonesPrunedUpTo() const { return m_tombstonesPrunedUpTo; }
    std::size_t size() const { return m_items.size(); }
    /// Number of items since the start that were ignored because a newer revision of their key is known.
    std::uint64_t outdatedCount() const { return m_outdatedCount; }

private:
    struct Version {
        std::optional<std::string> value;
        Core::Revision revision;
        /// The value before this one, kept for patches of large values.
        std::optional<std::string> previousValue;
        Core::Revision previousRevision;
        /// The patch from the previous value, once it was needed.
        mutable std::optional<std::string> patch;
    };

    /// Gives an unchanged value its revision in a later epoch. Returns false if the item is no such value.
    bool confirm(Item const&);
    void pruneTombstones();

    ChangeHook m_changeHook;
    absl::btree_map<std::string, Version> m_items;
    /// The key is part of the entry because removals found by a listing share its revision.
    absl::btree_set<std::pair<Core::Revision, std::string>> m_byRevision;
    std::size_t m_tombstoneCount { 0 };
    std::uint64_t m_outdatedCount { 0 };
    Core::Revision m_completeUpTo;
    Core::Revision m_tombstonesPrunedUpTo;
};

}
