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
    for (auto& [place, vm] : m_order)
        place = Core::hashPair(m_roundKey, vm.value());
    std::sort(m_order.begin(), m_order.end());
}

std::optional<Core::VmId> ProbeOrder::next()
{
    if (m_order.empty())
        return std::nullopt;
    auto isBehind = [](std::uint64_t position, Place const& place) { return position < place.first; };
    auto found = std::upper_bound(m_order.begin(), m_order.end(), m_position, isBehind);
    if (found == m_order.end()) {
        m_roundKey = Core::hashPair(m_roundKey, 1);
        sort();
        found = m_order.begin();
    }
    m_position = found->first;
    return found->second;
}

}
