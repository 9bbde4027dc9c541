#include <LibLoad/RefusedOpens.h>

#include <algorithm>
#include <bit>
#include <chrono>

namespace Chicorytally::Load {

// Entries that an open can be stored in. If a fifth of the entries is in use, 0.2% of the opens are displaced.
static constexpr std::size_t Ways = 4;
// Callers send the last copy 600 ms after the first packet; the rest is for delays in the network.
static constexpr std::chrono::milliseconds RetransmissionTime { 700 };

RefusedOpens::RefusedOpens(Core::Clock const& clock, std::size_t size)
    : m_clock(clock)
    , m_entries(std::bit_ceil(std::max(size, Ways)))
{
}

std::size_t RefusedOpens::firstOf(std::uint64_t hash) const { return hash % (m_entries.size() / Ways) * Ways; }

void RefusedOpens::add(Core::FlowKey const& flow, std::uint32_t sequence)
{
    auto hash = flow.hash(sequence).low;
    auto first = m_entries.begin() + static_cast<std::ptrdiff_t>(firstOf(hash));
    *std::min_element(first, first + Ways, [](auto const& left, auto const& right) { return left.time < right.time; })
        = { hash, m_clock.now() };
}

bool RefusedOpens::contains(Core::FlowKey const& flow, std::uint32_t sequence) const
{
    auto hash = flow.hash(sequence).low;
    auto first = firstOf(hash);
    for (auto i = first; i < first + Ways; ++i) {
        if (m_entries[i].hash == hash)
            return m_clock.now() - m_entries[i].time <= RetransmissionTime;
    }
    return false;
}

}
