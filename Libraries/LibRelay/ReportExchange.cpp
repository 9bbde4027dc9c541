#include <LibRelay/ReportExchange.h>

#include <algorithm>

namespace Chicorytally::Relay {

ReportExchange::ReportExchange(Core::Clock const& clock, ReportExchangeOptions options, ReportExchangeHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

bool ReportExchange::noteNews(Load::PeerReport const& report)
{
    auto& known = m_known[{ report.upstream, report.kind }];
    if (m_clock.now() - known.since >= m_options.deduplicationInterval)
        known = { m_clock.now(), {} };
    bool isEnough = known.reporters.size() >= Load::requiredReporters(report.kind);
    if (isEnough || std::ranges::find(known.reporters, report.reporter) != known.reporters.end())
        return false;
    known.reporters.push_back(report.reporter);
    return true;
}

void ReportExchange::add(Reports& batch, Load::PeerReport const& report) const
{
    if (batch.size() < m_options.maximumBatchSize)
        batch.push_back(report);
}

void ReportExchange::report(Core::UpstreamId upstream, Load::ReportKind kind)
{
    Load::PeerReport own { upstream, kind, m_options.self };
    if (!noteNews(own))
        return;
    add(m_forRelays, own);
    add(m_forFollowers, own);
    flushWhenDue();
}

void ReportExchange::receive(Reports const& reports)
{
    for (auto const& report : reports) {
        if (report.reporter == m_options.self || !noteNews(report))
            continue;
        add(m_forFollowers, report);
        m_hooks.reportReceived(report);
    }
    flushWhenDue();
}

void ReportExchange::flushWhenDue()
{
    if (m_clock.now() < m_nextFlush || m_forFollowers.empty())
        return;
    m_nextFlush = m_clock.now() + m_options.batchInterval;
    if (!m_forRelays.empty())
        m_hooks.sendToRelays(std::exchange(m_forRelays, {}));
    m_hooks.sendToFollowers(std::exchange(m_forFollowers, {}));
}

void ReportExchange::tick()
{
    flushWhenDue();
    absl::erase_if(m_known,
        [this](auto const& entry) { return m_clock.now() - entry.second.since >= m_options.deduplicationInterval; });
}

}
