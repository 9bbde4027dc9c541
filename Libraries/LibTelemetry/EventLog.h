#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace Chicorytally::Telemetry {

enum class Level : std::uint8_t {
    Debug,
    Info,
    Warn,
    Error,
};

/// One key=value pair of an event.
struct Field {
    Field(std::string_view fieldKey, std::string_view fieldValue)
        : key(fieldKey)
        , value(fieldValue)
    {
    }
    template <std::integral Number>
    Field(std::string_view fieldKey, Number number)
        : key(fieldKey)
        , value(std::to_string(number))
    {
    }

    std::string_view key;
    std::string value;
};

/// Sets log4cxx up to write one line an event to standard error. Nothing below the level is written.
void initializeLog(Level);

/// The same on standard output, through a buffer that never blocks: to be used by a process with one thread, which
/// calls flushLog() often and once more at its end.
void initializeBufferedLog(Level);
void flushLog();
/// Lines that the buffer had no room for.
std::uint64_t droppedLogLines();

/// Parses "debug", "info", "warn" or "error"; false for any other text.
bool parseLevel(std::string_view text, Level&);

/// Writes `event=NAME key=value ...`. Values with spaces, quotes or control characters are quoted and escaped.
void logEvent(Level, std::string_view event, std::initializer_list<Field> = {});

/// The line that logEvent() writes, without time and level.
std::string formatEvent(std::string_view event, std::initializer_list<Field>);

}
