#include <LibLoad/RefusedOpens.h>

#include <bit>
#include <chrono>

namespace Chicorytally::Load {

// Callers send the last copy 600 ms after the first packet; the rest is for delays in the network.
static constexpr std::chrono::milliseconds RetransmissionTime { 700 };

RefusedOpens::RefusedOpens(Core::Clock const& clock, std::size_t size)
    : m_clock(clock)
    , m_entries(std::bit_ceil(size))
{
}

void RefusedOpens::add(Core::FlowKey const& flow, std::uint32_t sequence)
{
    auto hash = flow.hash(sequence).low;
    m_entries[indexOf(hash)] = { hash, m_clock.now() };
}

bool RefusedOpens::contains(Core::FlowKey const& flow, std::uint32_t sequence) const
{
    auto hash = flow.hash(sequence).low;
    auto const& entry = m_entries[indexOf(hash)];
    return entry.hash == hash && m_clock.now() - entry.time <= RetransmissionTime;
}

}
