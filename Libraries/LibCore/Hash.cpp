#include <LibCore/Hash.h>

#include <array>
#include <xxhash.h>

namespace Chicorytally::Core {

std::uint64_t hash64(std::span<std::uint8_t const> bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

Hash128 hash128(std::span<std::uint8_t const> bytes, std::uint64_t seed)
{
    auto hash = XXH3_128bits_withSeed(bytes.data(), bytes.size(), seed);
    return { hash.low64, hash.high64 };
}

std::uint64_t hashPair(std::uint64_t first, std::uint64_t second)
{
    std::array<std::uint64_t, 2> words { first, second };
    return XXH3_64bits(words.data(), sizeof(words));
}

}
