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
    std::uint32_t openSinceStart() const { return m_open - m_openBeforeStart; }
    /// Flows of lost openers whose end this VM has seen; each of them frees one flow here.
    std::uint32_t endedOrphans() const { return m_endedOrphans; }
    void clearEndedOrphans() { m_endedOrphans = 0; }

    void add() { ++m_open; }

    void remove()
    {
        // The owner still holds records of flows that ended with an earlier start of the upstream.
        if (m_staleRecords > 0) {
            --m_staleRecords;
            return;
        }
        if (m_open == 0)
            return;
        --m_open;
        m_openBeforeStart -= std::min(m_openBeforeStart, 1U);
    }

    void addEndedOrphan() { ++m_endedOrphans; }

    void upstreamStarted() { m_openBeforeStart = m_open; }

    /// The start is certain: no flow that was opened before it is left.
    void discardFlowsBeforeStart()
    {
        m_staleRecords += m_openBeforeStart;
        m_open -= m_openBeforeStart;
        m_openBeforeStart = 0;
    }

private:
    std::uint32_t m_open { 0 };
    std::uint32_t m_openBeforeStart { 0 };
    std::uint32_t m_staleRecords { 0 };
    std::uint32_t m_endedOrphans { 0 };
};

}
