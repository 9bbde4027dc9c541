#pragma once

#include <LibLoad/Load.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace Chicorytally::Tests {

enum class Kind : std::uint8_t {
    /// Priority 1, twice the value, one flow per request.
    Submission,
    /// Priority 2, requests on long-lived flows.
    Stream,
};

/// Load and capacity over time, in seconds since the start.
struct LoadPattern {
    std::string name;
    /// Part of all slots that the kind's requests would occupy.
    std::function<double(Kind, double)> load;
    /// Speed of an upstream, from 0 (the first) to 1 (the last); 0 means that it rejects everything.
    std::function<double(double upstream, double time)> speed = [](double, double) { return 1.0; };
    /// Part of the requests that come from a single address.
    double greedyShare { 0 };
    /// Seconds that a rejection takes in addition to the round trip, such as a network path to another zone.
    double rejectionDelay { 0 };
    /// Attempts after the first one.
    unsigned retries { 2 };
    double duration { 10 };
    /// Requests first sent before this time, or in the last second, are not counted.
    double countedFrom { 0 };
    bool hasAdmission { true };
    std::uint64_t seed { 1 };
    /// A balancer that stands still during this time, or is replaced by the others; none by default.
    std::size_t pausedBalancers { 0 };
    double pauseFrom { 0 };
    double pauseTo { 0 };
    bool isPausePermanent { false };
};

struct KindOutcome {
    double asked { 0 };
    double onTime { 0 };
    double late { 0 };
    double refusals { 0 };
    double greedyAsked { 0 };
    double greedyOnTime { 0 };
    double onTimeShare() const { return asked == 0 ? 1 : onTime / asked; }
};

struct SiteOutcome {
    std::array<KindOutcome, 2> kinds;
    /// Requests that reached an upstream, those of them that it rejected, and opens that balancers admitted or refused.
    double arrivals { 0 };
    double rejected { 0 };
    double opens { 0 };
    double refusals { 0 };
    /// What an allocation that knows load and capacity in advance earns.
    double oracleValue { 0 };
    std::vector<double> servedPerSecond;
    std::vector<double> refusalsPerSecond;
    /// Urgent requests by the second in which they were first sent.
    std::vector<double> urgentAskedPerSecond;
    std::vector<double> urgentOnTimePerSecond;
    std::vector<double> urgentLatePerSecond;
    std::uint64_t evictions { 0 };

    KindOutcome const& of(Kind kind) const { return kinds[static_cast<std::size_t>(kind)]; }
    double value() const
    {
        auto const& [submission, stream] = kinds;
        return 2 * submission.onTime + submission.late + stream.onTime + stream.late / 2;
    }
};

/// A naive model of 37 independent balancers, each with its own admission control, and 120 upstreams with 2 slots, a
/// queue of 8 and immediate rejection. Callers send requests whatever happens to earlier ones. No network, no packets.
class AdmissionSite {
public:
    static constexpr std::size_t Balancers = 37;
    static constexpr std::size_t Upstreams = 120;

    explicit AdmissionSite(LoadPattern);
    ~AdmissionSite();
    SiteOutcome run();
    Load::AdmissionController& controller(std::size_t balancer);
    /// Called every 100 ms of the model's time.
    std::function<void(double time)> onTick;

private:
    struct Balancer;
    struct Upstream;
    struct Request;
    struct Event {
        double time;
        std::uint64_t number;
        std::function<void()> run;
        bool operator>(Event const& other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    double now() const { return m_now; }
    void at(double delay, std::function<void()>);
    void scheduleArrival(Kind);
    void start(Kind);
    Core::FlowKey flowOf(Request const&);
    void open(Request);
    void send(Request);
    void begin(std::size_t upstream, Request);
    void finish(std::size_t upstream, Request const&);
    void retry(Request, bool isRefused);
    void noteResponse(Request const&, std::uint32_t bytes);
    bool isDown(std::size_t balancer) const;
    std::size_t chooseUpstream();
    void tick();
    unsigned addressOf(std::size_t user) const;
    void addOracleValue(double seconds);
    bool isCounted(double time) const;
    KindOutcome* outcomeOf(Request const&);

    LoadPattern m_pattern;
    Core::ManualClock m_clock;
    Core::TimePoint m_epoch;
    std::mt19937_64 m_random;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_eventCount { 0 };
    double m_now { 0 };
    std::vector<std::unique_ptr<Balancer>> m_balancers;
    std::vector<Upstream> m_upstreams;
    /// The flow of each stream user: balancer, upstream and time of the open.
    std::vector<std::array<double, 3>> m_streamFlows;
    SiteOutcome m_outcome;
};

}
