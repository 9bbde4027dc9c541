#pragma once

#include <cstdint>

namespace Chicorytally::Messages {

/// Sliding window over the sequence numbers received from one sender. Accepts each number once, in any order; numbers
/// older than the window are rejected (RFC 4303, section 3.4.3).
class ReplayWindow {
public:
    bool accept(std::uint64_t sequence);

private:
    static constexpr std::uint64_t WindowSize = 64;

    std::uint64_t m_highestSequence { 0 };
    std::uint64_t m_seenBits { 0 };
};

}
