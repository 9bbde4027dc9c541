#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace Chicorytally::Packet {

// Unaligned access to integers in network byte order. The caller checks the bounds.

inline std::uint16_t readU16(std::span<std::uint8_t const> bytes, std::size_t offset)
{
    return static_cast<std::uint16_t>(bytes[offset] << 8 | bytes[offset + 1]);
}

inline std::uint32_t readU32(std::span<std::uint8_t const> bytes, std::size_t offset)
{
    return static_cast<std::uint32_t>(readU16(bytes, offset)) << 16 | readU16(bytes, offset + 2);
}

inline void writeU16(std::span<std::uint8_t> bytes, std::size_t offset, std::uint16_t value)
{
    bytes[offset] = static_cast<std::uint8_t>(value >> 8);
    bytes[offset + 1] = static_cast<std::uint8_t>(value);
}

inline void writeU32(std::span<std::uint8_t> bytes, std::size_t offset, std::uint32_t value)
{
    writeU16(bytes, offset, static_cast<std::uint16_t>(value >> 16));
    writeU16(bytes, offset + 2, static_cast<std::uint16_t>(value));
}

}
