#include <LibRelay/SuspicionExchange.h>

#include <utility>

namespace Chicorytally::Relay {

SuspicionExchange::SuspicionExchange(
    Core::Clock const& clock, SuspicionExchangeOptions options, SuspicionExchangeHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

bool SuspicionExchange::noteNews(Core::UpstreamId upstream)
{
    auto [last, isFirst] = m_lastReports.try_emplace(upstream, m_clock.now());
    if (isFirst)
        return true;
    if (m_clock.now() - last->second < m_options.repeatInterval)
        return false;
    last->second = m_clock.now();
    return true;
}

void SuspicionExchange::report(Core::UpstreamId upstream)
{
    if (!noteNews(upstream))
        return;
    m_forRelays.push_back(upstream);
    m_forFollowers.push_back(upstream);
    flushWhenDue();
}

void SuspicionExchange::receive(std::vector<Core::UpstreamId> const& upstreams)
{
    for (auto upstream : upstreams) {
        if (!noteNews(upstream))
            continue;
        m_forFollowers.push_back(upstream);
        m_hooks.reported(upstream);
    }
    flushWhenDue();
}

void SuspicionExchange::flushWhenDue()
{
    if (m_clock.now() < m_nextFlush || m_forFollowers.empty())
        return;
    m_nextFlush = m_clock.now() + m_options.batchInterval;
    if (!m_forRelays.empty())
        m_hooks.sendToRelays(std::exchange(m_forRelays, {}));
    m_hooks.sendToFollowers(std::exchange(m_forFollowers, {}));
}

void SuspicionExchange::tick()
{
    flushWhenDue();
    absl::erase_if(
        m_lastReports, [this](auto const& entry) { return m_clock.now() - entry.second >= m_options.repeatInterval; });
}

}
