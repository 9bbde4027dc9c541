#pragma once

#include <LibLoad/Load.h>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace Chicorytally::Daemon {

/// Probes upstreams over HTTP on a few threads, so that a slow one doesn't hold up the others.
///
/// A probe is `GET` of the health URL. Status 200 means healthy; a JSON object may add `healthy`, `connections`,
/// `busy_slots` and `generation`.
class ProbeRunner {
public:
    using ReportHook = std::function<void(Core::UpstreamId, Load::UpstreamReport const&)>;

    explicit ProbeRunner(ReportHook);
    ProbeRunner(ProbeRunner const&) = delete;
    ProbeRunner& operator=(ProbeRunner const&) = delete;
    ~ProbeRunner();

    /// Queues probes; those that find the queue full are left out until they are due again.
    void run(std::vector<Load::ProbeTarget> const&);
    void stop();

private:
    void work();
    std::optional<Load::ProbeTarget> takeTarget();

    ReportHook m_report;
    absl::Mutex m_lock;
    std::deque<Load::ProbeTarget> m_queue ABSL_GUARDED_BY(m_lock);
    bool m_isStopping ABSL_GUARDED_BY(m_lock) { false };
    std::vector<std::thread> m_threads;
};

/// What the answer to a probe says; status 0 stands for no answer.
Load::UpstreamReport reportOf(int status, std::string const& body, std::chrono::microseconds latency);

}
