#pragma once

#include <LibConfig/Backoff.h>

#include <LibCore/Core.h>

#include <optional>

namespace Chicorytally::Config {

struct ReadScheduleOptions {
    /// Least time between the starts of two reads. It bounds the reads/s if the platform answers blocking queries at
    /// once.
    std::chrono::milliseconds interval { 500 };
    BackoffOptions backoff {};
};

/// Says when the platform may be read next. Not thread-safe.
class ReadSchedule {
public:
    ReadSchedule(ReadScheduleOptions, std::uint64_t seed);

    /// An idle schedule, which is the initial state, has no reads. Becoming active allows a read at once, except
    /// within the interval or the backoff of an earlier read.
    void setActive(bool isActive) { m_isActive = isActive; }
    bool isActive() const { return m_isActive; }
    /// Earliest time of the next read; nothing while idle.
    std::optional<Core::TimePoint> nextRead() const;

    void noteStarted(Core::TimePoint now) { m_nextRead = now + m_options.interval; }
    void noteSuccess() { m_backoff.reset(); }
    void noteFailure(Core::TimePoint now);

private:
    ReadScheduleOptions m_options;
    Backoff m_backoff;
    bool m_isActive { false };
    Core::TimePoint m_nextRead {};
};

}
