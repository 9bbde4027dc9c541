#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Route.h>
#include <LibDirectory/RoutingToken.h>
#include <LibModel/Model.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Directory {

/// What the discovery service says of one upstream at one revision.
struct UpstreamEntry {
    Model::Upstream upstream;
    Core::ServiceId service;
    /// Remaining time of its slow start, counted from when the entry was received.
    std::chrono::milliseconds slowStartRemaining { 0 };
    /// Start of its process; greater after a restart under the same id.
    Core::Incarnation incarnation;
    /// When the entry was written; greater is newer.
    Core::Revision revision;
};

/// An upstream with what this process knows of it.
struct UpstreamRecord {
    UpstreamEntry entry;
    RoutingToken token { 0 };
    Core::TimePoint slowStartEnd;
    /// False after the discovery service dropped the entry. The record stays for the flows that it still holds.
    bool isListed { true };
    Core::TimePoint unlistedSince;
    /// Another upstream listens at its address now, so its process has ended.
    bool isSuperseded { false };
    /// An upstream that was listed earlier has the same token.
    bool hasTokenCollision { false };
};

struct DirectoryOptions {
    /// How long the upstreams of a zone get no new flows after the zone was taken back: they may have become cold,
    /// which their entries tell only with the next heartbeat.
    std::chrono::milliseconds zoneReturnSlowStart { 2500 };
    /// How long records of dropped upstreams are kept.
    std::chrono::seconds retention { 120 };
};

struct DirectoryHooks {
    /// The upstream is listed with a new incarnation: flows of the former one have ended.
    std::function<void(UpstreamRecord const&)> restarted;
    /// The entry was dropped, or its address was taken by another upstream.
    std::function<void(UpstreamRecord const&)> unlisted;
    /// A dropped entry is back.
    std::function<void(UpstreamRecord const&)> listedAgain;
};

/// Routes, upstreams and availability zones by the newest revision heard of each. Nothing regresses: an older version
/// or revision is ignored, whoever offers it. Not thread-safe.
class UpstreamDirectory {
public:
    UpstreamDirectory(Core::Clock const&, DirectoryOptions, DirectoryHooks);

    /// False when the version in force is as new.
    bool applyRoutes(RouteTable);
    /// False when a revision as new is known of the upstream.
    bool applyUpstream(UpstreamEntry);
    /// The entry was dropped at this revision.
    bool removeUpstream(Core::UpstreamId, Core::Revision);
    /// Takes a zone out, or back in.
    void setZoneOutOfService(Core::ZoneId, bool isOutOfService);
    /// Forgets the records that nothing needs any more.
    void sweep();

    std::uint64_t version() const { return m_routes.version; }
    std::chrono::milliseconds idleTimeout() const { return m_routes.idleTimeout; }
    Route const* findRoute(Core::Endpoint const&) const;
    ServiceLimits limitsOf(Core::ServiceId) const;
    UpstreamRecord const* find(Core::UpstreamId) const;
    UpstreamRecord const* findByToken(RoutingToken) const;
    /// All records of the service, those of dropped upstreams included.
    std::vector<UpstreamRecord const*> const& upstreamsOf(Core::ServiceId) const;
    std::size_t upstreamCount() const { return m_records.size(); }
    /// Whether the predicate holds for any record.
    bool any(std::function<bool(UpstreamRecord const&)> const& predicate) const;
    /// The listed upstreams of the zone.
    std::vector<UpstreamRecord const*> upstreamsIn(Core::ZoneId) const;

    bool isInSlowStart(UpstreamRecord const&) const;
    /// May get new flows by what the discovery service and the operators say.
    bool acceptsNewFlows(UpstreamRecord const&) const;
    bool isZoneOutOfService(Core::ZoneId) const;

private:
    /// Whether the routes in force know the service; true while there are none.
    bool isDeclared(Core::ServiceId) const;
    void addRecord(UpstreamEntry);
    void updateRecord(UpstreamRecord&, UpstreamEntry);
    void resolveAddressConflict(UpstreamRecord&);
    void unlist(UpstreamRecord&);
    void removeRecord(Core::UpstreamId);
    bool hasRecentlyReturned(Core::ZoneId) const;

    Core::Clock const& m_clock;
    DirectoryOptions m_options;
    DirectoryHooks m_hooks;
    RouteTable m_routes;
    absl::flat_hash_map<Core::UpstreamId, std::unique_ptr<UpstreamRecord>> m_records;
    absl::flat_hash_map<RoutingToken, UpstreamRecord*> m_byToken;
    absl::flat_hash_map<Core::Endpoint, UpstreamRecord*> m_byAddress;
    absl::flat_hash_map<Core::ServiceId, std::vector<UpstreamRecord const*>> m_byService;
    absl::flat_hash_set<Core::ZoneId> m_zonesOutOfService;
    absl::flat_hash_map<Core::ZoneId, Core::TimePoint> m_zoneReturnTimes;
};

}
