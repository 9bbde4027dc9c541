#include <LibLoad/CallerShares.h>

#include <algorithm>
#include <bit>
#include <chrono>
#include <cstring>

namespace Chicorytally::Load {

// Entries that an address can be stored in. With four, 1% of the callers are evicted when half of the table is used.
static constexpr std::size_t Ways = 4;
// A caller without opens for this long gets no more credit. Callers at an address open every 2 s at one balancer.
static constexpr std::chrono::seconds ActiveTime { 5 };
// Opens for which a caller can save credit. More would let callers that return start a burst.
static constexpr double MaximumSavedOpens = 2;

CallerShares::CallerShares(Core::Clock const& clock, std::size_t maximumCallers)
    : m_clock(clock)
    , m_callers(std::bit_ceil(std::max(maximumCallers, Ways)))
{
}

static std::uint64_t keyOf(CallerShares::Group group, Core::IpAddress const& address)
{
    std::array<std::uint64_t, 2> words {};
    std::memcpy(words.data(), address.bytes().data(), sizeof words);
    auto key = Core::hashPair(Core::hashPair(words[0], words[1]), group);
    return key == 0 ? 1 : key;
}

bool CallerShares::isActive(Caller const& caller) const
{
    return caller.key != 0 && m_clock.now() - caller.lastOpen < ActiveTime;
}

CallerShares::Caller& CallerShares::slotFor(std::uint64_t key)
{
    auto first = (key % (m_callers.size() / Ways)) * Ways;
    auto* oldest = &m_callers[first];
    for (std::size_t i = first; i < first + Ways; ++i) {
        if (m_callers[i].key == key)
            return m_callers[i];
        if (m_callers[i].lastOpen < oldest->lastOpen)
            oldest = &m_callers[i];
    }
    return *oldest;
}

CallerShares::Caller& CallerShares::find(Group group, Core::IpAddress const& address, double openCost)
{
    auto key = keyOf(group, address);
    auto& caller = slotFor(key);
    if (caller.key != key) {
        if (isActive(caller))
            ++m_evictions;
        static constexpr double FractionScale = 1.0 / 4294967296.0;
        auto fraction = static_cast<double>(key >> 32) * FractionScale;
        caller = { .key = key, .group = group, .credit = static_cast<float>(fraction * openCost) };
    }
    caller.lastOpen = m_clock.now();
    return caller;
}

double CallerShares::grant(Group group, double requests, double openCost)
{
    std::size_t active = 0;
    for (auto const& caller : m_callers)
        active += caller.group == group && isActive(caller) ? 1 : 0;
    if (active == 0)
        return requests;
    auto share = static_cast<float>(requests / static_cast<double>(active));
    auto maximum = static_cast<float>(MaximumSavedOpens * openCost);
    double unused = 0;
    for (auto& caller : m_callers) {
        if (caller.group != group || !isActive(caller))
            continue;
        caller.credit += share;
        unused += std::max(0.0F, caller.credit - maximum);
        caller.credit = std::min(caller.credit, maximum);
    }
    return unused;
}

}
