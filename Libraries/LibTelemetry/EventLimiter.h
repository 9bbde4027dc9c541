#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Chicorytally::Telemetry {

/// Bounds the lines of each kind of event. What is left out is counted and told once a second. Not thread-safe.
class EventLimiter {
public:
    /// Lines of one kind in any second, at most.
    EventLimiter(Core::Clock const&, std::uint32_t linesPerSecond);

    /// Whether a line of the event may be written now. The name must outlive the limiter.
    bool admit(std::string_view event);
    /// Calls back for each kind of which lines were left out in the second that has passed.
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
