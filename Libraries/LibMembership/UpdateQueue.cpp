#include <LibMembership/UpdateQueue.h>

namespace Chicorytally::Membership {

void UpdateQueue::insert(Core::VmId vm, unsigned sendCount)
{
    Priority priority { sendCount, m_nextOrder++ };
    m_queue[priority] = vm;
    m_priorities[vm] = priority;
}

void UpdateQueue::add(Core::VmId vm)
{
    if (auto found = m_priorities.find(vm); found != m_priorities.end())
        m_queue.erase(found->second);
    insert(vm, 0);
}

void UpdateQueue::addIfAbsent(Core::VmId vm, unsigned sendCount)
{
    if (!m_priorities.contains(vm))
        insert(vm, sendCount);
}

void UpdateQueue::recordReceipt(Core::VmId vm)
{
    auto found = m_priorities.find(vm);
    if (found == m_priorities.end())
        return;
    auto sendCount = found->second.first + 1;
    m_queue.erase(found->second);
    insert(vm, sendCount);
}

std::vector<Core::VmId> UpdateQueue::take(std::size_t count, unsigned sendLimit)
{
    std::vector<std::pair<Core::VmId, unsigned>> taken;
    while (taken.size() < count && !m_queue.empty()) {
        auto first = m_queue.begin();
        // The first update has the lowest send count. recordReceipt() can raise it to the limit, and then it is
        // dropped.
        if (first->first.first < sendLimit)
            taken.emplace_back(first->second, first->first.first + 1);
        m_priorities.erase(first->second);
        m_queue.erase(first);
    }
    std::vector<Core::VmId> vms;
    for (auto const& [vm, sendCount] : taken) {
        vms.push_back(vm);
        if (sendCount < sendLimit)
            insert(vm, sendCount);
    }
    return vms;
}

}
