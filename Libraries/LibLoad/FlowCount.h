#pragma once

#include <algorithm>
#include <cstdint>

namespace Chicorytally::Load {

/// Open flows of this VM on one upstream. Errs towards too many flows, because too few would let the sum of all VMs
/// pass the limit. Not thread-safe.
class FlowCount {
public:
    std::uint32_t open() const { return m_open; }
    /// Open flows that were opened after the upstream's last start.
    std::uint32_t openSinceStart() const { return m_open - m_beforeStart; }
    /// Flows of lost openers whose end this VM has seen; each of them frees one flow here.
    std::uint32_t credit() const { return m_credit; }
    void dropCredit() { m_credit = 0; }

    void add() { ++m_open; }

    void remove()
    {
        // The owner still holds records of flows that ended with an earlier start of the upstream.
        if (m_forgotten > 0) {
            --m_forgotten;
            return;
        }
        if (m_open == 0)
            return;
        --m_open;
        m_beforeStart -= std::min(m_beforeStart, 1U);
    }

    void addCredit() { ++m_credit; }

    void upstreamStarted() { m_beforeStart = m_open; }

    /// The start is certain: no flow that was opened before it is left.
    void forgetBeforeStart()
    {
        m_forgotten += m_beforeStart;
        m_open -= m_beforeStart;
        m_beforeStart = 0;
    }

private:
    std::uint32_t m_open { 0 };
    std::uint32_t m_beforeStart { 0 };
    std::uint32_t m_forgotten { 0 };
    std::uint32_t m_credit { 0 };
};

}
