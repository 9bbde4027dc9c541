#include <LibTelemetry/Histogram.h>

#include <boost/histogram.hpp>

#include <cmath>
#include <limits>

namespace Chicorytally::Telemetry {

namespace {

    using Axis = boost::histogram::axis::variable<double>;
    using Storage = boost::histogram::dense_storage<boost::histogram::accumulators::thread_safe<std::uint64_t>>;

    // Boost.Histogram excludes the upper edge of a bin and Prometheus includes it, so each edge is the next
    // representable number above the bound.
    Axis makeAxis(std::vector<double> const& bounds)
    {
        std::vector<double> edges;
        edges.push_back(-std::numeric_limits<double>::max());
        for (auto bound : bounds)
            edges.push_back(std::nextafter(bound, std::numeric_limits<double>::infinity()));
        return Axis(edges);
    }

}

struct Histogram::BoostHistogram {
    boost::histogram::histogram<std::tuple<Axis>, Storage> values;
};

std::vector<double> exponentialBounds(double first, double factor, std::size_t count)
{
    std::vector<double> bounds;
    for (std::size_t i = 0; i < count; ++i, first *= factor)
        bounds.push_back(first);
    return bounds;
}

Histogram::Histogram(std::vector<double> bounds)
    : m_bounds(std::move(bounds))
    , m_histogram(new BoostHistogram { boost::histogram::make_histogram_with(Storage {}, makeAxis(m_bounds)) })
{
}

Histogram::~Histogram() = default;

void Histogram::record(double value)
{
    m_histogram->values(value);
    m_sum.fetch_add(value, std::memory_order_relaxed);
}

std::vector<std::uint64_t> Histogram::counts() const
{
    std::vector<std::uint64_t> counts;
    for (std::size_t i = 0; i <= m_bounds.size(); ++i)
        counts.push_back(m_histogram->values.at(static_cast<int>(i)).load());
    return counts;
}

}
