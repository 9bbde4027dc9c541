#include <LibDistribution/ItemReplica.h>

#include <LibDistribution/Compression.h>

#include <algorithm>

namespace Chicorytally::Distribution {

// Tombstones prevent an older write from restoring a removed key. A write older than this many later removals can't
// arrive, because a balancer that is further behind reads a listing.
static constexpr std::size_t MaximumTombstones = 4096;

// A patch of a smaller value saves less than its overhead of processor time.
static constexpr std::size_t MinimumPatchedSize = 4096;

ItemReplica::ItemReplica(ChangeHook changeHook)
    : m_changeHook(std::move(changeHook))
{
}

bool ItemReplica::confirm(Item const& item)
{
    auto position = m_items.find(item.key);
    if (position == m_items.end() || !item.value)
        return false;
    auto& version = position->second;
    if (version.revision.epoch() >= item.revision.epoch() || version.value != item.value)
        return false;
    m_byRevision.erase({ version.revision, item.key });
    version.revision = item.revision;
    m_byRevision.emplace(item.revision, item.key);
    return true;
}

bool ItemReplica::apply(Item const& item)
{
    if (confirm(item))
        return true;
    auto [position, isNew] = m_items.try_emplace(item.key);
    auto& version = position->second;
    if (!isNew && item.revision <= version.revision) {
        // Several sources send the same revision in ordinary operation.
        bool isKnown = item.revision == version.revision && item.value == version.value;
        m_outdatedCount += isKnown ? 0 : 1;
        return false;
    }
    bool wasPresent = version.value.has_value();
    if (!isNew && !wasPresent)
        --m_tombstoneCount;
    m_byRevision.erase({ version.revision, item.key });
    bool isPatchable = wasPresent && item.value && item.value->size() >= MinimumPatchedSize;
    auto previousValue = isPatchable ? std::move(version.value) : std::nullopt;
    version = { item.value, item.revision, std::move(previousValue), version.revision, std::nullopt };
    m_byRevision.emplace(item.revision, item.key);
    if (!item.value) {
        ++m_tombstoneCount;
        pruneTombstones();
    }
    if (wasPresent || item.value)
        m_changeHook(item);
    return true;
}

bool ItemReplica::applyPatch(ItemPatch const& patch)
{
    auto position = m_items.find(patch.key);
    if (position == m_items.end())
        return false;
    auto const& version = position->second;
    if (version.revision >= patch.revision)
        return true;
    if (!version.value || version.revision != patch.baseRevision)
        return false;
    auto value = decompress(patch.patch, *version.value);
    return value && apply({ patch.key, std::move(value), patch.revision });
}

std::optional<ItemPatch> ItemReplica::patchSince(std::string const& key, Core::Revision revision) const
{
    auto const& version = m_items.at(key);
    bool isBaseKnown = version.previousValue && version.previousRevision <= revision && revision < version.revision;
    if (!isBaseKnown)
        return std::nullopt;
    if (!version.patch)
        version.patch = compress(*version.value, *version.previousValue);
    return ItemPatch { key, version.revision, version.previousRevision, *version.patch };
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
        bool isRemovable = version.value && version.revision <= asOf && version.revision.epoch() == asOf.epoch();
        if (isRemovable && !std::ranges::binary_search(keys, std::string_view { key }))
            removed.push_back({ key, std::nullopt, asOf });
    }
    // Removals are applied first, so that an address that moved to another upstream never belongs to two upstreams.
    for (auto const& item : removed)
        apply(item);
    for (auto const& item : items)
        apply(item);
    markCompleteUpTo(asOf);
}

std::size_t ItemReplica::removeUnconfirmed()
{
    std::vector<Item> removed;
    for (auto const& [key, version] : m_items) {
        if (version.value && version.revision.epoch() < m_completeUpTo.epoch())
            removed.push_back({ key, std::nullopt, m_completeUpTo });
    }
    for (auto const& item : removed)
        apply(item);
    return removed.size();
}

void ItemReplica::markCompleteUpTo(Core::Revision revision) { m_completeUpTo = std::max(m_completeUpTo, revision); }

std::vector<Item> ItemReplica::changesSince(Core::Revision revision) const
{
    std::vector<Item> changes;
    for (auto entry = m_byRevision.lower_bound({ revision.next(), {} }); entry != m_byRevision.end(); ++entry) {
        auto const& version = m_items.at(entry->second);
        changes.push_back({ entry->second, version.value, version.revision });
    }
    return changes;
}

void ItemReplica::pruneTombstones()
{
    for (auto entry = m_byRevision.begin(); m_tombstoneCount > MaximumTombstones && entry != m_byRevision.end();) {
        auto item = m_items.find(entry->second);
        if (item->second.value) {
            ++entry;
            continue;
        }
        m_tombstonesPrunedUpTo = entry->first;
        m_items.erase(item);
        entry = m_byRevision.erase(entry);
        --m_tombstoneCount;
    }
}

}
