#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibLoad/CachedClock.h>
#include <LibLoad/CallerShares.h>
#include <LibLoad/CapacityEstimator.h>
#include <LibLoad/PriorityShares.h>
#include <LibLoad/RefusedOpens.h>
#include <LibLoad/RetryBudget.h>
#include <LibLoad/RouteProfile.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Load {

enum class Admission : std::uint8_t {
    Admitted,
    /// Refused: better priorities and requests on open flows take the capacity.
    NoCapacity,
    /// Refused: the caller has used up its share among the callers of its priority.
    CallerShare,
    /// Refused: retries of refused callers have used up their share.
    RetryShare,
    /// Refused: a copy of an opening packet that was refused.
    Copy,
};

inline constexpr std::size_t AdmissionCount = static_cast<std::size_t>(Admission::Copy) + 1;

std::string_view toString(Admission);

struct AdmissionOptions {
    CapacityEstimatorOptions estimator;
    /// Callers with a share, over all services. A zone of the largest known site has 750 addresses; 64 bytes each.
    std::size_t maximumCallers { 4096 };
    /// Refused opens that are remembered; 16 bytes each. At 5,000 refusals per second, 3,500 must be remembered.
    std::size_t maximumRefusedOpens { 16'384 };
};

/// A service in contention, or one that was until now.
struct Contention {
    Core::ServiceId service;
    /// Requests per second that callers ask for, and that the upstreams take.
    double offeredRate { 0 };
    double capacity { 0 };
    /// At the start, the priorities whose demand exceeds what better ones leave; at the end, those with refusals.
    std::vector<Directory::Priority> refusedPriorities;
};

struct AdmissionHooks {
    /// The upstreams of the service that accept new flows.
    std::function<ServiceSpread(Core::ServiceId)> spreadOf;
    std::function<void(Contention const&)> contentionStarted;
    std::function<void(Contention const&)> contentionEnded;
};

/// Opens of a priority since the start of the process.
struct AdmissionCounters {
    std::uint64_t offered { 0 };
    /// By outcome, admitted ones included.
    std::array<std::uint64_t, AdmissionCount> outcomes {};
};

/// A response whose first bytes a caller has acknowledged.
struct AdmissionResponse {
    Core::UpstreamId upstream;
    /// Zone of the upstream.
    Core::ZoneId zone;
    std::chrono::nanoseconds duration { 0 };
    bool isShort { false };
};

/// Decides which new flows a service in contention takes: the best priority first, and equal shares among the callers
/// of a priority. Uses only what this balancer sees. Services whose routes all have the same priority are not limited.
/// Not thread-safe.
class AdmissionController {
public:
    AdmissionController(Core::Clock const&, AdmissionOptions, AdmissionHooks);

    /// Keeps what was learnt of services and routes that remain.
    void configure(Directory::RouteTable const&);
    /// Whether any service has routes of different priorities.
    bool isEnabled() const { return !m_services.empty(); }

    /// Decides an opening packet of a flow without a known upstream.
    Admission admit(Core::ServiceId, Core::FlowKey const&, std::uint32_t sequence);
    /// Records a request. `flowAge` is the time since its flow was opened; unset if another balancer forwarded the
    /// opening packet.
    void noteRequest(Core::ServiceId, Core::FlowKey const&, std::optional<std::chrono::nanoseconds> const& flowAge);
    void noteResponse(Core::ServiceId, Core::Endpoint const& route, AdmissionResponse const&);
    /// To be called every 50 ms.
    void tick();

    /// Requests per second that the upstreams of the service take; unset if it isn't in contention.
    std::optional<double> capacityOf(Core::ServiceId) const;
    std::vector<Core::ServiceId> services() const;
    std::size_t contendedCount() const;
    /// Counters by priority. Priorities after the first few that were configured are counted under an unset one. The
    /// addresses of the counters stay valid.
    std::map<std::optional<Directory::Priority>, AdmissionCounters> const& counters() const { return m_counters; }
    std::uint64_t evictedCallers() const { return m_callers.evictions(); }

private:
    struct Rank {
        CallerShares::Group group { 0 };
        /// Expected requests of the last open.
        double openCost { 1 };
        /// Capacity that callers could not use in the last interval.
        double unused { 0 };
        /// Opens were refused in this contention, or are expected to be.
        bool hasRefusals { false };
    };

    struct Service {
        Service(Core::Clock const&, CapacityEstimator const&, Core::ServiceId, std::vector<Directory::Priority>);
        std::size_t rankOf(Directory::Priority) const;

        Core::ServiceId id;
        CapacityEstimator estimator;
        /// Ascending, so that the position is the rank.
        std::vector<Directory::Priority> priorities;
        PriorityShares shares;
        RetryBudget retries;
        std::array<Rank, PriorityShares::MaximumRanks> ranks {};
        std::uint32_t consecutiveRefusals { 0 };
        bool isContended { false };
    };

    struct Target {
        Service* service { nullptr };
        std::size_t rank { 0 };
    };

    struct Route {
        RouteProfile profile;
        std::optional<std::chrono::milliseconds> goal;
        absl::InlinedVector<Target, 1> targets;
        AdmissionCounters* counters { nullptr };
    };

    using Priorities = absl::flat_hash_map<Core::ServiceId, std::vector<Directory::Priority>>;

    void configureServices(Priorities const&);
    void configureRoute(Directory::Route const&);
    AdmissionCounters& countersOf(Directory::Priority);
    std::pair<Route*, Target const*> find(Core::ServiceId, Core::Endpoint const& route);
    Admission decide(Service&, std::size_t rank, CallerShares::Caller&, double cost);
    bool isRetry(CallerShares::Caller&) const;
    Admission refuse(Service&, std::size_t rank, CallerShares::Caller&, Admission);
    void learnSizes();
    void updateContention(Service&);
    void divideCapacity(Service&, double seconds);
    Contention describe(Service const&) const;

    CachedClock m_clock;
    AdmissionOptions m_options;
    AdmissionHooks m_hooks;
    absl::flat_hash_map<Core::ServiceId, std::unique_ptr<Service>> m_services;
    /// Routes of the limited services only.
    absl::flat_hash_map<Core::Endpoint, std::unique_ptr<Route>> m_routes;
    CallerShares m_callers;
    RefusedOpens m_refusedOpens;
    std::map<std::optional<Directory::Priority>, AdmissionCounters> m_counters;
    Core::TimePoint m_lastDivision;
    Core::TimePoint m_lastLearning;
};

}
