#include <LibTelemetry/Metrics.h>

#include <limits>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <stdexcept>

namespace Chicorytally::Telemetry {

CounterShard& Counter::makeShard()
{
    absl::MutexLock lock { &m_lock };
    return m_shards.emplace_back();
}

std::uint64_t Counter::value() const
{
    auto sum = m_shared.load(std::memory_order_relaxed);
    absl::MutexLock lock { &m_lock };
    for (auto const& shard : m_shards)
        sum += shard.value();
    return sum;
}

Metrics::Instance& Metrics::instance(std::string_view name, std::string_view help, Kind kind, Labels const& labels)
{
    auto position = m_families.find(name);
    if (position == m_families.end())
        position = m_families.emplace(std::string { name }, Family { kind, std::string { help }, {} }).first;
    auto& family = position->second;
    if (family.kind != kind)
        throw std::logic_error("metric " + std::string { name } + " is already registered with another type");
    auto& existing = family.instances[labels];
    if (!existing)
        existing = std::make_shared<Instance>();
    return *existing;
}

Counter& Metrics::counter(std::string_view name, std::string_view help, Labels const& labels)
{
    absl::MutexLock lock { &m_lock };
    auto& metric = instance(name, help, Kind::Counter, labels);
    if (!metric.counter)
        metric.counter = std::make_unique<Counter>();
    return *metric.counter;
}

Gauge& Metrics::gauge(std::string_view name, std::string_view help, Labels const& labels)
{
    absl::MutexLock lock { &m_lock };
    auto& metric = instance(name, help, Kind::Gauge, labels);
    if (!metric.gauge)
        metric.gauge = std::make_unique<Gauge>();
    return *metric.gauge;
}

Histogram& Metrics::histogram(
    std::string_view name, std::string_view help, std::vector<double> const& bounds, Labels const& labels)
{
    absl::MutexLock lock { &m_lock };
    auto& metric = instance(name, help, Kind::Histogram, labels);
    if (!metric.histogram)
        metric.histogram = std::make_unique<Histogram>(bounds);
    return *metric.histogram;
}

void Metrics::observeGauge(
    std::string_view name, std::string_view help, std::function<double()> read, Labels const& labels)
{
    absl::MutexLock lock { &m_lock };
    instance(name, help, Kind::Gauge, labels).read = std::move(read);
}

void Metrics::observeCounter(
    std::string_view name, std::string_view help, std::function<double()> read, Labels const& labels)
{
    absl::MutexLock lock { &m_lock };
    instance(name, help, Kind::Counter, labels).read = std::move(read);
}

// The copies share the instances, so that callbacks run without the lock.
std::map<std::string, Metrics::Family, std::less<>> Metrics::families() const
{
    absl::MutexLock lock { &m_lock };
    return m_families;
}

static void fill(prometheus::ClientMetric& metric, Histogram const& histogram)
{
    auto counts = histogram.counts();
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        cumulative += counts[i];
        auto isLast = i == histogram.bounds().size();
        auto bound = isLast ? std::numeric_limits<double>::infinity() : histogram.bounds()[i];
        metric.histogram.bucket.push_back({ cumulative, bound });
    }
    metric.histogram.sample_count = cumulative;
    metric.histogram.sample_sum = histogram.sum();
}

std::string Metrics::renderText() const
{
    static constexpr prometheus::MetricType Types[]
        = { prometheus::MetricType::Counter, prometheus::MetricType::Gauge, prometheus::MetricType::Histogram };
    std::vector<prometheus::MetricFamily> rendered;
    for (auto const& [name, family] : families()) {
        prometheus::MetricFamily target { name, family.help, Types[static_cast<std::size_t>(family.kind)], {} };
        for (auto const& [labels, instance] : family.instances) {
            prometheus::ClientMetric metric;
            for (auto const& [key, value] : labels)
                metric.label.push_back({ key, value });
            auto read = instance->read ? instance->read() : 0;
            if (instance->counter)
                read += static_cast<double>(instance->counter->value());
            if (instance->gauge)
                read += instance->gauge->value();
            metric.counter.value = read;
            metric.gauge.value = read;
            if (instance->histogram)
                fill(metric, *instance->histogram);
            target.metric.push_back(std::move(metric));
        }
        rendered.push_back(std::move(target));
    }
    return prometheus::TextSerializer {}.Serialize(rendered);
}

}
