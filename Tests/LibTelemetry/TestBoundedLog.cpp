#include <LibTelemetry/Telemetry.h>

#include <boost/test/unit_test.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace Chicorytally;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(BoundedLog)

BOOST_AUTO_TEST_CASE(FullPipeNeverBlocks)
{
    // Guards against a process that blocks because nobody reads its log.
    std::array<int, 2> ends {};
    BOOST_REQUIRE(pipe(ends.data()) == 0);
    Telemetry::LineBuffer buffer { ends[1], 1000 };
    std::string line(100, 'x');
    line.back() = '\n';
    for (int i = 0; i < 10'000; ++i) {
        buffer.add(line);
        buffer.flush();
    }
    BOOST_TEST(buffer.droppedLines() > 0U);
    BOOST_TEST(buffer.size() <= 1000U);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 65536> block {};
    for (int i = 0; i < 3; ++i) {
        while (auto size = read(ends[0], block.data(), block.size())) {
            if (size < 0)
                break;
            text.append(block.data(), static_cast<std::size_t>(size));
        }
        buffer.flush();
    }
    auto dropped = "event=log_lines_dropped count=" + std::to_string(buffer.droppedLines()) + "\n";
    BOOST_TEST(text.ends_with(dropped));
    close(ends[0]);
    close(ends[1]);
}

BOOST_AUTO_TEST_CASE(LinesOfAnEventAreLimitedAndCounted)
{
    // Guards against a flood of one event that takes processor time from the packet path.
    Core::ManualClock clock;
    Telemetry::EventLimiter limiter { clock, 10 };
    unsigned admitted = 0;
    for (int i = 0; i < 25; ++i)
        admitted += limiter.admit("flood") ? 1 : 0;
    BOOST_TEST(limiter.admit("other"));
    BOOST_TEST(admitted == 10U);
    std::uint64_t reported = 0;
    auto callback = [&](auto event, auto count) {
        BOOST_TEST(event == "flood");
        reported += count;
    };
    limiter.report(callback);
    BOOST_TEST(reported == 0U);
    clock.advance(1s);
    limiter.report(callback);
    BOOST_TEST(reported == 15U);
    BOOST_TEST(limiter.admit("flood"));
}

BOOST_AUTO_TEST_CASE(LongValuesAreCut)
{
    // Guards against losing the line that names a rejected entry, because it quotes the entry and is larger than the
    // buffer of the log.
    static constexpr std::size_t EntryBytes = std::size_t { 1024 } * 1024;
    auto line = Telemetry::formatEvent(
        "item_rejected", { { "key", "servers/i-1" }, { "cause", std::string(EntryBytes, '9') }, { "last", 1 } });
    BOOST_TEST(line.starts_with("event=item_rejected key=servers/i-1 cause=999"));
    BOOST_TEST(line.ends_with("9... last=1"));
    BOOST_TEST(line.size() < 1200U);
    // Characters of UTF-8 stay whole.
    std::string euros;
    while (euros.size() < EntryBytes)
        euros += "\xe2\x82\xac";
    BOOST_TEST(Telemetry::formatEvent("e", { { "k", euros } }).ends_with("\xe2\x82\xac..."));
    std::string const longest(1024, 'x');
    BOOST_TEST(Telemetry::formatEvent("e", { { "k", longest } }) == "event=e k=" + longest);
}

BOOST_AUTO_TEST_SUITE_END()
