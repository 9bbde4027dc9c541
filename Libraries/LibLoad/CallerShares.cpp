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
// Opens, and multiple of its last use, for which a caller can save credit. More would let callers that return start a
// burst.
static constexpr double MaximumSavedOpens = 2;
// Rounds in which callers get what others can't use. What is left after them is divided at the next call.
static constexpr int GrantRounds = 3;

CallerShares::CallerShares(Core::Clock const& clock, std::size_t maximumCallers)
    : m_clock(clock)
    , m_callers(std::bit_ceil(std::max(maximumCallers, Ways)))
    , m_groups(m_callers.size())
{
    m_members.reserve(m_callers.size());
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
        caller = { .key = key, .credit = static_cast<float>(fraction * openCost) };
        m_groups[static_cast<std::size_t>(&caller - m_callers.data())] = group;
    }
    caller.lastOpen = m_clock.now();
    return caller;
}

void CallerShares::charge(Caller& caller, double requests, double maximumDebt)
{
    caller.credit = static_cast<float>(std::max(caller.credit - requests, -maximumDebt));
    caller.used += static_cast<float>(requests);
}

float CallerShares::maximumCredit(Caller const& caller, double openCost)
{
    return static_cast<float>(MaximumSavedOpens * (openCost + caller.used));
}

void CallerShares::collectMembers(Group group)
{
    m_members.clear();
    for (std::size_t i = 0; i < m_callers.size(); ++i) {
        if (m_groups[i] == group && isActive(m_callers[i]))
            m_members.push_back(&m_callers[i]);
    }
}

double CallerShares::grant(Group group, double requests, double openCost)
{
    collectMembers(group);
    for (int round = 0; round < GrantRounds && requests > 0; ++round) {
        auto canReceive
            = [openCost](Caller const* caller) { return caller->credit < maximumCredit(*caller, openCost); };
        auto receivers = std::ranges::count_if(m_members, canReceive);
        if (receivers == 0)
            break;
        auto share = static_cast<float>(requests / static_cast<double>(receivers));
        requests = 0;
        for (auto* caller : m_members) {
            if (!canReceive(caller))
                continue;
            auto maximum = maximumCredit(*caller, openCost);
            requests += std::max(0.0F, caller->credit + share - maximum);
            caller->credit = std::min(caller->credit + share, maximum);
        }
    }
    for (auto* caller : m_members)
        caller->used = 0;
    return requests;
}

}
