#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace Chicorytally::Telemetry {

/// Bounds `first, first * factor, ...`, for values that span several orders of magnitude.
std::vector<double> exponentialBounds(double first, double factor, std::size_t count);

/// Counts values in buckets with fixed bounds, using Boost.Histogram. Thread-safe; takes no lock.
class Histogram {
public:
    /// Upper bounds of the buckets, inclusive and ascending; greater values are counted in a last, unbounded bucket.
    explicit Histogram(std::vector<double> bounds);
    ~Histogram();

    void record(double value);

    std::vector<double> const& bounds() const { return m_bounds; }
    /// Number of values per bucket; the unbounded bucket is last.
    std::vector<std::uint64_t> counts() const;
    double sum() const { return m_sum.load(std::memory_order_relaxed); }

private:
    struct BoostHistogram;

    std::vector<double> m_bounds;
    std::unique_ptr<BoostHistogram> m_histogram;
    std::atomic<double> m_sum { 0 };
};

}
