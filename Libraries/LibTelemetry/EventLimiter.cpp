#include <LibTelemetry/EventLimiter.h>

namespace Chicorytally::Telemetry {

static constexpr std::chrono::seconds WindowLength { 1 };

EventLimiter::EventLimiter(Core::Clock const& clock, std::uint32_t linesPerSecond)
    : m_clock(clock)
    , m_linesPerSecond(linesPerSecond)
    , m_windowStart(clock.now())
{
}

bool EventLimiter::admit(std::string_view event)
{
    auto& window = m_windows[event];
    if (window.admitted < m_linesPerSecond) {
        ++window.admitted;
        return true;
    }
    ++window.suppressed;
    return false;
}

void EventLimiter::report(std::function<void(std::string_view event, std::uint64_t count)> const& callback)
{
    if (m_clock.now() - m_windowStart < WindowLength)
        return;
    m_windowStart = m_clock.now();
    for (auto const& [event, window] : m_windows) {
        if (window.suppressed != 0)
            callback(event, window.suppressed);
    }
    m_windows.clear();
}

}
