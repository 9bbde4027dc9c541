#include <LibRelay/LoadRecordStore.h>

#include <algorithm>
#include <tuple>

namespace Chicorytally::Relay {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

static constexpr double UnusualFactor = 1.5;

bool isUnusual(Load::UpstreamLoadReport const& observation)
{
    auto time = observation.relativeResponseTime;
    return time > 0 && (time >= UnusualFactor || time <= 1 / UnusualFactor);
}

LoadRecordStore::LoadRecordStore(Core::Clock const& clock, Options options)
    : m_clock(clock)
    , m_options(options)
{
}

bool LoadRecordStore::add(LoadRecord const& record)
{
    if (record.observation.age >= MaximumLoadRecordAge)
        return false;
    Key key { record.reporter, record.observation.upstream };
    auto now = m_clock.now();
    Entry entry { record, now - record.observation.age, now };
    if (auto known = m_records.find(key); known != m_records.end()) {
        if (!isNewer(record.sequence, known->second.record.sequence))
            return false;
        known->second = entry;
        return true;
    }
    if (m_records.size() >= m_options.capacity)
        return false;
    m_records.emplace(key, entry);
    return true;
}

void LoadRecordStore::removeExpired()
{
    absl::erase_if(
        m_records, [this](auto const& item) { return m_clock.now() - item.second.receivedAt >= m_options.retention; });
}

std::vector<LoadRecord> LoadRecordStore::forwardable() const
{
    auto now = m_clock.now();
    std::vector<Entry const*> entries;
    for (auto const& [key, entry] : m_records) {
        if (entry.copies < m_options.maximumCopies && now - entry.observedAt < m_options.forwardingAge)
            entries.push_back(&entry);
    }
    // Records of one report were received together; they stay adjacent and share a header.
    std::ranges::sort(entries, {}, [](Entry const* entry) {
        return std::tuple { !isUnusual(entry->record.observation), entry->copies, -entry->receivedAt.time_since_epoch(),
            entry->record.reporter, entry->record.sequence, entry->record.observation.upstream };
    });
    std::vector<LoadRecord> records;
    records.reserve(entries.size());
    for (auto const* entry : entries) {
        records.push_back(entry->record);
        records.back().observation.age = duration_cast<milliseconds>(now - entry->observedAt);
    }
    return records;
}

void LoadRecordStore::noteForwarded(Key const& key)
{
    if (auto known = m_records.find(key); known != m_records.end())
        ++known->second.copies;
}

}
