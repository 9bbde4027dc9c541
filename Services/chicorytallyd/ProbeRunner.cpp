#include "ProbeRunner.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <limits>

namespace Chicorytally::Daemon {

static constexpr std::size_t ThreadCount = 4;
// Room for one round over the upstreams of a large site; a longer queue would only hold probes that are out of date.
static constexpr std::size_t MaxQueueLength = 256;
// Shorter than the probe interval of LibLoad, so that a silent upstream counts as failed before its next probe.
static constexpr std::chrono::milliseconds ProbeTimeout { 800 };
static constexpr int StatusOk = 200;

ProbeRunner::ProbeRunner(ReportHook report)
    : m_report(std::move(report))
{
    for (std::size_t i = 0; i < ThreadCount; ++i)
        m_threads.emplace_back([this] { work(); });
}

ProbeRunner::~ProbeRunner() { stop(); }

void ProbeRunner::stop()
{
    {
        absl::MutexLock lock { &m_lock };
        m_isStopping = true;
    }
    for (auto& thread : m_threads) {
        if (thread.joinable())
            thread.join();
    }
}

void ProbeRunner::run(std::vector<Load::ProbeTarget> const& targets)
{
    absl::MutexLock lock { &m_lock };
    for (auto const& target : targets) {
        if (m_queue.size() < MaxQueueLength)
            m_queue.push_back(target);
    }
}

std::optional<Load::ProbeTarget> ProbeRunner::takeTarget()
{
    absl::MutexLock lock { &m_lock };
    auto isWoken = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_lock) { return m_isStopping || !m_queue.empty(); };
    m_lock.Await(absl::Condition { &isWoken });
    if (m_isStopping)
        return std::nullopt;
    auto target = std::move(m_queue.front());
    m_queue.pop_front();
    return target;
}

static std::optional<std::uint32_t> countIn(nlohmann::json const& object, char const* key)
{
    auto position = object.find(key);
    if (position == object.end() || !position->is_number_unsigned())
        return std::nullopt;
    auto count = position->get<std::uint64_t>();
    if (count > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return static_cast<std::uint32_t>(count);
}

Load::UpstreamReport reportOf(int status, std::string const& body, std::chrono::microseconds latency)
{
    Load::UpstreamReport report;
    report.isHealthy = status == StatusOk;
    if (status == 0)
        return report;
    report.latency = latency;
    auto object = nlohmann::json::parse(body, nullptr, false);
    if (!object.is_object())
        return report;
    if (auto healthy = object.find("healthy"); healthy != object.end() && healthy->is_boolean())
        report.isHealthy = report.isHealthy && healthy->get<bool>();
    report.connections = countIn(object, "connections");
    report.busySlots = countIn(object, "busy_slots");
    if (auto generation = object.find("generation"); generation != object.end() && generation->is_number_integer())
        report.generation = generation->get<std::int64_t>();
    return report;
}

static Load::UpstreamReport probe(std::string const& url)
{
    auto hostStart = url.find("://");
    auto pathStart = hostStart == std::string::npos ? std::string::npos : url.find('/', hostStart + 3);
    httplib::Client client { url.substr(0, pathStart) };
    client.set_connection_timeout(ProbeTimeout);
    client.set_read_timeout(ProbeTimeout);
    auto start = std::chrono::steady_clock::now();
    auto result = client.Get(pathStart == std::string::npos ? "/" : url.substr(pathStart));
    auto latency = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start);
    return result ? reportOf(result->status, result->body, latency) : reportOf(0, {}, latency);
}

void ProbeRunner::work()
{
    while (auto target = takeTarget())
        m_report(target->upstream, probe(target->url));
}

}
