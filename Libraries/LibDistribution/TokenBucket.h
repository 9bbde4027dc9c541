#pragma once

#include <LibCore/Core.h>

#include <algorithm>
#include <cstdint>

namespace Chicorytally::Distribution {

/// A token bucket that limits a rate in bytes per second. Not thread-safe.
class TokenBucket {
public:
    /// The capacity of the bucket is the number of bytes that the rate allows during the burst time. It starts full.
    TokenBucket(double bytesPerSecond, std::chrono::milliseconds burst)
        : m_bytesPerSecond(bytesPerSecond)
        , m_capacity(bytesPerSecond * std::chrono::duration<double> { burst }.count())
        , m_availableBytes(m_capacity)
    {
    }

    bool tryConsume(double bytes, Core::TimePoint now)
    {
        refill(now);
        if (m_availableBytes < bytes)
            return false;
        m_availableBytes -= bytes;
        return true;
    }

    /// Consumes the bytes even if the bucket holds fewer. Returns to full after the time that the rate takes for them.
    void overdraw(double bytes, Core::TimePoint now)
    {
        refill(now);
        m_availableBytes -= bytes;
    }

    bool isOverdrawn(Core::TimePoint now)
    {
        refill(now);
        return m_availableBytes < 0;
    }

private:
    void refill(Core::TimePoint now)
    {
        if (m_refilledAt != Core::TimePoint {}) {
            auto elapsedSeconds = std::chrono::duration<double> { now - m_refilledAt }.count();
            m_availableBytes = std::min(m_capacity, m_availableBytes + elapsedSeconds * m_bytesPerSecond);
        }
        m_refilledAt = now;
    }

    double m_bytesPerSecond;
    double m_capacity;
    double m_availableBytes;
    Core::TimePoint m_refilledAt;
};

}
