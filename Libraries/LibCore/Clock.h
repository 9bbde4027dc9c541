#pragma once

#include <chrono>

namespace Chicorytally::Core {

/// A monotonic point in time. Only differences between two points taken in the same process are meaningful.
using TimePoint = std::chrono::steady_clock::time_point;

/// Source of monotonic time, injected into all time-dependent code. Implementations are thread-safe.
class Clock {
public:
    Clock() = default;
    Clock(Clock const&) = delete;
    Clock& operator=(Clock const&) = delete;
    virtual ~Clock() = default;

    virtual TimePoint now() const = 0;
};

/// Reads the system's monotonic clock.
class SystemClock final : public Clock {
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
};

/// A clock that only advances explicitly, for tests and benchmarks in virtual time. Not thread-safe.
class ManualClock final : public Clock {
public:
    TimePoint now() const override { return m_now; }
    void advance(std::chrono::nanoseconds step) { m_now += step; }
    void set(TimePoint now) { m_now = now; }

private:
    // Starts a day after the epoch, so that subtracting a timeout never gives a negative time.
    TimePoint m_now { std::chrono::hours { 24 } };
};

}
