#include <LibMembership/UpdateQueue.h>

namespace Chicorytally::Membership {

void UpdateQueue::insert(Core::VmId vm, unsigned sent)
{
    Place place { sent, m_nextOrder++ };
    m_queue[place] = vm;
    m_places[vm] = place;
}

void UpdateQueue::add(Core::VmId vm)
{
    if (auto found = m_places.find(vm); found != m_places.end())
        m_queue.erase(found->second);
    insert(vm, 0);
}

void UpdateQueue::addOldNews(Core::VmId vm, unsigned sent)
{
    if (!m_places.contains(vm))
        insert(vm, sent);
}

void UpdateQueue::noteHeard(Core::VmId vm)
{
    auto found = m_places.find(vm);
    if (found == m_places.end())
        return;
    auto sent = found->second.first + 1;
    m_queue.erase(found->second);
    insert(vm, sent);
}

std::vector<Core::VmId> UpdateQueue::take(std::size_t count, unsigned limit)
{
    std::vector<std::pair<Core::VmId, unsigned>> taken;
    while (taken.size() < count && !m_queue.empty()) {
        auto first = m_queue.begin();
        // Updates that were heard often enough stand last; the others are all sent more often than this one.
        if (first->first.first < limit)
            taken.emplace_back(first->second, first->first.first + 1);
        m_places.erase(first->second);
        m_queue.erase(first);
    }
    std::vector<Core::VmId> vms;
    for (auto const& [vm, sent] : taken) {
        vms.push_back(vm);
        if (sent < limit)
            insert(vm, sent);
    }
    return vms;
}

}
