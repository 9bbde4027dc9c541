#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace Chicorytally::Core {

/// A 128-bit hash value. Collisions are considered impossible.
struct Hash128 {
    std::uint64_t low { 0 };
    std::uint64_t high { 0 };

    friend bool operator==(Hash128 const&, Hash128 const&) = default;
};

/// XXH3 hash (xxHash 0.8) of the bytes. The result is the same on every machine and in every version of the program.
std::uint64_t hash64(std::span<std::uint8_t const> bytes, std::uint64_t seed = 0);
std::uint64_t hash64(std::string_view text, std::uint64_t seed = 0);
Hash128 hash128(std::span<std::uint8_t const> bytes, std::uint64_t seed = 0);

/// Hashes a pair of values; used for rendezvous hashing scores.
std::uint64_t hashPair(std::uint64_t first, std::uint64_t second);

}
