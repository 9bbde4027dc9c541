#include <LibLoad/Health.h>

#include <algorithm>

namespace Chicorytally::Load {

void ProbeVerdict::record(bool isHealthy)
{
    m_against = isHealthy == m_isHealthy ? 0 : m_against + 1;
    if (m_against < (m_isHealthy ? FailuresToUnhealthy : SuccessesToHealthy))
        return;
    m_isHealthy = isHealthy;
    m_against = 0;
}

void PassiveSigns::advance(Core::TimePoint now)
{
    if (now - m_since < Window)
        return;
    m_before = now - m_since < 2 * Window ? m_present : Counts {};
    m_present = {};
    m_since = now;
}

void PassiveSigns::opened(Core::TimePoint now)
{
    advance(now);
    ++m_present.opens;
}

void PassiveSigns::confirmed(Core::TimePoint now)
{
    advance(now);
    ++m_present.confirmations;
}

void PassiveSigns::repeated(Core::TimePoint now)
{
    advance(now);
    ++m_present.repeats;
}

PassiveSigns::Counts PassiveSigns::counts(Core::TimePoint now) const
{
    auto age = now - m_since;
    if (age >= 2 * Window)
        return {};
    if (age >= Window)
        return m_present;
    return { m_present.opens + m_before.opens, m_present.confirmations + m_before.confirmations,
        m_present.repeats + m_before.repeats };
}

std::uint32_t PassiveSigns::opens(Core::TimePoint now) const { return counts(now).opens; }
std::uint32_t PassiveSigns::confirmations(Core::TimePoint now) const { return counts(now).confirmations; }
std::uint32_t PassiveSigns::repeats(Core::TimePoint now) const { return counts(now).repeats; }

bool PassiveSigns::looksDead(Core::TimePoint now) const
{
    if (now - m_since >= 2 * Window)
        return false;
    // Only the present half: confirmations that came before the fault must not hide it.
    bool isUnanswered = m_present.confirmations == 0 && m_present.opens + m_present.repeats >= LeastOpens;
    return isUnanswered && m_present.repeats * 2 >= m_present.opens && m_present.repeats >= LeastOpens / 2;
}

void HealthTracker::recordProbe(Core::VmId self, bool isHealthy, Core::TimePoint now)
{
    auto& known = m_probers[self];
    known.verdict.record(isHealthy);
    known.last = now;
}

void HealthTracker::hearVerdict(Core::VmId prober, bool isHealthy, Core::TimePoint now)
{
    auto& known = m_probers[prober];
    known.verdict.set(isHealthy);
    known.last = now;
}

void HealthTracker::recordDeadTraffic(Core::TimePoint now)
{
    if (isDeadInTraffic(now))
        return;
    m_trafficDeadUntil = now + m_outage;
}

std::optional<bool> HealthTracker::verdictOf(Core::VmId prober) const
{
    auto position = m_probers.find(prober);
    if (position == m_probers.end())
        return std::nullopt;
    return position->second.verdict.isHealthy();
}

// All probers have to agree: one that is cut off from the upstream's zone sees it as dead while others reach it.
bool HealthTracker::isDeadByProbes(Core::TimePoint now) const
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
        bool isFlap = m_changedAt != Core::TimePoint {} && now - m_changedAt < CalmTime;
        m_outage = isFlap ? std::min(m_outage * 2, LongestOutage) : ShortestOutage;
    }
    m_isHealthy = isHealthy;
    m_changedAt = now;
    m_lastReason = std::move(reason);
}

bool HealthTracker::update(Core::TimePoint now)
{
    // Members come and go; their old verdicts must not pile up.
    absl::erase_if(m_probers, [&](auto const& entry) { return now - entry.second.last > VerdictLifetime; });
    bool isDead = isDeadByProbes(now) || isDeadInTraffic(now);
    if (isDead != m_isHealthy)
        return false;
    if (!isDead && now - m_changedAt < m_outage)
        return false;
    if (isDead)
        setHealthy(false, isDeadInTraffic(now) ? "opens are not answered" : "probes fail", now);
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
