#include <LibMessages/PeerKey.h>

#include <LibCore/Core.h>

#include <algorithm>
#include <sodium.h>

namespace Chicorytally::Messages {

static_assert(KeySize == crypto_generichash_KEYBYTES);
static_assert(TagSize == crypto_generichash_BYTES_MIN);

std::optional<PeerKey> PeerKey::fromHex(std::string_view text)
{
    PeerKey key;
    std::size_t size = 0;
    char const* end = nullptr;
    auto status = sodium_hex2bin(key.m_bytes.data(), KeySize, text.data(), text.size(), nullptr, &size, &end);
    if (status != 0 || size != KeySize || end != text.data() + text.size())
        return std::nullopt;
    return key;
}

Tag PeerKey::computeTag(std::span<std::uint8_t const> bytes) const
{
    Tag tag;
    crypto_generichash(tag.data(), tag.size(), bytes.data(), bytes.size(), m_bytes.data(), m_bytes.size());
    return tag;
}

bool PeerKey::verifyTag(std::span<std::uint8_t const> bytes, std::span<std::uint8_t const, TagSize> tag) const
{
    auto expected = computeTag(bytes);
    return sodium_memcmp(expected.data(), tag.data(), TagSize) == 0;
}

Tag PeerKey::derive(std::string_view purpose) const
{
    return computeTag({ reinterpret_cast<std::uint8_t const*>(purpose.data()), purpose.size() });
}

std::uint64_t PeerKey::deriveUint64(std::string_view purpose) const { return Core::hash64(derive(purpose)); }

bool KeyRing::isAuthentic(std::span<std::uint8_t const> bytes, std::span<std::uint8_t const, TagSize> tag) const
{
    if (sealing.verifyTag(bytes, tag))
        return true;
    return std::ranges::any_of(accepted, [&](PeerKey const& key) { return key.verifyTag(bytes, tag); });
}

}
