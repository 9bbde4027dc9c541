#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace Chicorytally::Core {

/// A strongly typed 64-bit identifier. Zero means "none".
template <typename Tag> class Id {
public:
    constexpr Id() = default;
    constexpr explicit Id(std::uint64_t value)
        : m_value(value)
    {
    }

    constexpr std::uint64_t value() const { return m_value; }
    constexpr bool isValid() const { return m_value != 0; }

    friend constexpr auto operator<=>(Id const&, Id const&) = default;

    template <typename H> friend H AbslHashValue(H state, Id const& id)
    {
        return H::combine(std::move(state), id.m_value);
    }

private:
    std::uint64_t m_value { 0 };
};

using ServiceId = Id<struct ServiceTag>;
using UpstreamId = Id<struct UpstreamTag>;
using VmId = Id<struct VmTag>;
using ZoneId = Id<struct ZoneTag>;

/// Identifies one lifetime of a process on a VM; a greater incarnation is newer.
using Incarnation = Id<struct IncarnationTag>;

}

template <typename Tag> struct std::hash<Chicorytally::Core::Id<Tag>> {
    std::size_t operator()(Chicorytally::Core::Id<Tag> const& id) const noexcept { return id.value(); }
};
