#pragma once

#include <LibCore/Id.h>

#include <compare>
#include <cstdint>
#include <utility>

namespace Chicorytally::Core {

/// Identifies a history of the platform's store. It increases each time the store is restored from a copy.
using Epoch = Id<struct EpochTag>;

/// Revision that the platform assigns to a change; a greater one is newer. A store that was restored from a copy gives
/// out numbers again, so revisions are ordered by the epoch first. Zero means "none".
class Revision {
public:
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t value, Epoch epoch = {})
        : m_epoch(epoch)
        , m_value(value)
    {
    }

    /// The number, which identifies a change only within its epoch.
    constexpr std::uint64_t value() const { return m_value; }
    /// Invalid for platforms that don't tell of restores.
    constexpr Epoch epoch() const { return m_epoch; }
    constexpr bool isValid() const { return m_value != 0; }
    constexpr Revision next() const { return Revision { m_value + 1, m_epoch }; }

    friend constexpr auto operator<=>(Revision const&, Revision const&) = default;

    template <typename H> friend H AbslHashValue(H state, Revision const& revision)
    {
        return H::combine(std::move(state), revision.m_epoch, revision.m_value);
    }

private:
    Epoch m_epoch;
    std::uint64_t m_value { 0 };
};

}
