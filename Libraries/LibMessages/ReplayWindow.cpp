#include <LibMessages/ReplayWindow.h>

namespace Chicorytally::Messages {

bool ReplayWindow::accept(std::uint64_t sequence)
{
    if (sequence > m_highestSequence) {
        auto shift = sequence - m_highestSequence;
        m_seenBits = shift < WindowSize ? m_seenBits << shift : 0;
        m_seenBits |= 1;
        m_highestSequence = sequence;
        return true;
    }
    auto age = m_highestSequence - sequence;
    if (age >= WindowSize)
        return false;
    auto bit = std::uint64_t { 1 } << age;
    if (m_seenBits & bit)
        return false;
    m_seenBits |= bit;
    return true;
}

}
