#include <LibMessages/ReplayWindow.h>

namespace Chicorytally::Messages {

bool ReplayWindow::accept(std::uint64_t sequence)
{
    if (sequence > m_greatest) {
        auto shift = sequence - m_greatest;
        m_seen = shift < Width ? m_seen << shift : 0;
        m_seen |= 1;
        m_greatest = sequence;
        return true;
    }
    auto age = m_greatest - sequence;
    if (age >= Width)
        return false;
    auto bit = std::uint64_t { 1 } << age;
    if (m_seen & bit)
        return false;
    m_seen |= bit;
    return true;
}

}
