#include <LibLoad/RequestFailureDetector.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Chicorytally::Load {

// Older failures are dropped in favour of newer ones.
static constexpr std::size_t MaxFailuresPerUpstream = 8;

RequestFailureDetector::RequestFailureDetector(
    Core::Clock const& clock, RequestFailureDetectorOptions options, std::function<void(Core::UpstreamId)> failing)
    : m_clock(clock)
    , m_options(options)
    , m_onFailing(std::move(failing))
{
}

void RequestFailureDetector::noteFailure(Core::UpstreamId upstream) { add(upstream, m_options.self); }

void RequestFailureDetector::notePeerReport(Core::UpstreamId upstream, Core::VmId reporter) { add(upstream, reporter); }

void RequestFailureDetector::add(Core::UpstreamId upstream, Core::VmId reporter)
{
    auto& failures = m_failures[upstream];
    bool wasReached = isThresholdReached(failures);
    if (failures.size() == MaxFailuresPerUpstream)
        failures.erase(failures.begin());
    failures.push_back({ reporter, m_clock.now() });
    if (!wasReached && isThresholdReached(failures))
        m_onFailing(upstream);
}

bool RequestFailureDetector::isThresholdReached(Failures const& failures) const
{
    std::size_t own = 0;
    absl::flat_hash_set<Core::VmId> reporters;
    for (auto const& failure : failures) {
        if (m_clock.now() - failure.time >= m_options.window)
            continue;
        reporters.insert(failure.reporter);
        if (failure.reporter == m_options.self)
            ++own;
    }
    return own >= m_options.ownFailureThreshold || reporters.size() >= requiredReporters(ReportKind::Failing);
}

bool RequestFailureDetector::isFailing(Core::UpstreamId upstream) const
{
    auto failures = m_failures.find(upstream);
    return failures != m_failures.end() && isThresholdReached(failures->second);
}

std::size_t RequestFailureDetector::failingCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_failures, [this](auto const& entry) { return isThresholdReached(entry.second); }));
}

void RequestFailureDetector::removeExpired()
{
    absl::erase_if(
        m_failures, [this](auto const& entry) { return m_clock.now() - entry.second.back().time >= m_options.window; });
}

}
