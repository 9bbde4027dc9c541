#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Chicorytally::Telemetry {

/// Buffers lines for a file descriptor without blocking: lines beyond the capacity are dropped and counted, and a flush
/// writes only as much as the descriptor accepts immediately. Not thread-safe.
class LineBuffer {
public:
    LineBuffer(int descriptor, std::size_t capacity);

    void add(std::string_view line);
    /// Writes as much as the descriptor accepts without blocking. Once the buffer is empty, adds a line with the number
    /// of lines dropped since the last such line.
    void flush();
    std::uint64_t droppedLines() const { return m_dropped; }
    std::size_t size() const { return m_bytes.size(); }

private:
    int m_descriptor;
    std::size_t m_capacity;
    std::string m_bytes;
    std::uint64_t m_dropped { 0 };
    std::uint64_t m_reportedDropped { 0 };
};

}
