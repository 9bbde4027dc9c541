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

/// Configures log4cxx to write one line per event to standard error. Events below the level are discarded.
void initializeLog(Level);

/// Like initializeLog(), but writes to standard output through a buffer that never blocks. Only for single-threaded
/// processes, which must call flushLog() often and once before they exit.
void initializeBufferedLog(Level);
void flushLog();
/// Number of lines dropped because the buffer was full.
std::uint64_t droppedLogLines();

/// Parses "debug", "info", "warn" or "error"; returns false for any other text.
bool parseLevel(std::string_view text, Level&);

/// Writes `event=NAME key=value ...`. Values with spaces, quotes or control characters are quoted and escaped,
/// and those of more than 1 KiB are cut.
void logEvent(Level, std::string_view event, std::initializer_list<Field> = {});

/// Returns the line that logEvent() writes, without time and level.
std::string formatEvent(std::string_view event, std::initializer_list<Field>);

}
