#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Route.h>
#include <LibDirectory/RoutingToken.h>
#include <LibModel/Model.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/container/inlined_vector.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Directory {

/// The discovery service's entry for an upstream at one revision.
struct UpstreamEntry {
    Model::Upstream upstream;
    Core::ServiceId service;
    /// Remaining duration of the slow start when the entry was received.
    std::chrono::milliseconds slowStartRemaining { 0 };
    /// Identifies the lifetime of the process; increases with each restart under the same ID.
    Core::Incarnation incarnation;
    /// Revision at which the entry was written; a greater one is newer.
    Core::Revision revision;
};

/// An upstream's entry and this process's state for it.
struct UpstreamRecord {
    UpstreamEntry entry;
    RoutingToken token { 0 };
    Core::TimePoint slowStartEnd;
    /// False after the discovery service removed the entry.
    bool isRegistered { true };
    /// A process of a declared service that started later has this address, so this upstream's process has ended.
    bool isSuperseded { false };
    /// Whether the upstream is registered and not superseded. The record of one that isn't is kept for the flows that
    /// it still has.
    bool isListed { true };
    Core::TimePoint unlistedSince;
    /// Another upstream, whose process started earlier, has the same token.
    bool hasTokenCollision { false };
};

struct DirectoryOptions {
    /// How long the upstreams of a zone are treated as in slow start after the zone was put back into service. They may
    /// have restarted meanwhile, which their entries show only with the next heartbeat.
    std::chrono::milliseconds zoneReturnSlowStart { 2500 };
    /// How long the records of unlisted upstreams are kept.
    std::chrono::seconds retention { 120 };
};

struct DirectoryHooks {
    /// The upstream was listed with a new incarnation; the flows of the previous one have ended.
    std::function<void(UpstreamRecord const&)> restarted;
    /// The entry was removed, or another upstream now has its address.
    std::function<void(UpstreamRecord const&)> unlisted;
    /// A removed entry was listed again, or the upstream no longer counts as superseded.
    std::function<void(UpstreamRecord const&)> listedAgain;
};

/// Holds the newest known revision of routes, upstreams and availability zones. Updates with an older version or
/// revision are ignored, whatever their source. Not thread-safe.
class UpstreamDirectory {
public:
    UpstreamDirectory(Core::Clock const&, DirectoryOptions, DirectoryHooks);

    /// Returns false if the table isn't newer than the current one.
    bool applyRoutes(RouteTable);
    /// Returns false if the entry isn't newer than the known one, or if it shows an earlier state of the upstream in a
    /// later epoch.
    bool applyUpstream(UpstreamEntry);
    /// Unlists an upstream whose entry was removed at this revision. Returns false if the upstream is unknown or
    /// a revision as new is known.
    bool removeUpstream(Core::UpstreamId, Core::Revision);
    /// Takes a zone out of service, or puts it back.
    void setZoneOutOfService(Core::ZoneId, bool isOutOfService);
    /// Removes the records of upstreams that have been unlisted for longer than the retention time.
    void sweep();

    std::uint64_t version() const { return m_routes.version; }
    RouteTable const& routes() const { return m_routes; }
    std::chrono::milliseconds idleTimeout() const { return m_routes.idleTimeout; }
    Route const* findRoute(Core::Endpoint const&) const;
    ServiceLimits limitsOf(Core::ServiceId) const;
    UpstreamRecord const* find(Core::UpstreamId) const;
    UpstreamRecord const* findByToken(RoutingToken) const;
    /// All records of the service, including those of unlisted upstreams.
    std::vector<UpstreamRecord const*> const& upstreamsOf(Core::ServiceId) const;
    std::size_t upstreamCount() const { return m_records.size(); }
    /// Whether the predicate holds for any record.
    bool any(std::function<bool(UpstreamRecord const&)> const& predicate) const;
    /// All listed upstreams in the zone.
    std::vector<UpstreamRecord const*> upstreamsIn(Core::ZoneId) const;

    /// True while the upstream itself is in slow start or its zone has just returned to service.
    bool isInSlowStart(UpstreamRecord const&) const;
    /// Time until the upstream is no longer in slow start; zero if it isn't.
    std::chrono::milliseconds slowStartRemaining(UpstreamRecord const&) const;
    /// Whether the discovery service and the operators' configuration allow new flows to this upstream.
    bool acceptsNewFlows(UpstreamRecord const&) const;
    bool isZoneOutOfService(Core::ZoneId) const;

private:
    using RecordList = absl::InlinedVector<UpstreamRecord*, 1>;

    /// Whether the current routes declare the service. True before the first routes are received.
    bool isDeclared(Core::ServiceId) const;
    void addRecord(UpstreamEntry);
    void updateRecord(UpstreamRecord&, UpstreamEntry);
    /// Gives the token to the process that started first, as it may have flows.
    void resolveToken(RoutingToken);
    void removeFromToken(UpstreamRecord&);
    /// Finds out anew which of the upstreams at the address are superseded. The result depends only on the entries and
    /// the routes in force, not on the order in which they arrived.
    void resolveAddress(Core::Endpoint const&);
    void setSuperseded(UpstreamRecord&, bool isSuperseded);
    void addToAddress(UpstreamRecord&);
    void removeFromAddress(UpstreamRecord&);
    void listIfRegistered(UpstreamRecord&);
    void unlist(UpstreamRecord&);
    void removeRecord(Core::UpstreamId);

    Core::Clock const& m_clock;
    DirectoryOptions m_options;
    DirectoryHooks m_hooks;
    RouteTable m_routes;
    absl::flat_hash_map<Core::UpstreamId, std::unique_ptr<UpstreamRecord>> m_records;
    /// All records with a token, the one that holds it first. Seldom more than one.
    absl::flat_hash_map<RoutingToken, RecordList> m_byToken;
    /// All records at an address, including those of upstreams that aren't listed. Seldom more than one.
    absl::flat_hash_map<Core::Endpoint, RecordList> m_byAddress;
    absl::flat_hash_map<Core::ServiceId, std::vector<UpstreamRecord const*>> m_byService;
    absl::flat_hash_set<Core::ZoneId> m_zonesOutOfService;
    absl::flat_hash_map<Core::ZoneId, Core::TimePoint> m_zoneReturnTimes;
};

}
