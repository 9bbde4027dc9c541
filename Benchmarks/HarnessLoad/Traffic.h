#pragma once

#include <HarnessLoad/Fleet.h>
#include <HarnessLoad/Policy.h>

#include <queue>
#include <unordered_map>

namespace Chicorytally::Benchmarks {

struct TrafficShape {
    SiteShape site;
    /// Part of all slots that is in use on average.
    double load { 0.7 };
    Seconds flowLifetime { 60 };
    std::size_t balancers { 4 };
    /// Reports of the first upstream of each service say zero, those of the second say full.
    bool hasLyingReports { true };
    double probeLoss { 0.01 };
    NetworkShape network { std::chrono::milliseconds { 2 }, std::chrono::milliseconds { 50 }, 0.05 };
};

/// What happened in a period.
struct Figures {
    /// Seconds from a request to its answer; a refused open counts with the time until the caller's next attempt.
    std::vector<float> latencies;
    std::uint64_t requests { 0 };
    std::uint64_t opens { 0 };
    std::uint64_t refused { 0 };
    std::uint64_t late { 0 };
    /// Opens that went to the bucket's target.
    std::uint64_t onTarget { 0 };
    std::uint64_t admitted { 0 };
    /// Cold upstreams that failed under their load and started once more.
    std::uint64_t coldFailures { 0 };
    /// Part that was refused or late, for each second.
    std::vector<double> badShares;
    /// Greatest ratio of one upstream to its service's mean, over windows of 60 s.
    double connectionImbalance { 0 };
    double slotImbalance { 0 };

    double latency(double quantile) const;
    double badShare(double quantile) const;
    double badShareOverall() const;
};

/// Callers that open flows and send requests on them through a fleet of balancers to fake upstreams, in virtual time.
/// Buckets, targets and owners stand in for the placement engine.
class Traffic {
public:
    static constexpr Seconds LateAfter { 1 };
    static constexpr Seconds Window { 60 };
    static constexpr std::size_t Buckets = 1024;

    Traffic(std::uint64_t seed, TrafficShape const&, PolicyKind);

    void run(Seconds duration);
    /// Starts a new period and gives the figures of the one before.
    Figures takeFigures();

    Fleet& fleet() { return m_fleet; }
    Seconds now() const { return m_now; }

    // Faults. `service` and `upstream` are indexes.
    void kill(std::size_t service, std::size_t upstream);
    void restart(std::size_t service, std::size_t upstream);
    /// Out: all balancers learn of it at once, and the flows of the zone are reset.
    void setZone(std::size_t zone, Model::ZoneState);
    void drain(std::size_t service, std::size_t upstream);
    std::size_t upstreamsOf(std::size_t service) const { return m_services[service].upstreams.size(); }
    FakeUpstream const& upstream(std::size_t service, std::size_t index) const
    {
        return m_services[service].upstreams[index].truth;
    }
    Seconds lastOpenOn(std::size_t service, std::size_t index) const
    {
        return m_services[service].upstreams[index].lastOpen;
    }
    /// Opens that the upstream got since the last call.
    std::uint64_t takeOpens(std::size_t service, std::size_t index);
    std::uint32_t greatestExcess() const { return m_greatestExcess; }
    double opensPerSecond(std::size_t service) const;

private:
    enum class EventKind : std::uint8_t {
        Arrival,
        Retry,
        Close,
        Request,
        RequestEnd,
        GiveUp,
    };

    struct Event {
        Seconds time;
        std::uint64_t order;
        EventKind kind;
        std::uint32_t service { 0 };
        std::uint64_t id { 0 };
        std::uint32_t generation { 0 };
        Seconds arrived { 0 };

        bool operator>(Event const& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    struct Flow {
        std::uint32_t service { 0 };
        std::uint32_t upstream { 0 };
        std::size_t owner { 0 };
        std::size_t position { 0 };
        std::uint32_t bucket { 0 };
        bool isOnDeadUpstream { false };
    };

    struct UpstreamEntry {
        FakeUpstream truth;
        Seconds lastOpen { -1 };
        std::uint64_t opens { 0 };
        double connectionSum { 0 };
    };

    struct ServiceEntry {
        Model::Service const* model { nullptr };
        std::vector<UpstreamEntry> upstreams;
        std::vector<std::uint64_t> flows;
        /// Target first, for each bucket; indexes.
        std::vector<std::vector<std::uint32_t>> candidates;
        double arrivalRate { 0 };
        double requestRate { 0 };
        bool isRequestDue { false };
    };

    void addServices();
    void placeBuckets(ServiceEntry&);
    void setConfiguration(Model::Configuration);
    void schedule(Event);
    Seconds after(double rate);
    void handle(Event const&);
    void tick();
    void sample();
    void endWindow();
    void endSecond();

    void open(std::uint32_t service, std::uint32_t attempt);
    std::optional<std::uint32_t> place(ServiceEntry&, std::uint32_t bucket, std::optional<std::size_t> owner);
    std::optional<std::size_t> ownerOf(ServiceEntry const&, std::uint32_t bucket) const;
    void refuse(std::uint32_t service, std::uint32_t attempt);
    void close(std::uint64_t id);
    void endFlow(std::uint64_t id, bool isSeen);
    void breakFlows(std::uint32_t service, std::uint32_t upstream, bool isSeen);
    void request(std::uint32_t service);
    void requestEnds(Event const&);
    void scheduleRequest(std::uint32_t service);
    bool isOut(UpstreamEntry const&) const;

    TrafficShape m_shape;
    PolicyKind m_kind;
    std::mt19937_64 m_random;
    Fleet m_fleet;
    std::vector<ReferencePolicy> m_references;
    Core::TimePoint m_start;
    Seconds m_now { 0 };
    Seconds m_nextTick { 0 };
    std::uint64_t m_order { 0 };
    std::shared_ptr<Model::Configuration const> m_configuration;
    std::vector<ServiceEntry> m_services;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::unordered_map<std::uint64_t, Flow> m_flows;
    std::uint64_t m_nextFlow { 1 };
    std::uint32_t m_greatestExcess { 0 };
    Figures m_figures;
    std::uint64_t m_secondBad { 0 };
    std::uint64_t m_secondAll { 0 };
    int m_ticks { 0 };
};

}
