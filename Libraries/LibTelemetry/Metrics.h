#pragma once

#include <LibTelemetry/Histogram.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Telemetry {

/// Labels of a metric by name, as in {service="register"}.
using Labels = std::map<std::string, std::string>;

/// The part of a counter that one thread increments. Any thread may read it.
class alignas(64) CounterShard {
public:
    // A single writer needs no atomic read-modify-write, which would cost a locked instruction per packet.
    void add(std::uint64_t count = 1)
    {
        m_value.store(m_value.load(std::memory_order_relaxed) + count, std::memory_order_relaxed);
    }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

/// A monotonically increasing value. Thread-safe.
class Counter {
public:
    /// May be called from any thread.
    void add(std::uint64_t count = 1) { m_shared.fetch_add(count, std::memory_order_relaxed); }
    /// Creates a shard for exclusive use by one thread; it lives as long as the counter.
    CounterShard& makeShard();
    /// The sum of all shards and of the values added with add().
    std::uint64_t value() const;

private:
    std::atomic<std::uint64_t> m_shared { 0 };
    mutable absl::Mutex m_lock;
    std::deque<CounterShard> m_shards ABSL_GUARDED_BY(m_lock);
};

/// A value that can increase and decrease. Thread-safe.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double difference) { m_value.fetch_add(difference, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

/// The registry of all metrics of a process, by name and labels. Metrics are created once and live as long as the
/// registry. Thread-safe; updating a metric takes no lock.
class Metrics {
public:
    /// Returns the metric with this name and these labels, created on first use. A name has one type; requesting it
    /// with another type is a programming error and throws std::logic_error.
    Counter& counter(std::string_view name, std::string_view help, Labels const& labels = {});
    Gauge& gauge(std::string_view name, std::string_view help, Labels const& labels = {});
    /// The bounds of the first call for this name and these labels apply.
    Histogram& histogram(
        std::string_view name, std::string_view help, std::vector<double> const& bounds, Labels const& labels = {});
    /// Adds a gauge whose value is read on each scrape. The callback is called without a lock held.
    void observeGauge(
        std::string_view name, std::string_view help, std::function<double()> read, Labels const& labels = {});
    /// Like observeGauge(), for a monotonically increasing value that another object counts.
    void observeCounter(
        std::string_view name, std::string_view help, std::function<double()> read, Labels const& labels = {});

    /// All metrics in the Prometheus text format, version 0.0.4.
    std::string renderText() const;

private:
    enum class Kind : std::uint8_t {
        Counter,
        Gauge,
        Histogram,
    };

    struct Instance {
        std::unique_ptr<Counter> counter;
        std::unique_ptr<Gauge> gauge;
        std::unique_ptr<Histogram> histogram;
        std::function<double()> read;
    };

    struct Family {
        Kind kind;
        std::string help;
        std::map<Labels, std::shared_ptr<Instance>> instances;
    };

    Instance& instance(std::string_view name, std::string_view help, Kind, Labels const&)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock);
    std::map<std::string, Family, std::less<>> families() const;

    mutable absl::Mutex m_lock;
    std::map<std::string, Family, std::less<>> m_families ABSL_GUARDED_BY(m_lock);
};

}
