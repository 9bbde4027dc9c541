#include <LibTelemetry/LineBuffer.h>

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Chicorytally::Telemetry {

LineBuffer::LineBuffer(int descriptor, std::size_t capacity)
    : m_descriptor(descriptor)
    , m_capacity(capacity)
{
}

void LineBuffer::add(std::string_view line)
{
    if (m_bytes.size() + line.size() > m_capacity) {
        ++m_dropped;
        return;
    }
    m_bytes += line;
}

void LineBuffer::flush()
{
    std::size_t written = 0;
    while (written < m_bytes.size()) {
        pollfd entry { .fd = m_descriptor, .events = POLLOUT, .revents = 0 };
        if (poll(&entry, 1, 0) != 1 || !(entry.revents & POLLOUT))
            break;
        // A pipe that polls as writable accepts PIPE_BUF bytes without blocking (POSIX, pipe(7)).
        auto size = std::min<std::size_t>(m_bytes.size() - written, PIPE_BUF);
        auto result = write(m_descriptor, m_bytes.data() + written, size);
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    m_bytes.erase(0, written);
    if (m_dropped == m_reportedDropped || !m_bytes.empty())
        return;
    m_bytes = "event=log_lines_dropped count=" + std::to_string(m_dropped - m_reportedDropped) + "\n";
    m_reportedDropped = m_dropped;
}

}
