#include <LibCore/IpAddress.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace Chicorytally::Core {

static constexpr std::array<std::uint8_t, 12> MappedPrefix { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

IpAddress IpAddress::fromV4(std::span<std::uint8_t const, 4> bytes)
{
    IpAddress address;
    std::copy(MappedPrefix.begin(), MappedPrefix.end(), address.m_bytes.begin());
    std::copy(bytes.begin(), bytes.end(), address.m_bytes.begin() + MappedPrefix.size());
    return address;
}

IpAddress IpAddress::fromV6(std::span<std::uint8_t const, 16> bytes)
{
    IpAddress address;
    std::copy(bytes.begin(), bytes.end(), address.m_bytes.begin());
    return address;
}

std::optional<IpAddress> IpAddress::parse(std::string_view text)
{
    std::string terminated { text };
    std::array<std::uint8_t, 16> bytes {};
    if (inet_pton(AF_INET, terminated.c_str(), bytes.data()) == 1)
        return fromV4(std::span<std::uint8_t const, 4> { bytes.data(), 4 });
    if (inet_pton(AF_INET6, terminated.c_str(), bytes.data()) == 1)
        return fromV6(bytes);
    return std::nullopt;
}

bool IpAddress::isV4() const { return std::equal(MappedPrefix.begin(), MappedPrefix.end(), m_bytes.begin()); }

std::string IpAddress::toString() const
{
    std::array<char, INET6_ADDRSTRLEN> text {};
    if (isV4())
        inet_ntop(AF_INET, v4Bytes().data(), text.data(), text.size());
    else
        inet_ntop(AF_INET6, m_bytes.data(), text.data(), text.size());
    return text.data();
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    auto host = text.substr(0, colon);
    bool isBracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed)
        host = host.substr(1, host.size() - 2);
    auto address = IpAddress::parse(host);
    if (!address || address->isV4() == isBracketed)
        return std::nullopt;
    auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc {} || end != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    return Endpoint { *address, port };
}

std::string Endpoint::toString() const
{
    auto host = address.isV4() ? address.toString() : "[" + address.toString() + "]";
    return host + ":" + std::to_string(port);
}

}
