#pragma once

#include <LibCore/Core.h>

#include <algorithm>
#include <cstdint>

namespace Chicorytally::Distribution {

/// A token bucket over bytes. Not thread-safe.
class Budget {
public:
    /// The bucket holds what comes in during the burst time.
    Budget(std::uint32_t bytesPerSecond, std::chrono::milliseconds burst)
        : m_bytesPerSecond(bytesPerSecond)
        , m_capacity(bytesPerSecond * std::chrono::duration<double> { burst }.count())
        , m_bytes(m_capacity)
    {
    }

    bool take(double bytes, Core::TimePoint now)
    {
        if (m_filledAt != Core::TimePoint {}) {
            auto passed = std::chrono::duration<double> { now - m_filledAt }.count();
            m_bytes = std::min(m_capacity, m_bytes + passed * m_bytesPerSecond);
        }
        m_filledAt = now;
        if (m_bytes < bytes)
            return false;
        m_bytes -= bytes;
        return true;
    }

private:
    double m_bytesPerSecond;
    double m_capacity;
    double m_bytes;
    Core::TimePoint m_filledAt;
};

}
