#include <LibLoad/ReturningUpstreams.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chicorytally::Load {

// Records of processes that were seen at work longer ago only cost memory.
static constexpr std::chrono::seconds RunRetention { 60 };
// How long a return is remembered for the entry that shows it, which may come as late as discovery returns after an
// outage. Without it, the flows that the entry finds are reset.
static constexpr std::chrono::seconds ReturnRetention { 120 };

ReturningUpstreams::ReturningUpstreams(
    Core::Clock const& clock, ReturningUpstreamsOptions options, ReturningUpstreamsHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

std::chrono::milliseconds ReturningUpstreams::slowStartOf(Core::UpstreamId upstream) const
{
    return m_hooks.slowStartOf(upstream).value_or(2 * m_options.heartbeat);
}

bool ReturningUpstreams::noteReturned(Core::UpstreamId upstream, UpstreamLoss const& loss)
{
    // Unanswered probes of a zone that is cut off say nothing about the process. A refusal came from the VM.
    bool wasCutOff = loss.refusedProbes == 0 && m_hooks.wasCutOff(upstream, loss.lostAt);
    auto run = m_runs.find(upstream);
    bool hasSameProcess = run != m_runs.end() && run->second.since <= loss.lostAt && run->second.until > loss.lostAt;
    if (wasCutOff || hasSameProcess)
        return false;
    m_returns.insert_or_assign(upstream, Return { m_clock.now(), loss.lostAt });
    return loss.refusedFor >= m_options.refusalTimeToReport;
}

bool ReturningUpstreams::noteReported(Core::UpstreamId upstream)
{
    auto now = m_clock.now();
    if (isPossiblyCold(upstream))
        return false;
    auto run = m_runs.find(upstream);
    bool isWarm = run != m_runs.end() && now - run->second.until < m_options.recentProgressWindow
        && run->second.until - run->second.since >= slowStartOf(upstream);
    auto reportedAt = m_reportedAt.find(upstream);
    bool isRepeated = reportedAt != m_reportedAt.end() && now - reportedAt->second < m_options.reportInterval;
    if (isWarm || isRepeated || isLimitOfReportsReached(upstream))
        return false;
    m_returns.insert_or_assign(upstream, Return { now, std::nullopt });
    m_reportedAt.insert_or_assign(upstream, now);
    return true;
}

bool ReturningUpstreams::isLimitOfReportsReached(Core::UpstreamId upstream) const
{
    auto upstreams = m_hooks.upstreamsOfSameService(upstream);
    auto reported = std::ranges::count_if(upstreams, [this](auto id) {
        auto position = m_returns.find(id);
        return position != m_returns.end() && !position->second.lostAt && !hasEnded(id, position->second);
    });
    auto limit = std::floor(m_options.maximumReportedShare * static_cast<double>(upstreams.size()));
    return static_cast<double>(reported) >= std::max(limit, 1.0);
}

void ReturningUpstreams::noteProgress(Core::UpstreamId upstream, Core::TimePoint flowOpenedAt)
{
    auto now = m_clock.now();
    auto& run = m_runs.try_emplace(upstream, Run { flowOpenedAt, now }).first->second;
    // A flow ends with its process, so the process that has it is the one that worked after the flow was opened.
    run.since = flowOpenedAt <= run.until ? std::min(run.since, flowOpenedAt) : flowOpenedAt;
    run.until = now;
    auto position = m_returns.find(upstream);
    if (position == m_returns.end())
        return;
    auto lostAt = position->second.lostAt;
    bool isFromBeforeTheLoss = lostAt && run.since <= *lostAt;
    if (isFromBeforeTheLoss)
        m_returns.erase(position);
    else if (now - run.since >= slowStartOf(upstream))
        position->second.isWarm = true;
}

void ReturningUpstreams::noteSynchronised(Core::TimePoint time)
{
    if (time - m_synchronisedAt > m_options.maximumViewGap)
        m_synchronisedSince = time;
    m_synchronisedAt = std::max(m_synchronisedAt, time);
}

void ReturningUpstreams::forget(Core::UpstreamId upstream)
{
    m_returns.erase(upstream);
    m_runs.erase(upstream);
}

bool ReturningUpstreams::hasEnded(Core::UpstreamId upstream, Return const& recorded) const
{
    // The entry of an upstream that has restarted shows it after one heartbeat, which a busy upstream may miss.
    auto entryDueAt = std::max(recorded.at, m_synchronisedSince) + 2 * m_options.heartbeat;
    return recorded.isWarm || m_synchronisedAt >= entryDueAt || m_clock.now() - recorded.at >= slowStartOf(upstream);
}

bool ReturningUpstreams::isPossiblyCold(Core::UpstreamId upstream) const
{
    if (m_returns.empty())
        return false;
    auto position = m_returns.find(upstream);
    return position != m_returns.end() && !hasEnded(upstream, position->second);
}

std::optional<Core::TimePoint> ReturningUpstreams::newProcessSince(Core::UpstreamId upstream) const
{
    auto position = m_returns.find(upstream);
    if (position == m_returns.end())
        return std::nullopt;
    return position->second.lostAt.value_or(position->second.at);
}

void ReturningUpstreams::tick()
{
    for (auto& [upstream, recorded] : m_returns) {
        if (recorded.isEndReported || !recorded.lostAt || !hasEnded(upstream, recorded))
            continue;
        recorded.isEndReported = true;
        if (m_hooks.formerFlowsSilent)
            m_hooks.formerFlowsSilent(upstream, *recorded.lostAt);
    }
}

void ReturningUpstreams::removeExpired()
{
    auto now = m_clock.now();
    absl::erase_if(m_returns, [&](auto const& entry) { return now - entry.second.at >= ReturnRetention; });
    absl::erase_if(m_runs, [&](auto const& entry) { return now - entry.second.until >= RunRetention; });
    absl::erase_if(m_reportedAt, [&](auto const& entry) { return now - entry.second >= m_options.reportInterval; });
}

}
