#pragma once

#include <LibCore/Core.h>

#include <algorithm>
#include <chrono>

namespace Chicorytally::Load {

/// Limits the rate of events, with a capacity for short bursts. Starts with the given number of tokens. Not
/// thread-safe.
class TokenBucket {
public:
    explicit TokenBucket(double tokens = 0)
        : m_tokens(tokens)
    {
    }

    void refill(double perSecond, double capacity, Core::TimePoint now)
    {
        std::chrono::duration<double> elapsed = now - m_refilled;
        if (m_refilled != Core::TimePoint {})
            m_tokens += perSecond * std::max(0.0, elapsed.count());
        m_refilled = now;
        m_tokens = std::min(m_tokens, capacity);
    }

    void add(double tokens, double capacity) { m_tokens = std::min(m_tokens + tokens, capacity); }
    bool has(double tokens = 1) const { return m_tokens >= tokens; }

    bool take(double tokens = 1)
    {
        if (!has(tokens))
            return false;
        m_tokens -= tokens;
        return true;
    }

    double tokens() const { return m_tokens; }

private:
    double m_tokens;
    /// Time of the last refill; the epoch if there was none.
    Core::TimePoint m_refilled;
};

}
