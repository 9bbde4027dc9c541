#pragma once

#include <LibCore/Core.h>

#include <algorithm>
#include <chrono>
#include <optional>

namespace Chicorytally::Load {

/// Drain of one upstream: since when it gets no new flows, and until when it keeps its flows. Not thread-safe.
class DrainSchedule {
public:
    /// Maximum time for which an upstream that was removed from the configuration keeps its flows.
    static constexpr std::chrono::hours RemovedDeadline { 24 };

    void begin(std::optional<std::chrono::seconds> deadline, Core::TimePoint now)
    {
        if (!m_since)
            m_since = now;
        // The deadline is relative to the start of the drain, so that a later revision can shorten or extend it.
        m_end = deadline ? std::optional { *m_since + *deadline } : std::nullopt;
    }

    void remove(Core::TimePoint now)
    {
        auto limit = now + RemovedDeadline;
        if (!m_since)
            m_since = now;
        m_end = m_end ? std::min(*m_end, limit) : limit;
    }

    void cancel()
    {
        m_since.reset();
        m_end.reset();
    }

    bool isDraining() const { return m_since.has_value(); }
    bool hasEnded(Core::TimePoint now) const { return m_end && now >= *m_end; }

private:
    std::optional<Core::TimePoint> m_since;
    std::optional<Core::TimePoint> m_end;
};

}
