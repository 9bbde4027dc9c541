#pragma once

#include <LibCore/Core.h>
#include <LibRelay/LoadReportCodec.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

namespace Chicorytally::Relay {

/// Whether the response time is longer or shorter than usual by a factor of at least 1.5, which changes decisions
/// (docs/hard-load.md, section 3.4). Such records are forwarded before others.
bool isUnusual(Load::UpstreamLoadReport const&);

/// The latest records of other balancers: detects duplicates and outdated records, and selects those to forward. Not
/// thread-safe.
class LoadRecordStore {
public:
    struct Options {
        /// Records are forwarded up to this age. Information is to be everywhere within 2 s.
        std::chrono::milliseconds forwardingAge { 2000 };
        /// A record is forwarded this many times. A rumour that each node passes on 6 times misses 0.25% of the nodes,
        /// and 2% if 4 times (Demers 1987, residue exp(-6(1 - residue))).
        unsigned maximumCopies { 6 };
        /// Time for which a record is kept to detect duplicates: longer than the greatest age of a record, so that no
        /// duplicate is accepted after it.
        std::chrono::milliseconds retention { 6000 };
        /// About 500 KB. 3 KB/s bring at most 160 records a second, 960 within the retention.
        std::size_t capacity { 4096 };
    };

    struct Key {
        Core::VmId reporter;
        Core::UpstreamId upstream;

        friend bool operator==(Key const&, Key const&) = default;
        template <typename H> friend H AbslHashValue(H state, Key const& key)
        {
            return H::combine(std::move(state), key.reporter, key.upstream);
        }
    };

    LoadRecordStore(Core::Clock const&, Options);

    /// Returns false if the record is a duplicate, older than a known one or too old, or if the store is full.
    bool add(LoadRecord const&);
    void removeExpired();

    /// Records to forward with their present ages: the unusual ones first, then those that were forwarded least, then
    /// the latest.
    std::vector<LoadRecord> forwardable() const;
    void noteForwarded(Key const&);
    std::size_t size() const { return m_records.size(); }

private:
    struct Entry {
        LoadRecord record;
        Core::TimePoint observedAt;
        Core::TimePoint receivedAt;
        unsigned copies { 0 };
    };

    Core::Clock const& m_clock;
    Options m_options;
    absl::flat_hash_map<Key, Entry> m_records;
};

}
