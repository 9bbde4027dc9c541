#pragma once

#include <LibCore/Core.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

namespace Chicorytally::Telemetry {

/// A number that is written as 16 hexadecimal digits, like an identifier.
struct HexNumber {
    std::uint64_t value { 0 };
};

using SpanValue = std::variant<std::uint64_t, std::string_view, HexNumber>;

/// An attribute of a span. Strings must outlive the tracer, since recording doesn't copy them.
struct SpanAttribute {
    std::string_view key;
    SpanValue value;
};

/// Records how one balancer handled one packet of a flow.
struct Span {
    /// Maximum number of attributes of a span; further ones are discarded.
    static constexpr std::size_t MaxAttributes = 10;

    /// Hash of the flow under the key of the fleet; equal on all balancers.
    Core::Hash128 flowHash;
    std::string_view name;
    std::chrono::nanoseconds duration { 0 };
    /// Written as the attributes of OpenTelemetry's network conventions.
    std::optional<Core::FlowKey> flow;

    void add(std::string_view key, std::uint64_t value) { append({ key, value }); }
    void add(std::string_view key, std::string_view value) { append({ key, value }); }
    void add(std::string_view key, HexNumber value) { append({ key, value }); }

    std::array<SpanAttribute, MaxAttributes> attributes {};
    std::size_t attributeCount { 0 };

private:
    void append(SpanAttribute attribute)
    {
        if (attributeCount < MaxAttributes)
            attributes[attributeCount++] = attribute;
    }
};

struct TracerOptions {
    /// Name of this VM, written as service.instance.id.
    std::string vmName;
    /// Derived from the key of the fleet, so that outsiders can't choose which flows are sampled.
    std::uint64_t key { 0 };
    /// Fraction of the flows that are traced, 0 to 1.
    double sampledShare { 0.001 };
    /// Maximum number of spans queued for writing; further ones are dropped and counted.
    std::size_t queueSize { 4096 };
};

/// Receives one line of OTLP/JSON (ExportTraceServiceRequest), without the newline.
using SpanSink = std::function<void(std::string const& line)>;

/// Appends each line to a file. Returns std::nullopt and sets the error if the file can't be opened.
std::optional<SpanSink> makeFileSink(std::string const& path, std::string& error);

/// Collects spans of sampled flows and writes them as OTLP/JSON. Every balancer samples the same flows, and all hops of
/// a flow belong to one trace. Thread-safe; record() never blocks.
class Tracer {
public:
    /// Wall clock of the spans; the system clock by default.
    using WallClock = std::function<std::chrono::system_clock::time_point()>;

    Tracer(
        TracerOptions, SpanSink, WallClock = [] { return std::chrono::system_clock::now(); });
    Tracer(Tracer const&) = delete;
    Tracer& operator=(Tracer const&) = delete;
    ~Tracer();

    /// Returns false if no flow is sampled.
    bool isEnabled() const { return m_threshold != 0; }
    bool isSampled(Core::Hash128 const& flowHash) const;
    /// Queues a span that ends now. It is dropped and counted when the queue is full or in use by another thread.
    void record(Span const&);

    /// Writes the queued spans on the calling thread and returns their number.
    std::size_t flush();
    /// Starts a thread that flushes several times a second.
    void start();
    /// Writes the queued spans and joins the thread.
    void stop();

    std::uint64_t recordedCount() const { return m_recorded.load(std::memory_order_relaxed); }
    std::uint64_t droppedCount() const { return m_dropped.load(std::memory_order_relaxed); }

    /// 32 hexadecimal digits; equal on all balancers with the same key.
    std::string traceId(Core::Hash128 const& flowHash) const;

private:
    struct QueuedSpan {
        Span span;
        std::chrono::system_clock::time_point end;
        std::uint64_t number;
    };

    std::string render(std::vector<QueuedSpan> const&) const;
    void run();

    TracerOptions m_options;
    SpanSink m_sink;
    WallClock m_wallClock;
    std::uint64_t m_threshold;
    std::atomic<std::uint64_t> m_recorded { 0 };
    std::atomic<std::uint64_t> m_dropped { 0 };
    absl::Mutex m_lock;
    std::vector<QueuedSpan> m_queue ABSL_GUARDED_BY(m_lock);
    std::uint64_t m_number ABSL_GUARDED_BY(m_lock) { 0 };
    bool m_isStopping ABSL_GUARDED_BY(m_lock) { false };
    // Serialises flush(): the sink is called by one thread at a time.
    absl::Mutex m_writeLock;
    std::thread m_thread;
};

}
