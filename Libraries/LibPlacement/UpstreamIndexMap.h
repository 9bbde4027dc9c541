#pragma once

#include <LibMessages/Messages.h>
#include <LibModel/Model.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Chicorytally::Placement {

/// Short name of an upstream within its service on this balancer.
using UpstreamIndex = std::uint16_t;
inline constexpr UpstreamIndex NoUpstreamIndex = 0xffff;

enum class UpstreamAvailability : std::uint8_t {
    Usable,
    ZoneOut,
    /// Its address belongs to another upstream now, its drain deadline has passed, or it was removed a day ago.
    Gone,
    /// Its address isn't known here yet.
    Unknown,
};

struct IndexedUpstream {
    Core::UpstreamId id;
    Core::Endpoint destination;
    Core::ZoneId zone;
    UpstreamAvailability availability { UpstreamAvailability::Unknown };
    bool isConfigured { false };
    bool takesNewFlows { false };
    /// When flows of a draining or removed upstream are given up.
    std::optional<Core::TimePoint> deadline;
};

/// All upstreams of a service that a bucket or a record may still name, also removed ones. Indexes stay valid for the
/// life of the process. Not thread-safe; copies are shared as immutable snapshots.
class UpstreamIndexMap {
public:
    /// Flows of a removed upstream are given up after this time at the latest.
    static constexpr std::chrono::hours RemovedUpstreamTimeout { 24 };

    void update(Model::Configuration const&, Model::Service const&, Core::TimePoint now);
    /// Gives up upstreams whose deadline has passed; true when one was found.
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
