#include <LibDistribution/ItemReplica.h>

#include <algorithm>

namespace Chicorytally::Distribution {

// Removed keys are kept so that an older write can't bring them back. A write that is older than this many later
// removals no longer arrives: a balancer that is further behind reads a listing.
static constexpr std::size_t MaxRemovedKeys = 4096;

ItemReplica::ItemReplica(ChangeHook changed)
    : m_changed(std::move(changed))
{
}

bool ItemReplica::apply(Item const& item)
{
    auto [position, isNew] = m_items.try_emplace(item.key);
    auto& version = position->second;
    if (!isNew && item.revision <= version.revision)
        return false;
    bool wasPresent = version.value.has_value();
    if (!isNew && !wasPresent)
        --m_removedCount;
    m_byRevision.erase({ version.revision, item.key });
    version = { item.value, item.revision };
    m_byRevision.emplace(item.revision, item.key);
    if (!item.value) {
        ++m_removedCount;
        forgetOldRemovals();
    }
    if (wasPresent || item.value)
        m_changed(item);
    return true;
}

void ItemReplica::applyListing(std::vector<Item> const& items, Core::Revision asOf)
{
    std::vector<std::string_view> keys;
    keys.reserve(items.size());
    for (auto const& item : items)
        keys.push_back(item.key);
    std::ranges::sort(keys);
    std::vector<Item> removed;
    for (auto const& [key, version] : m_items) {
        if (version.value && version.revision <= asOf && !std::ranges::binary_search(keys, std::string_view { key }))
            removed.push_back({ key, std::nullopt, asOf });
    }
    // Removals first: an address that moved to another upstream has no two holders then.
    for (auto const& item : removed)
        apply(item);
    for (auto const& item : items)
        apply(item);
    markCompleteUpTo(asOf);
}

void ItemReplica::markCompleteUpTo(Core::Revision revision) { m_completeUpTo = std::max(m_completeUpTo, revision); }

std::vector<Item> ItemReplica::changesSince(Core::Revision revision) const
{
    std::vector<Item> changes;
    Core::Revision next { revision.value() + 1 };
    for (auto entry = m_byRevision.lower_bound({ next, {} }); entry != m_byRevision.end(); ++entry) {
        auto const& version = m_items.at(entry->second);
        changes.push_back({ entry->second, version.value, version.revision });
    }
    return changes;
}

void ItemReplica::forgetOldRemovals()
{
    for (auto entry = m_byRevision.begin(); m_removedCount > MaxRemovedKeys && entry != m_byRevision.end();) {
        auto item = m_items.find(entry->second);
        if (item->second.value) {
            ++entry;
            continue;
        }
        m_forgottenUpTo = entry->first;
        m_items.erase(item);
        entry = m_byRevision.erase(entry);
        --m_removedCount;
    }
}

}
