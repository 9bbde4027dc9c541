#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Chicorytally::Load {

struct CapacityEstimatorOptions {
    /// Granularity of the counts; the interval of the balancer's ticks. An overload is detected after one.
    std::chrono::milliseconds interval { 50 };
    /// A measurement lasts at least this long, since completions follow their requests by a queueing time of 100 ms.
    std::chrono::milliseconds minimumMeasurement { 200 };
    /// A measurement ends after this time, however few responses it has. Bounds the time to follow a halving.
    std::chrono::milliseconds maximumMeasurement { 1000 };
    /// Number of responses in a measurement from which it is certain. Balancers may see only 50 requests a second.
    std::uint32_t minimumResponses { 20 };
    /// Share of rejected requests that is aimed at. Above zero, so that free capacity is found; small, so that callers'
    /// retries of rejected requests succeed.
    double targetRejectedShare { 0.05 };
    /// The same while many responses are late. Fewer rejections mean shorter queues.
    double lateTargetRejectedShare { 0.01 };
    /// Share of responses over their goal above which it applies. Above the 3% that are late when idle.
    double manyLateShare { 0.04 };
    /// Share of rejected requests at which contention starts. Above the share of failures in normal operation.
    double contentionShare { 0.10 };
    /// Number of rejections in a measurement from which contention can start. One upstream alone may reject a few.
    std::uint32_t minimumRejections { 6 };
    /// Rejections must come from this many upstreams, since one that fails attracts requests by its fast responses.
    std::size_t minimumRejectingUpstreams { 3 };
    /// Rejections must come from this many zones: if only the local one is full, opens go to the others.
    std::size_t minimumRejectingZones { 2 };
    /// Share of responses over their goal that counts as congestion. 3% of requests take 7 times as long when idle.
    double contentionLateShare { 0.25 };
    /// Time over which completions are averaged; the limit doesn't fall below their rate.
    std::chrono::milliseconds completionAverage { 500 };
    /// Growth of the limit per second without rejections. Doubles it in 0.9 s.
    double growthPerSecond { 0.8 };
    /// Greatest growth by one measurement. The minimum of 20 responses have no rejection by chance if 5% are rejected.
    double maximumGrowth { 0.12 };
    /// Growth of the limit after a measurement with too few responses.
    double uncertainGrowth { 1.25 };
    /// Contention ends if the limit has exceeded the offered rate for this long without a refusal.
    std::chrono::milliseconds contentionEnd { 1000 };
};

/// How widely the usable upstreams of a service are spread.
struct ServiceSpread {
    std::size_t upstreams { 0 };
    std::size_t zones { 0 };
};

/// Estimates the rate of requests that the upstreams of one service take from this balancer, from the share of requests
/// that they reject. In saturation this is the rate of completions; the share has less noise than the rate. Not
/// thread-safe.
class CapacityEstimator {
public:
    CapacityEstimator(Core::Clock const&, CapacityEstimatorOptions);

    void noteRequest() { ++m_current.started; }
    /// Records a response other than a rejection. `isLate` if it took longer than the route's goal and the route's
    /// response time without load is well below the goal.
    void noteCompletion(bool isLate);
    void noteRejection(Core::UpstreamId, Core::ZoneId);
    /// Records the expected number of requests of an open that was asked for.
    void noteOffered(double requests) { m_current.offered += requests; }
    void noteRefusal() { ++m_current.refusals; }

    /// Evaluates the counts. Must be called at least once per interval.
    void tick(ServiceSpread const&);

    /// Requests per second that the upstreams take; unset while there is no contention or not enough data.
    std::optional<double> limit() const { return m_limit; }
    /// The last measurement had enough responses.
    bool isCertain() const { return m_isCertain; }
    /// Requests per second that callers asked for in the last measurement, on open flows and by opens.
    double offeredRate() const { return m_offeredRate; }

private:
    struct Counts {
        std::chrono::duration<double> duration { 0 };
        std::uint32_t started { 0 };
        std::uint32_t completed { 0 };
        std::uint32_t rejected { 0 };
        std::uint32_t late { 0 };
        std::uint32_t refusals { 0 };
        double offered { 0 };
        /// A bit for each rejecting upstream, chosen by a hash of its ID.
        std::uint64_t rejectors { 0 };
        /// The same for the zones of rejecting upstreams.
        std::uint64_t rejectingZones { 0 };

        Counts& operator+=(Counts const&);
        std::uint32_t responses() const { return completed + rejected; }
        double rejectedShare() const;
        double lateShare() const;
    };

    bool isMeasured() const;
    bool isCongested(ServiceSpread const&) const;
    void averageCompletions();
    void startContention();
    double targetRejectedShare() const;
    void adjust();
    void endContentionWhenIdle();

    Core::Clock const& m_clock;
    CapacityEstimatorOptions m_options;
    Counts m_current;
    /// Counts since the last evaluation, without the current interval.
    Counts m_measurement;
    Counts m_lastInterval;
    Core::TimePoint m_intervalStart;
    Core::TimePoint m_lastScarcity;
    std::optional<double> m_limit;
    double m_offeredRate { 0 };
    double m_completionRate { 0 };
    bool m_isCertain { false };
};

}
