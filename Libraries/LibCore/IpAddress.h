#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Chicorytally::Core {

/// An IPv4 or IPv6 address. IPv4 is stored in its IPv4-mapped form (RFC 4291, section 2.5.5.2).
class IpAddress {
public:
    IpAddress() = default;

    static IpAddress fromV4(std::span<std::uint8_t const, 4> bytes);
    static IpAddress fromV6(std::span<std::uint8_t const, 16> bytes);
    /// Parses the text forms that inet_pton(3) accepts. Returns std::nullopt for any other text.
    static std::optional<IpAddress> parse(std::string_view text);

    bool isV4() const;
    /// 16 bytes in network byte order.
    std::array<std::uint8_t, 16> const& bytes() const { return m_bytes; }
    /// The last 4 bytes in network byte order; meaningful for IPv4 only.
    std::span<std::uint8_t const, 4> v4Bytes() const
    {
        return std::span<std::uint8_t const, 4> { m_bytes.data() + 12, 4 };
    }
    std::string toString() const;

    friend auto operator<=>(IpAddress const&, IpAddress const&) = default;

    template <typename H> friend H AbslHashValue(H state, IpAddress const& address)
    {
        return H::combine(std::move(state), address.m_bytes);
    }

private:
    std::array<std::uint8_t, 16> m_bytes {};
};

/// An IP address with a port, as in "198.51.100.10:7000" or "[2001:db8::1]:7000".
struct Endpoint {
    IpAddress address;
    std::uint16_t port { 0 };

    static std::optional<Endpoint> parse(std::string_view text);
    std::string toString() const;

    friend auto operator<=>(Endpoint const&, Endpoint const&) = default;

    template <typename H> friend H AbslHashValue(H state, Endpoint const& endpoint)
    {
        return H::combine(std::move(state), endpoint.address, endpoint.port);
    }
};

}
