#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Chicorytally::Messages {

constexpr std::size_t KeySize = 32;
constexpr std::size_t TagSize = 16;

/// Authentication tag of a message: BLAKE2b with a key (RFC 7693), shortened to 16 bytes.
using Tag = std::array<std::uint8_t, TagSize>;

/// Key that all balancers of a fleet share.
class PeerKey {
public:
    /// Takes 64 hexadecimal digits; nothing for any other text.
    static std::optional<PeerKey> fromHex(std::string_view text);

    Tag computeTag(std::span<std::uint8_t const> bytes) const;
    /// Compares in constant time.
    bool verifyTag(std::span<std::uint8_t const> bytes, std::span<std::uint8_t const, TagSize> tag) const;
    /// A key of 16 bytes for another purpose; equal on all balancers.
    Tag derive(std::string_view purpose) const;
    /// The same with 64 bits.
    std::uint64_t deriveUint64(std::string_view purpose) const;

private:
    std::array<std::uint8_t, KeySize> m_bytes {};
};

/// Keys of a fleet while one is replaced: messages are sealed with one key, and those of every key are accepted.
///
/// A key is replaced in three rolling changes: accept the new one, seal with the new one, accept only the new one.
struct KeyRing {
    PeerKey sealing;
    /// Accepted beside the sealing key.
    std::vector<PeerKey> accepted;

    bool isAuthentic(std::span<std::uint8_t const> bytes, std::span<std::uint8_t const, TagSize> tag) const;
};

}
