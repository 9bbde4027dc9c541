#include <LibRelay/LoadReportCodec.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace Chicorytally::Relay {

using std::chrono::milliseconds;

// 255 steps cover the 2 s for which records are forwarded, and a margin for late ones.
static constexpr milliseconds AgeStep { 20 };
static_assert(AgeStep * 255 == MaximumLoadRecordAge);

static constexpr std::size_t IdSize = 8;

// Exact up to here, because few requests are in flight between one balancer and one upstream.
static constexpr std::uint32_t FirstRoundedCount = 16;
static constexpr int MantissaBits = 3;
static constexpr std::uint8_t MaximumCountCode = 239;

// A logarithmic scale; code 0 stands for a value of 0.
struct LogarithmicScale {
    double stepsPerDoubling;
    double codeOfOne;
};

// A step of 4% is finer than the noise of the estimates.
static constexpr LogarithmicScale ResponseTimeScale { .stepsPerDoubling = 16, .codeOfOne = 128 };
// Weights are numbers of responses, which exceed 1 by far more than they fall below it.
static constexpr LogarithmicScale WeightScale { .stepsPerDoubling = 8, .codeOfOne = 64 };

static std::uint8_t encodeCount(std::uint32_t value)
{
    if (value < FirstRoundedCount)
        return static_cast<std::uint8_t>(value);
    int exponent = std::bit_width(value) - 1;
    auto mantissa = (value >> (exponent - MantissaBits)) & ((1U << MantissaBits) - 1);
    return static_cast<std::uint8_t>(FirstRoundedCount + ((exponent - 4) << MantissaBits) + mantissa);
}

static std::uint32_t decodeCount(std::uint8_t code)
{
    if (code < FirstRoundedCount)
        return code;
    auto offset = std::min(code, MaximumCountCode) - FirstRoundedCount;
    auto exponent = 4 + (offset >> MantissaBits);
    auto mantissa = (1U << MantissaBits) + (offset & ((1U << MantissaBits) - 1));
    auto step = 1U << (exponent - MantissaBits);
    return mantissa * step + step / 2;
}

static std::uint8_t encodeLogarithmic(double value, LogarithmicScale const& scale)
{
    if (std::isnan(value) || value <= 0)
        return 0;
    // The logarithm of infinity is clamped, too.
    auto code = std::round(scale.codeOfOne + scale.stepsPerDoubling * std::log2(value));
    return static_cast<std::uint8_t>(std::clamp(code, 1.0, 255.0));
}

static double decodeLogarithmic(std::uint8_t code, LogarithmicScale const& scale)
{
    return code == 0 ? 0 : std::exp2((code - scale.codeOfOne) / scale.stepsPerDoubling);
}

static std::uint8_t encodeAge(milliseconds age)
{
    auto bounded = std::clamp(age, milliseconds { 0 }, MaximumLoadRecordAge);
    return static_cast<std::uint8_t>((bounded + AgeStep - milliseconds { 1 }) / AgeStep);
}

static std::size_t significantBytes(std::uint64_t value)
{
    return (static_cast<std::size_t>(std::bit_width(value)) + 7) / 8;
}

static void appendInteger(std::string& bytes, std::uint64_t value, std::size_t size)
{
    for (auto shift = 8 * size; shift > 0; shift -= 8)
        bytes.push_back(static_cast<char>(value >> (shift - 8)));
}

LoadReportWriter::LoadReportWriter(std::size_t maximumBytes)
    : m_maximumBytes(maximumBytes)
{
}

bool LoadReportWriter::continuesBlock(LoadRecord const& record) const
{
    if (m_bytes.empty() || record.reporter != m_reporter || record.sequence != m_sequence)
        return false;
    auto count = static_cast<std::uint8_t>(m_bytes[m_headerAt + LoadRecordHeaderSize - 1]);
    return count < std::numeric_limits<std::uint8_t>::max();
}

static void appendRecord(std::string& bytes, Load::UpstreamLoadReport const& observation)
{
    auto idSize = significantBytes(observation.upstream.value());
    auto incarnationSize = significantBytes(observation.incarnation.value());
    bytes.push_back(static_cast<char>(idSize << 4 | incarnationSize));
    appendInteger(bytes, observation.upstream.value(), idSize);
    appendInteger(bytes, observation.incarnation.value(), incarnationSize);
    bytes.push_back(static_cast<char>(encodeCount(observation.requestsInFlight)));
    bytes.push_back(static_cast<char>(encodeLogarithmic(observation.relativeResponseTime, ResponseTimeScale)));
    bytes.push_back(static_cast<char>(encodeLogarithmic(observation.responseWeight, WeightScale)));
    bytes.push_back(static_cast<char>(encodeAge(observation.age)));
}

bool LoadReportWriter::add(LoadRecord const& record)
{
    auto oldSize = m_bytes.size();
    bool continues = continuesBlock(record);
    if (!continues) {
        appendInteger(m_bytes, record.reporter.value(), IdSize);
        appendInteger(m_bytes, record.sequence, sizeof(ReportSequence));
        m_bytes.push_back(0);
    }
    appendRecord(m_bytes, record.observation);
    if (m_bytes.size() > m_maximumBytes) {
        m_bytes.resize(oldSize);
        return false;
    }
    if (!continues) {
        m_headerAt = oldSize;
        m_reporter = record.reporter;
        m_sequence = record.sequence;
    }
    ++m_bytes[m_headerAt + LoadRecordHeaderSize - 1];
    return true;
}

namespace {

    /// Reads integers; after the first one that is missing, all are 0 and isValid is false.
    struct Reader {
        std::string_view bytes;
        bool isValid { true };

        std::uint64_t read(std::size_t size)
        {
            if (size > IdSize || size > bytes.size()) {
                isValid = false;
                return 0;
            }
            std::uint64_t value = 0;
            for (auto byte : bytes.substr(0, size))
                value = value << 8 | static_cast<std::uint8_t>(byte);
            bytes.remove_prefix(size);
            return value;
        }

        std::uint8_t readByte() { return static_cast<std::uint8_t>(read(1)); }
    };

}

static Load::UpstreamLoadReport readRecord(Reader& reader)
{
    auto sizes = reader.readByte();
    Load::UpstreamLoadReport observation;
    observation.upstream = Core::UpstreamId { reader.read(sizes >> 4) };
    observation.incarnation = Core::Incarnation { reader.read(sizes & 0xf) };
    observation.requestsInFlight = decodeCount(reader.readByte());
    observation.relativeResponseTime = decodeLogarithmic(reader.readByte(), ResponseTimeScale);
    observation.responseWeight = decodeLogarithmic(reader.readByte(), WeightScale);
    observation.age = AgeStep * reader.readByte();
    return observation;
}

std::optional<std::vector<LoadRecord>> decodeLoadRecords(std::string_view bytes)
{
    std::vector<LoadRecord> records;
    Reader reader { bytes };
    while (!reader.bytes.empty()) {
        Core::VmId reporter { reader.read(IdSize) };
        auto sequence = static_cast<ReportSequence>(reader.read(sizeof(ReportSequence)));
        auto count = reader.readByte();
        for (unsigned index = 0; index < count && reader.isValid; ++index)
            records.push_back({ reporter, sequence, readRecord(reader) });
        if (!reader.isValid || count == 0 || !reporter.isValid())
            return std::nullopt;
    }
    return records;
}

}
