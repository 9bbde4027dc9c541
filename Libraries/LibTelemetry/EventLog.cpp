#include <LibTelemetry/EventLog.h>

#include <LibTelemetry/LineBuffer.h>

#include <algorithm>
#include <cctype>
#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace Chicorytally::Telemetry {

static log4cxx::LoggerPtr logger()
{
    static auto s_logger = log4cxx::Logger::getLogger("chicorytally");
    return s_logger;
}

static log4cxx::LevelPtr toLog4cxx(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warn:
        return log4cxx::Level::getWarn();
    case Level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

// Holds the lines that the event limits admit within one second.
static constexpr std::size_t BufferCapacity = std::size_t { 256 } * 1024;

static LineBuffer& standardOutput()
{
    static LineBuffer s_buffer { STDOUT_FILENO, BufferCapacity };
    return s_buffer;
}

namespace {

    /// Appends each line to the buffer of standard output.
    class BufferAppender final : public log4cxx::AppenderSkeleton {
    public:
        explicit BufferAppender(log4cxx::LayoutPtr lineLayout)
            : m_lineLayout(std::move(lineLayout))
        {
        }

        void append(log4cxx::spi::LoggingEventPtr const& event, log4cxx::helpers::Pool& pool) override
        {
            m_line.clear();
            m_lineLayout->format(m_line, event, pool);
            standardOutput().add(m_line);
        }
        void close() override { }
        bool requiresLayout() const override { return false; }

    private:
        log4cxx::LayoutPtr m_lineLayout;
        log4cxx::LogString m_line;
    };

}

static log4cxx::LayoutPtr lineLayout()
{
    return std::make_shared<log4cxx::PatternLayout>("time=%d{ISO8601} level=%p %m%n");
}

void initializeBufferedLog(Level level)
{
    log4cxx::BasicConfigurator::configure(std::make_shared<BufferAppender>(lineLayout()));
    logger()->setLevel(toLog4cxx(level));
}

void flushLog() { standardOutput().flush(); }

std::uint64_t droppedLogLines() { return standardOutput().droppedLines(); }

void initializeLog(Level level)
{
    auto layout = lineLayout();
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    logger()->setLevel(toLog4cxx(level));
}

bool parseLevel(std::string_view text, Level& level)
{
    if (text == "debug")
        level = Level::Debug;
    else if (text == "info")
        level = Level::Info;
    else if (text == "warn")
        level = Level::Warn;
    else if (text == "error")
        level = Level::Error;
    else
        return false;
    return true;
}

static bool needsQuotes(std::string_view value)
{
    auto isSpecial = [](unsigned char character) {
        return std::isspace(character) || std::iscntrl(character) || character == '"' || character == '='
            || character == '\\';
    };
    return value.empty() || std::ranges::any_of(value, isSpecial);
}

static std::string quote(std::string_view value)
{
    std::string quoted { "\"" };
    for (char character : value) {
        if (character == '\n') {
            quoted += "\\n";
            continue;
        }
        if (std::iscntrl(static_cast<unsigned char>(character))) {
            quoted += '?';
            continue;
        }
        if (character == '"' || character == '\\')
            quoted += '\\';
        quoted += character;
    }
    return quoted + '"';
}

// A message of a parser may quote the whole of a value that somebody else has written.
static constexpr std::size_t MaximumValueBytes = 1024;

static std::string truncate(std::string const& value)
{
    if (value.size() <= MaximumValueBytes)
        return value;
    auto size = MaximumValueBytes;
    // Doesn't split a character of UTF-8, whose further bytes are 10xxxxxx.
    while (size > 0 && (static_cast<unsigned char>(value[size]) & 0xc0) == 0x80)
        --size;
    return value.substr(0, size) + "...";
}

std::string formatEvent(std::string_view event, std::initializer_list<Field> fields)
{
    std::string line { "event=" };
    line += event;
    for (auto const& field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        auto value = truncate(field.value);
        line += needsQuotes(value) ? quote(value) : value;
    }
    return line;
}

void logEvent(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    auto target = logger();
    auto log4cxxLevel = toLog4cxx(level);
    if (!target->isEnabledFor(log4cxxLevel))
        return;
    target->forcedLog(log4cxxLevel, formatEvent(event, fields));
}

}
