#pragma once

#include <LibMessages/Messages.h>
#include <LibModel/Model.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Chicorytally::Placement {

/// Index of an upstream within its service, local to this balancer.
using UpstreamIndex = std::uint16_t;
inline constexpr UpstreamIndex NoUpstreamIndex = 0xffff;

enum class UpstreamAvailability : std::uint8_t {
    Usable,
    ZoneOut,
    /// Its address now belongs to another upstream, its drain deadline has passed, or it was removed a day ago.
    Gone,
    /// Its address is not yet known to this balancer.
    Unknown,
};

struct IndexedUpstream {
    Core::UpstreamId id;
    Core::Endpoint destination;
    Core::ZoneId zone;
    UpstreamAvailability availability { UpstreamAvailability::Unknown };
    bool isConfigured { false };
    bool takesNewFlows { false };
    /// When the flows of a draining or removed upstream are terminated.
    std::optional<Core::TimePoint> deadline;
};

/// Assigns indexes to the upstreams of a service, including removed ones that a bucket or a record may still refer to.
/// Indexes stay valid for the lifetime of the process. Not thread-safe; copies are shared as immutable snapshots.
class UpstreamIndexMap {
public:
    /// Flows of a removed upstream are terminated after this time at the latest.
    static constexpr std::chrono::hours RemovedUpstreamTimeout { 24 };

    void update(Model::Configuration const&, Model::Service const&, Core::TimePoint now);
    /// Marks upstreams as gone whose deadline has passed; returns true if there was one.
    bool expire(Core::TimePoint now);
    UpstreamIndex intern(Messages::UpstreamReference const&, Model::Configuration const&);
    UpstreamIndex indexOf(Core::UpstreamId) const;
    std::vector<IndexedUpstream> const& entries() const { return m_entries; }

private:
    IndexedUpstream& entryOf(Core::UpstreamId);

    std::vector<IndexedUpstream> m_entries;
    absl::flat_hash_map<Core::UpstreamId, UpstreamIndex> m_indexes;
};

Messages::UpstreamReference toReference(IndexedUpstream const&);

}
