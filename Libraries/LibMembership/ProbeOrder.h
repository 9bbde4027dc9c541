#pragma once

#include <LibCore/Core.h>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace Chicorytally::Membership {

/// Iterates over a changing set of members in a random order, each once per round (SWIM, section 4.3), so that the time
/// until a member is probed is bounded.
class ProbeOrder {
public:
    explicit ProbeOrder(std::uint64_t seed)
        : m_roundKey(seed)
    {
    }

    /// Replaces the set; members that remain keep their rank in the current round.
    void assign(std::vector<Core::VmId> const& members);
    std::optional<Core::VmId> next();
    std::size_t size() const { return m_order.size(); }

private:
    /// The rank of a member, a hash that changes with each round, and its id.
    using RankedMember = std::pair<std::uint64_t, Core::VmId>;

    void sort();

    std::uint64_t m_roundKey;
    std::uint64_t m_lastRank { 0 };
    std::vector<RankedMember> m_order;
};

}
