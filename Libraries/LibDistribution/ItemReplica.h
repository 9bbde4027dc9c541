#pragma once

#include <LibCore/Core.h>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Chicorytally::Distribution {

/// One key of a revisioned store, as it was written at the revision.
struct Item {
    std::string key;
    /// Nothing: the key was removed at the revision.
    std::optional<std::string> value;
    Core::Revision revision;

    friend bool operator==(Item const&, Item const&) = default;
};

/// A copy of a store in which each change gets the next revision. Takes items in any order, from the store and from
/// other balancers, and keeps the newest of each key, so that nothing regresses. Not thread-safe.
class ItemReplica {
public:
    /// Called for each change of a key.
    using ChangeHook = std::function<void(Item const&)>;

    explicit ItemReplica(ChangeHook changed);

    /// False when a revision as new is known of the key.
    bool apply(Item const&);
    /// All items of the store, read at the revision or later. Keys that are missing were removed by then.
    void applyListing(std::vector<Item> const&, Core::Revision asOf);
    /// Every change up to the revision has been applied.
    void markCompleteUpTo(Core::Revision);

    /// Every change up to this revision is known; not valid before the first listing.
    Core::Revision completeUpTo() const { return m_completeUpTo; }
    /// The items of greater revisions, removed ones included, in the order of their revisions.
    std::vector<Item> changesSince(Core::Revision) const;
    /// Removals up to this revision may be missing from changesSince().
    Core::Revision tombstonesPrunedUpTo() const { return m_forgottenUpTo; }
    std::size_t size() const { return m_items.size(); }

private:
    struct Version {
        std::optional<std::string> value;
        Core::Revision revision;
    };

    void forgetOldRemovals();

    ChangeHook m_changed;
    absl::btree_map<std::string, Version> m_items;
    /// Removals that a listing showed share its revision.
    absl::btree_set<std::pair<Core::Revision, std::string>> m_byRevision;
    std::size_t m_removedCount { 0 };
    Core::Revision m_completeUpTo;
    Core::Revision m_forgottenUpTo;
};

}
