#include <HarnessLoad/FakeUpstream.h>

#include <algorithm>
#include <utility>

namespace Chicorytally::Benchmarks {

void FakeUpstream::restart(Seconds now)
{
    m_isDead = false;
    ++m_generation;
    m_startedAt = now;
    setBusy(0, now);
    connections = 0;
    m_waiting.clear();
    m_samples.clear();
}

double FakeUpstream::speed(Seconds now) const
{
    return std::clamp(0.1 + 0.9 * ((now - m_startedAt) / WarmUpTime), 0.1, 1.0);
}

void FakeUpstream::setBusy(std::uint32_t busy, Seconds now)
{
    m_busySeconds += m_busy * (now - m_busySince).count();
    m_busySince = now;
    m_busy = busy;
}

double FakeUpstream::takeBusySeconds(Seconds now)
{
    setBusy(m_busy, now);
    return std::exchange(m_busySeconds, 0);
}

std::optional<Seconds> FakeUpstream::arrive(Request const& request, Seconds now)
{
    if (m_busy >= m_model->slots) {
        m_waiting.push_back(request);
        return std::nullopt;
    }
    setBusy(m_busy + 1, now);
    return now + request.work / speed(now);
}

std::optional<FakeUpstream::Started> FakeUpstream::finish(Seconds now)
{
    setBusy(m_busy - 1, now);
    if (m_waiting.empty())
        return std::nullopt;
    auto request = m_waiting.front();
    m_waiting.pop_front();
    return Started { request, *arrive(request, now) };
}

std::optional<Load::UpstreamReport> FakeUpstream::report(Seconds now)
{
    if (m_isDead)
        return std::nullopt;
    m_samples.push_back({ now, connections, m_busy });
    while (m_samples.size() > 1 && m_samples[1].time <= now - ReportLag)
        m_samples.pop_front();
    auto const& sample = m_samples.front();
    Load::UpstreamReport report { .generation = m_generation };
    report.latency = std::chrono::microseconds { static_cast<std::int64_t>(1000 / speed(now)) };
    report.connections = sample.connections;
    report.busySlots = sample.busy;
    if (m_reportKind == ReportKind::AlwaysZero)
        report.connections = report.busySlots = 0;
    if (m_reportKind == ReportKind::AlwaysFull)
        report.busySlots = m_model->slots;
    return report;
}

}
