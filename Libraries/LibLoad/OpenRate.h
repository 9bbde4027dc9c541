#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cmath>
#include <optional>

namespace Chicorytally::Load {

/// Exponentially weighted rate of admitted opens, corrected for the missing history before the first one. Refused opens
/// don't count: callers retry them, and allowances proportional to retries would grow under overload. Not thread-safe.
class OpenRate {
public:
    /// Much longer than a burst of reconnecting callers, so that such a burst hardly raises the allowances.
    static constexpr std::chrono::seconds TimeConstant { 60 };
    /// No rate is given until this long after the first open.
    static constexpr std::chrono::seconds WarmupTime { 3 };

    void count(Core::TimePoint now)
    {
        if (!m_first)
            m_first = now;
        decay(now);
        m_sum += 1;
    }

    /// Opens per second; empty during the warm-up time.
    std::optional<double> perSecond(Core::TimePoint now) const
    {
        if (!m_first || now - *m_first < WarmupTime)
            return std::nullopt;
        std::chrono::duration<double> age = now - *m_first;
        std::chrono::duration<double> sinceLast = now - m_last;
        auto timeConstant = std::chrono::duration<double>(TimeConstant).count();
        auto effectiveWindow = timeConstant * (1 - std::exp(-age.count() / timeConstant));
        return m_sum * std::exp(-sinceLast.count() / timeConstant) / effectiveWindow;
    }

private:
    void decay(Core::TimePoint now)
    {
        std::chrono::duration<double> elapsed = now - m_last;
        m_sum *= std::exp(-elapsed.count() / std::chrono::duration<double>(TimeConstant).count());
        m_last = now;
    }

    std::optional<Core::TimePoint> m_first;
    Core::TimePoint m_last;
    double m_sum { 0 };
};

}
