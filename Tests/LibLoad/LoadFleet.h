#pragma once

#include "OwnCountSelector.h"

#include <LibLoad/Load.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string_view>
#include <vector>

namespace Chicorytally::Load {

enum class Policy { Random, TwoChoices, OwnCounts, SharedView, Oracle };

std::string_view toString(Policy);

/// Faults of the exchange of reports.
struct ExchangeFaults {
    double lossRate { 0 };
    double duplicationRate { 0 };
    /// Delay on the way, which the stated age doesn't contain.
    std::chrono::milliseconds delay { 100 };
    /// The part of the balancers whose reports are wrong by this factor.
    double misreportingPart { 0 };
    double misreportingFactor { 1 };
};

struct FleetOptions {
    std::size_t balancers { 37 };
    Policy policy { Policy::SharedView };
    std::uint64_t seed { 1 };
    /// Work offered, relative to the capacity of all upstreams at their speeds from `changeAt` on.
    double load { 0.7 };
    /// Speed of every second upstream, or of those in the first zone, from `changeAt` on; that of the others is 1.
    double speedOfChanging { 1 };
    bool isZoneChanging { false };
    std::chrono::milliseconds changeAt { 0 };
    /// Results count from here to the end.
    std::chrono::milliseconds measureFrom { 4000 };
    std::chrono::milliseconds end { 24'000 };
    /// All balancers lose their state at this time.
    std::chrono::milliseconds restartAt { 1'000'000 };
    ExchangeFaults exchange;
};

struct FleetResult {
    /// Maximum over mean of the upstreams' mean requests in flight per slot and speed.
    double imbalance { 0 };
    /// 99th percentile of the time in the queue.
    double queueP99Ms { 0 };
    std::size_t requests { 0 };
    std::size_t rejected { 0 };
    /// Rejected, or answered after more than the goal of 250 ms.
    std::size_t overGoal { 0 };
    /// Part of the requests that went to another zone.
    double remotePart { 0 };
    /// The largest difference between two successive seconds in the part of the first zone's requests that went to
    /// another zone.
    double remoteChange { 0 };
};

/// Independent balancers in three zones that choose among 60 upstreams with 2 slots and a queue of 8 each. Each request
/// is a flow of its own. Once a second each balancer sends a report of 24 upstreams to 3 others of its zone, to 9 in
/// the fleet of 300, which fits into 1 and 3 KB/s. Runs in virtual time, without packets.
class LoadFleet {
public:
    explicit LoadFleet(FleetOptions);
    FleetResult run();

private:
    struct Balancer {
        Balancer(Core::Clock const&, FleetOptions const&, Directory::UpstreamDirectory const&, std::uint64_t number,
            UpstreamLiveness const&, ZoneReachability const&, RequestFailureDetector const&);

        UpstreamLoadCounter load;
        UpstreamSpeed speeds;
        SharedLoadView view;
        SpilloverControl spillover;
        ReturningUpstreams returning;
        LeastLoadedSelector selector;
        OwnCountSelector ownCounts;
    };

    struct Request {
        std::size_t balancer { 0 };
        std::uint64_t generation { 0 };
        Core::TimePoint arrivedAt;
        std::chrono::nanoseconds work { 0 };
    };

    struct Upstream {
        Directory::UpstreamRecord const* record { nullptr };
        bool isChanging { false };
        unsigned busy { 0 };
        std::deque<Request> queue;
        Core::TimePoint countedAt;
        double requestSeconds { 0 };
    };

    struct Event {
        Core::TimePoint at;
        std::uint64_t order { 0 };
        std::function<void()> run;

        bool operator>(Event const& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(std::chrono::nanoseconds delay, std::function<void()>);
    void startBalancers();
    void addUpstreams();
    void arrive();
    std::size_t choose(std::size_t balancer);
    std::size_t chooseOracle(Core::ZoneId);
    void start(std::size_t upstream, Request);
    void finish(std::size_t upstream, Request const&);
    void end(std::size_t upstream, Request const&, bool isAnswered);
    void count(Upstream&);
    void tick();
    void exchange(std::size_t balancer);
    double speedOf(Upstream const&) const;
    bool isMeasured() const;
    static std::size_t inFlight(Upstream const& upstream) { return upstream.busy + upstream.queue.size(); }

    FleetOptions m_options;
    Core::ManualClock m_clock;
    Core::TimePoint m_startedAt { m_clock.now() };
    std::mt19937_64 m_random;
    Directory::UpstreamDirectory m_directory { m_clock, {}, {} };
    UpstreamLiveness m_liveness { m_clock, {}, {} };
    ZoneReachability m_zones { m_clock, {}, {} };
    RequestFailureDetector m_failures { m_clock, {}, [](auto) {} };
    std::vector<Upstream> m_upstreams;
    std::vector<std::unique_ptr<Balancer>> m_balancers;
    std::uint64_t m_generation { 0 };
    std::uint64_t m_order { 0 };
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<double> m_queueTimes;
    /// Requests of the first zone in each second, and those of them that went to another zone.
    std::vector<std::pair<double, double>> m_firstZone;
    FleetResult m_result;
};

}
