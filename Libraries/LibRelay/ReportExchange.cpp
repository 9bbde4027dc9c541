#include <LibRelay/ReportExchange.h>

#include <algorithm>

namespace Chicorytally::Relay {

ReportExchange::ReportExchange(Core::Clock const& clock, ReportExchangeOptions options, ReportExchangeHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

bool ReportExchange::recordIfNew(Load::PeerReport const& report)
{
    auto& recent = m_recentReports[{ report.upstream, report.kind }];
    if (m_clock.now() - recent.windowStart >= m_options.deduplicationInterval)
        recent = { m_clock.now(), {} };
    bool hasEnoughReporters = recent.reporters.size() >= Load::requiredReporters(report.kind);
    if (hasEnoughReporters || std::ranges::find(recent.reporters, report.reporter) != recent.reporters.end())
        return false;
    recent.reporters.push_back(report.reporter);
    return true;
}

void ReportExchange::appendToBatch(Reports& batch, Load::PeerReport const& report) const
{
    if (batch.size() < m_options.maximumBatchSize)
        batch.push_back(report);
}

void ReportExchange::report(Core::UpstreamId upstream, Load::ReportKind kind)
{
    Load::PeerReport ownReport { upstream, kind, m_options.self };
    if (!recordIfNew(ownReport))
        return;
    appendToBatch(m_pendingForRelays, ownReport);
    appendToBatch(m_pendingForFollowers, ownReport);
    flushIfDue();
}

void ReportExchange::receive(Reports const& reports)
{
    for (auto const& report : reports) {
        if (report.reporter == m_options.self || !recordIfNew(report))
            continue;
        appendToBatch(m_pendingForFollowers, report);
        m_hooks.reportReceived(report);
    }
    flushIfDue();
}

void ReportExchange::flushIfDue()
{
    if (m_clock.now() < m_nextFlushAt || m_pendingForFollowers.empty())
        return;
    m_nextFlushAt = m_clock.now() + m_options.batchInterval;
    if (!m_pendingForRelays.empty())
        m_hooks.sendToRelays(std::exchange(m_pendingForRelays, {}));
    m_hooks.sendToFollowers(std::exchange(m_pendingForFollowers, {}));
}

void ReportExchange::tick()
{
    flushIfDue();
    absl::erase_if(m_recentReports, [this](auto const& entry) {
        return m_clock.now() - entry.second.windowStart >= m_options.deduplicationInterval;
    });
}

}
