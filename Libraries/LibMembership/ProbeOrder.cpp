#include <LibMembership/ProbeOrder.h>

#include <algorithm>

namespace Chicorytally::Membership {

void ProbeOrder::assign(std::vector<Core::VmId> const& members)
{
    m_order.clear();
    for (auto vm : members)
        m_order.emplace_back(0, vm);
    sort();
}

void ProbeOrder::sort()
{
    for (auto& [rank, vm] : m_order)
        rank = Core::hashPair(m_roundKey, vm.value());
    std::sort(m_order.begin(), m_order.end());
}

std::optional<Core::VmId> ProbeOrder::next()
{
    if (m_order.empty())
        return std::nullopt;
    auto isRankedBefore = [](std::uint64_t lastRank, RankedMember const& member) { return lastRank < member.first; };
    auto found = std::upper_bound(m_order.begin(), m_order.end(), m_lastRank, isRankedBefore);
    if (found == m_order.end()) {
        m_roundKey = Core::hashPair(m_roundKey, 1);
        sort();
        found = m_order.begin();
    }
    m_lastRank = found->first;
    return found->second;
}

}
