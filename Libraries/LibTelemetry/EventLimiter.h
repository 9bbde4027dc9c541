#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Chicorytally::Telemetry {

/// Limits the rate of log lines per event name. Suppressed lines are counted and reported once a second. Not
/// thread-safe.
class EventLimiter {
public:
    /// Admits at most this many lines per event name in each window of at least one second.
    EventLimiter(Core::Clock const&, std::uint32_t linesPerSecond);

    /// Returns whether a line of this event may be written now. The name must outlive the limiter.
    bool admit(std::string_view event);
    /// When the current window has ended, calls back for each event with suppressed lines and starts a new window.
    void report(std::function<void(std::string_view event, std::uint64_t count)> const&);

private:
    struct Window {
        std::uint32_t admitted { 0 };
        std::uint64_t suppressed { 0 };
    };

    Core::Clock const& m_clock;
    std::uint32_t m_linesPerSecond;
    Core::TimePoint m_windowStart;
    std::map<std::string_view, Window> m_windows;
};

}
