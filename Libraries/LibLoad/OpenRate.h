#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cmath>
#include <optional>

namespace Chicorytally::Load {

/// Exponentially weighted rate of admitted opens, corrected for the time before the first one. Refused opens don't
/// count: callers repeat them, and allowances in proportion to repeats would grow with the overload. Not thread-safe.
class OpenRate {
public:
    /// Long against a burst of reconnecting callers, so that the burst hardly raises the allowances.
    static constexpr std::chrono::seconds TimeConstant { 60 };
    /// Before this time the rate says nothing.
    static constexpr std::chrono::seconds WarmupTime { 3 };

    void count(Core::TimePoint now)
    {
        if (!m_first)
            m_first = now;
        decay(now);
        m_sum += 1;
    }

    /// Events per second; without a value until events were seen for the settling time.
    std::optional<double> perSecond(Core::TimePoint now) const
    {
        if (!m_first || now - *m_first < WarmupTime)
            return std::nullopt;
        std::chrono::duration<double> age = now - *m_first;
        std::chrono::duration<double> sinceLast = now - m_last;
        auto timeConstant = std::chrono::duration<double>(TimeConstant).count();
        auto seen = timeConstant * (1 - std::exp(-age.count() / timeConstant));
        return m_sum * std::exp(-sinceLast.count() / timeConstant) / seen;
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
