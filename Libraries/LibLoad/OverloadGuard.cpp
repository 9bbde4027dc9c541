#include <LibLoad/OverloadGuard.h>

namespace Chicorytally::Load {

std::optional<Core::Hash128> UnconfirmedOpens::insert(Core::Hash128 const& flow)
{
    if (m_capacity == 0 || m_positions.contains(Key { flow }))
        return std::nullopt;
    std::optional<Core::Hash128> evicted;
    if (m_positions.size() >= m_capacity) {
        evicted = m_order.front().flow;
        m_positions.erase(m_order.front());
        m_order.pop_front();
    }
    m_positions[Key { flow }] = m_order.insert(m_order.end(), Key { flow });
    return evicted;
}

bool UnconfirmedOpens::confirm(Core::Hash128 const& flow)
{
    auto position = m_positions.find(Key { flow });
    if (position == m_positions.end())
        return false;
    m_order.erase(position->second);
    m_positions.erase(position);
    return true;
}

}
