#include <LibTelemetry/Tracer.h>

#include <cerrno>
#include <cmath>
#include <cstring>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>

namespace Chicorytally::Telemetry {

static constexpr absl::Duration FlushInterval = absl::Milliseconds(200);

// Limits the size of one request to a collector to about 100 KB.
static constexpr std::size_t SpansPerLine = 256;

// Sampling and trace ids use different hashes of the flow, so that the ids of sampled flows don't share a prefix.
static constexpr std::uint64_t SamplingPurpose = 1;
static constexpr std::uint64_t TraceIdPurpose = 2;
static constexpr std::uint64_t SpanIdPurpose = 3;

static std::uint64_t mix(Core::Hash128 const& flowHash, std::uint64_t key, std::uint64_t purpose)
{
    return Core::hashPair(Core::hashPair(flowHash.low, flowHash.high), Core::hashPair(key, purpose));
}

static std::string toHex(std::uint64_t value)
{
    static constexpr char Digits[] = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 0; i < text.size(); ++i)
        text[text.size() - 1 - i] = Digits[value >> (4 * i) & 0xf];
    return text;
}

static std::uint64_t samplingThreshold(double share)
{
    if (share >= 1)
        return UINT64_MAX;
    return share > 0 ? static_cast<std::uint64_t>(std::ldexp(share, 64)) : 0;
}

std::optional<SpanSink> makeFileSink(std::string const& path, std::string& error)
{
    auto file = std::make_shared<std::ofstream>(path, std::ios::app);
    if (!*file) {
        error = path + ": " + std::strerror(errno);
        return std::nullopt;
    }
    return [file](std::string const& line) { *file << line << std::endl; };
}

Tracer::Tracer(TracerOptions options, SpanSink sink, WallClock wallClock)
    : m_options(std::move(options))
    , m_sink(std::move(sink))
    , m_wallClock(std::move(wallClock))
    , m_threshold(samplingThreshold(m_options.sampledShare))
{
    absl::MutexLock lock { &m_lock };
    m_queue.reserve(m_options.queueSize);
}

Tracer::~Tracer() { stop(); }

bool Tracer::isSampled(Core::Hash128 const& flowHash) const
{
    return isEnabled() && mix(flowHash, m_options.key, SamplingPurpose) <= m_threshold;
}

void Tracer::record(Span const& span)
{
    if (!m_lock.TryLock()) {
        m_dropped.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    bool hasRoom = m_queue.size() < m_options.queueSize;
    if (hasRoom)
        m_queue.push_back({ span, m_wallClock(), ++m_number });
    m_lock.Unlock();
    (hasRoom ? m_recorded : m_dropped).fetch_add(1, std::memory_order_relaxed);
}

std::string Tracer::traceId(Core::Hash128 const& flowHash) const
{
    auto high = mix(flowHash, m_options.key, TraceIdPurpose);
    return toHex(high) + toHex(Core::hashPair(high, flowHash.low));
}

static nlohmann::json attribute(std::string_view key, SpanValue const& value)
{
    nlohmann::json rendered;
    // OTLP/JSON represents 64-bit integers as strings.
    if (auto const* number = std::get_if<std::uint64_t>(&value))
        rendered["intValue"] = std::to_string(*number);
    else if (auto const* hexNumber = std::get_if<HexNumber>(&value))
        rendered["stringValue"] = toHex(hexNumber->value);
    else
        rendered["stringValue"] = std::get<std::string_view>(value);
    return { { "key", key }, { "value", rendered } };
}

static nlohmann::json renderAttributes(Span const& span)
{
    auto attributes = nlohmann::json::array();
    for (std::size_t i = 0; i < span.attributeCount; ++i)
        attributes.push_back(attribute(span.attributes[i].key, span.attributes[i].value));
    if (!span.flow)
        return attributes;
    auto source = span.flow->source.address.toString();
    auto destination = span.flow->destination.address.toString();
    attributes.push_back(attribute("network.transport", span.flow->protocol == Core::Protocol::Tcp ? "tcp" : "udp"));
    attributes.push_back(attribute("client.address", source));
    attributes.push_back(attribute("client.port", std::uint64_t { span.flow->source.port }));
    attributes.push_back(attribute("server.address", destination));
    attributes.push_back(attribute("server.port", std::uint64_t { span.flow->destination.port }));
    return attributes;
}

static std::string unixNanoseconds(std::chrono::system_clock::time_point time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

std::string Tracer::render(std::vector<QueuedSpan> const& queued) const
{
    auto spans = nlohmann::json::array();
    auto instance = Core::hash64(m_options.vmName);
    for (auto const& [span, end, number] : queued) {
        auto spanId
            = mix({ number, static_cast<std::uint64_t>(end.time_since_epoch().count()) }, instance, SpanIdPurpose);
        spans.push_back({ { "traceId", traceId(span.flowHash) }, { "spanId", toHex(spanId) }, { "name", span.name },
            { "kind", 1 }, { "startTimeUnixNano", unixNanoseconds(end - span.duration) },
            { "endTimeUnixNano", unixNanoseconds(end) }, { "attributes", renderAttributes(span) } });
    }
    nlohmann::json resource = { { "attributes",
        { attribute("service.name", "chicorytally"), attribute("service.instance.id", m_options.vmName) } } };
    nlohmann::json scope = { { "scope", { { "name", "chicorytally" } } }, { "spans", spans } };
    auto scopes = nlohmann::json::array();
    scopes.push_back(scope);
    auto resources = nlohmann::json::array();
    resources.push_back({ { "resource", resource }, { "scopeSpans", scopes } });
    return nlohmann::json { { "resourceSpans", resources } }.dump(
        -1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::size_t Tracer::flush()
{
    absl::MutexLock writeLock { &m_writeLock };
    std::vector<QueuedSpan> queued;
    // Reserved outside the lock, because record() drops spans while the lock is held.
    queued.reserve(m_options.queueSize);
    {
        absl::MutexLock lock { &m_lock };
        std::swap(queued, m_queue);
    }
    for (std::size_t begin = 0; begin < queued.size(); begin += SpansPerLine) {
        auto end = std::min(queued.size(), begin + SpansPerLine);
        m_sink(render({ queued.begin() + static_cast<std::ptrdiff_t>(begin),
            queued.begin() + static_cast<std::ptrdiff_t>(end) }));
    }
    return queued.size();
}

void Tracer::start()
{
    m_thread = std::thread { [this] { run(); } };
}

void Tracer::run()
{
    bool isStopping = false;
    while (!isStopping) {
        {
            absl::MutexLock lock { &m_lock };
            isStopping = m_lock.AwaitWithTimeout(absl::Condition(&m_isStopping), FlushInterval);
        }
        flush();
    }
}

void Tracer::stop()
{
    {
        absl::MutexLock lock { &m_lock };
        m_isStopping = true;
    }
    if (m_thread.joinable())
        m_thread.join();
    flush();
}

}
