#include <LibLoad/Health.h>

#include <algorithm>

namespace Chicorytally::Load {

void ProbeVerdict::record(bool isHealthy)
{
    m_contraryResults = isHealthy == m_isHealthy ? 0 : m_contraryResults + 1;
    if (m_contraryResults < (m_isHealthy ? FailuresToUnhealthy : SuccessesToHealthy))
        return;
    m_isHealthy = isHealthy;
    m_contraryResults = 0;
}

void PassiveHealthCheck::advance(Core::TimePoint now)
{
    if (now - m_since < Window)
        return;
    m_previous = now - m_since < 2 * Window ? m_current : Counts {};
    m_current = {};
    m_since = now;
}

void PassiveHealthCheck::opened(Core::TimePoint now)
{
    advance(now);
    ++m_current.opens;
}

void PassiveHealthCheck::confirmed(Core::TimePoint now)
{
    advance(now);
    ++m_current.confirmations;
}

void PassiveHealthCheck::repeated(Core::TimePoint now)
{
    advance(now);
    ++m_current.repeatedOpens;
}

PassiveHealthCheck::Counts PassiveHealthCheck::counts(Core::TimePoint now) const
{
    auto age = now - m_since;
    if (age >= 2 * Window)
        return {};
    if (age >= Window)
        return m_current;
    return { m_current.opens + m_previous.opens, m_current.confirmations + m_previous.confirmations,
        m_current.repeatedOpens + m_previous.repeatedOpens };
}

std::uint32_t PassiveHealthCheck::opens(Core::TimePoint now) const { return counts(now).opens; }
std::uint32_t PassiveHealthCheck::confirmations(Core::TimePoint now) const { return counts(now).confirmations; }
std::uint32_t PassiveHealthCheck::repeatedOpens(Core::TimePoint now) const { return counts(now).repeatedOpens; }

bool PassiveHealthCheck::hasFailed(Core::TimePoint now) const
{
    if (now - m_since >= 2 * Window)
        return false;
    // Only the current window counts, because confirmations from before the fault would hide it.
    bool isUnanswered = m_current.confirmations == 0 && m_current.opens + m_current.repeatedOpens >= MinOpens;
    return isUnanswered && m_current.repeatedOpens * 2 >= m_current.opens && m_current.repeatedOpens >= MinOpens / 2;
}

void HealthTracker::recordProbe(Core::VmId self, bool isHealthy, Core::TimePoint now)
{
    auto& entry = m_probers[self];
    entry.verdict.record(isHealthy);
    entry.last = now;
}

void HealthTracker::recordPeerVerdict(Core::VmId prober, bool isHealthy, Core::TimePoint now)
{
    auto& entry = m_probers[prober];
    entry.verdict.set(isHealthy);
    entry.last = now;
}

void HealthTracker::recordTrafficFailure(Core::TimePoint now)
{
    if (isDownByTraffic(now))
        return;
    m_downByTrafficUntil = now + m_outageDuration;
}

std::optional<bool> HealthTracker::verdictOf(Core::VmId prober) const
{
    auto position = m_probers.find(prober);
    if (position == m_probers.end())
        return std::nullopt;
    return position->second.verdict.isHealthy();
}

// All probers must agree: one that is partitioned from the upstream's zone sees it as down while others reach it.
bool HealthTracker::isDownByProbes(Core::TimePoint now) const
{
    bool isAnyFresh = false;
    for (auto const& [vm, prober] : m_probers) {
        if (now - prober.last > VerdictLifetime)
            continue;
        if (prober.verdict.isHealthy())
            return false;
        isAnyFresh = true;
    }
    return isAnyFresh;
}

void HealthTracker::setHealthy(bool isHealthy, std::string reason, Core::TimePoint now)
{
    if (!isHealthy) {
        bool isFlap = m_changedAt != Core::TimePoint {} && now - m_changedAt < StablePeriod;
        m_outageDuration = isFlap ? std::min(m_outageDuration * 2, MaxOutage) : MinOutage;
    }
    m_isHealthy = isHealthy;
    m_changedAt = now;
    m_lastReason = std::move(reason);
}

bool HealthTracker::update(Core::TimePoint now)
{
    // Members come and go; their old verdicts must not accumulate.
    absl::erase_if(m_probers, [&](auto const& entry) { return now - entry.second.last > VerdictLifetime; });
    bool isDead = isDownByProbes(now) || isDownByTraffic(now);
    if (isDead != m_isHealthy)
        return false;
    if (!isDead && now - m_changedAt < m_outageDuration)
        return false;
    if (isDead)
        setHealthy(false, isDownByTraffic(now) ? "opens are not answered" : "probes fail", now);
    else
        setHealthy(true, "probes succeed", now);
    return true;
}

bool isPanic(std::size_t unhealthy, std::size_t all) { return unhealthy * 2 > all; }

std::vector<Core::VmId> probersOf(Core::UpstreamId upstream, std::vector<Core::VmId> const& aliveVms)
{
    constexpr std::size_t ProbersPerUpstream = 2;
    auto ranked = aliveVms;
    auto count = std::min(ProbersPerUpstream, ranked.size());
    auto isBefore = [&](Core::VmId a, Core::VmId b) {
        auto scoreA = Core::hashPair(a.value(), upstream.value());
        auto scoreB = Core::hashPair(b.value(), upstream.value());
        return scoreA != scoreB ? scoreA > scoreB : a > b;
    };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(), isBefore);
    ranked.resize(count);
    return ranked;
}

}
