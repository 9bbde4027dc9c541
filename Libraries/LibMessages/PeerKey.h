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

/// Authentication tag of a message: keyed BLAKE2b (RFC 7693) with an output of 16 bytes.
using Tag = std::array<std::uint8_t, TagSize>;

/// Symmetric key shared by all balancers of a fleet.
class PeerKey {
public:
    /// Parses 64 hexadecimal digits. Returns std::nullopt for any other text.
    static std::optional<PeerKey> fromHex(std::string_view text);

    Tag computeTag(std::span<std::uint8_t const> bytes) const;
    /// Returns whether the tag belongs to the bytes; compares in constant time.
    bool verifyTag(std::span<std::uint8_t const> bytes, std::span<std::uint8_t const, TagSize> tag) const;
    /// Derives a 16-byte key for another purpose; all balancers derive the same key.
    Tag derive(std::string_view purpose) const;
    /// Derives a 64-bit key in the same way.
    std::uint64_t deriveUint64(std::string_view purpose) const;

private:
    std::array<std::uint8_t, KeySize> m_bytes {};
};

/// Keys of a fleet, for key rotation: messages are sealed with one key and accepted with any key of the ring.
///
/// A key is rotated in three rolling configuration changes: accept the new key as well, seal with the new key, remove
/// the old key.
struct KeyRing {
    PeerKey sealing;
    /// Keys that are accepted in addition to the sealing key.
    std::vector<PeerKey> accepted;

    bool isAuthentic(std::span<std::uint8_t const> bytes, std::span<std::uint8_t const, TagSize> tag) const;
};

}
