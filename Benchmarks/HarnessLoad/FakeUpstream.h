#pragma once

#include <LibLoad/Load.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

namespace Chicorytally::Benchmarks {

using Seconds = std::chrono::duration<double>;

/// How an upstream's reports mislead.
enum class ReportKind : std::uint8_t {
    Late,
    AlwaysZero,
    AlwaysFull,
};

/// An upstream with slots, a queue and a cold start. A cold one works at a tenth of its speed, and at all of it after
/// the warm-up time. It fails when more requests wait than a cold one can hold.
class FakeUpstream {
public:
    static constexpr Seconds WarmUpTime { 20 };
    static constexpr Seconds ReportLag { 1 };
    static constexpr std::size_t ColdQueue = 50;
    static constexpr Seconds MeanServiceTime { 0.03 };

    FakeUpstream(Model::Upstream const& model, ReportKind kind)
        : m_model(&model)
        , m_reportKind(kind)
    {
    }

    Model::Upstream const& model() const { return *m_model; }
    void setModel(Model::Upstream const& model) { m_model = &model; }

    bool isDead() const { return m_isDead; }
    void kill() { m_isDead = true; }
    /// Comes back with a new generation and cold. All requests are lost.
    void restart(Seconds now);
    bool isCold(Seconds now) const { return now - m_startedAt < WarmUpTime; }
    double speed(Seconds now) const;
    bool isFailing(Seconds now) const { return isCold(now) && m_waiting.size() > ColdQueue; }
    std::uint32_t generation() const { return m_generation; }

    struct Request {
        Seconds arrived;
        Seconds work;
    };
    /// The time at which the request ends when a slot is free, else it waits.
    std::optional<Seconds> arrive(Request const&, Seconds now);
    /// A request has ended. The result is the end of the next one, when one was waiting.
    struct Started {
        Request request;
        Seconds end;
    };
    std::optional<Started> finish(Seconds now);

    /// What a probe is told; nothing when dead.
    std::optional<Load::UpstreamReport> report(Seconds now);

    std::uint32_t connections { 0 };
    /// Slot seconds used since the last call. Samples would add their own noise to the balancers' imbalance.
    double takeBusySeconds(Seconds now);

private:
    struct Sample {
        Seconds time;
        std::uint32_t connections;
        std::uint32_t busy;
    };

    Model::Upstream const* m_model;
    ReportKind m_reportKind;
    bool m_isDead { false };
    std::uint32_t m_generation { 1 };
    Seconds m_startedAt { -1000 };
    void setBusy(std::uint32_t, Seconds now);

    std::uint32_t m_busy { 0 };
    double m_busySeconds { 0 };
    Seconds m_busySince { 0 };
    std::deque<Request> m_waiting;
    std::deque<Sample> m_samples;
};

}
