#include <LibMembership/UpdateQueue.h>

#include <algorithm>

namespace Chicorytally::Membership {

void UpdateQueue::add(Core::VmId vm)
{
    auto found = std::find_if(m_items.begin(), m_items.end(), [vm](Item const& item) { return item.vm == vm; });
    if (found == m_items.end())
        m_items.push_back({ vm });
    else
        found->sent = 0;
}

std::vector<Core::VmId> UpdateQueue::take(std::size_t count, unsigned limit)
{
    auto middle = m_items.begin() + static_cast<std::ptrdiff_t>(std::min(count, m_items.size()));
    std::partial_sort(m_items.begin(), middle, m_items.end(),
        [](Item const& first, Item const& second) { return first.sent < second.sent; });
    std::vector<Core::VmId> taken;
    for (auto item = m_items.begin(); item != middle; ++item) {
        taken.push_back(item->vm);
        ++item->sent;
    }
    std::erase_if(m_items, [limit](Item const& item) { return item.sent >= limit; });
    return taken;
}

}
