#include <LibLoad/RequestFailureDetector.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Chicorytally::Load {

// Of one upstream; older findings give way to newer ones.
static constexpr std::size_t MaxFindings = 8;

RequestFailureDetector::RequestFailureDetector(
    Core::Clock const& clock, RequestFailureDetectorOptions options, std::function<void(Core::UpstreamId)> failing)
    : m_clock(clock)
    , m_options(options)
    , m_failing(std::move(failing))
{
}

void RequestFailureDetector::noteFailure(Core::UpstreamId upstream) { add(upstream, m_options.self); }

void RequestFailureDetector::notePeerReport(Core::UpstreamId upstream, Core::VmId reporter) { add(upstream, reporter); }

void RequestFailureDetector::add(Core::UpstreamId upstream, Core::VmId reporter)
{
    auto& findings = m_findings[upstream];
    bool wereEnough = areEnough(findings);
    if (findings.size() == MaxFindings)
        findings.erase(findings.begin());
    findings.push_back({ reporter, m_clock.now() });
    if (!wereEnough && areEnough(findings))
        m_failing(upstream);
}

bool RequestFailureDetector::areEnough(Findings const& findings) const
{
    std::size_t own = 0;
    absl::flat_hash_set<Core::VmId> reporters;
    for (auto const& finding : findings) {
        if (m_clock.now() - finding.time >= m_options.window)
            continue;
        reporters.insert(finding.reporter);
        if (finding.reporter == m_options.self)
            ++own;
    }
    return own >= m_options.ownFailureThreshold || reporters.size() >= requiredReporters(ReportKind::Failing);
}

bool RequestFailureDetector::isFailing(Core::UpstreamId upstream) const
{
    auto findings = m_findings.find(upstream);
    return findings != m_findings.end() && areEnough(findings->second);
}

std::size_t RequestFailureDetector::failingCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_findings, [this](auto const& entry) { return areEnough(entry.second); }));
}

void RequestFailureDetector::removeExpired()
{
    absl::erase_if(
        m_findings, [this](auto const& entry) { return m_clock.now() - entry.second.back().time >= m_options.window; });
}

}
