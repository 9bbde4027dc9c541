#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace Chicorytally::Telemetry {

/// Bounds `first, first * factor, ...`, for values that spread over several orders of magnitude.
std::vector<double> exponentialBounds(double first, double factor, std::size_t count);

/// How often values fell between fixed bounds (Boost.Histogram). Thread-safe; takes no lock.
class Histogram {
public:
    /// Upper bounds of the buckets, inclusive and ascending; greater values fall into a last bucket without a bound.
    explicit Histogram(std::vector<double> bounds);
    ~Histogram();

    void record(double value);

    std::vector<double> const& bounds() const { return m_bounds; }
    /// Values per bucket, the one without a bound last.
    std::vector<std::uint64_t> counts() const;
    double sum() const { return m_sum.load(std::memory_order_relaxed); }

private:
    struct BoostHistogram;

    std::vector<double> m_bounds;
    std::unique_ptr<BoostHistogram> m_histogram;
    std::atomic<double> m_sum { 0 };
};

}
