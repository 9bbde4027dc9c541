#pragma once

#include <algorithm>
#include <cstdint>

namespace Chicorytally::Load {

/// Counts the open flows of this VM on one upstream. When in doubt it counts too many, because counting too few would
/// let the VMs together exceed the limit. Not thread-safe.
class FlowCount {
public:
    std::uint32_t open() const { return m_open; }
    /// Flows that were opened after the upstream's last start.
    std::uint32_t openSinceStart() const { return m_open - m_openBeforeStart; }
    /// Flows of lost openers that this VM has seen ending; each lets this VM open one more flow.
    std::uint32_t endedOrphans() const { return m_endedOrphans; }
    void clearEndedOrphans() { m_endedOrphans = 0; }

    void add() { ++m_open; }

    void remove()
    {
        // The flow records may still contain flows that ended when the upstream restarted.
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

    /// Called when the start is confirmed: flows opened before it no longer exist.
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
