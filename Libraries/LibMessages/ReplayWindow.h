#pragma once

#include <cstdint>

namespace Chicorytally::Messages {

/// Sequence numbers seen of one sender: accepts each number once, in any order within a window (RFC 4303,
/// section 3.4.3).
class ReplayWindow {
public:
    bool accept(std::uint64_t sequence);

private:
    static constexpr std::uint64_t Width = 64;

    std::uint64_t m_greatest { 0 };
    std::uint64_t m_seen { 0 };
};

}
