#pragma once

#include <LibCore/Core.h>
#include <LibLoad/PeerReport.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

namespace Chicorytally::Load {

struct RequestFailureDetectorOptions {
    /// The balancer itself, in reports.
    Core::VmId self;
    /// Evidence counts for this long. An upstream that recovered gets its share again after it.
    std::chrono::milliseconds window { 3000 };
    /// Findings of this balancer alone that are enough.
    std::size_t ownFailureThreshold { 3 };
};

/// Upstreams that answer probes but fail requests or let them hang, from the traffic of this balancer and the reports
/// of others. New flows avoid them; their flows stay, as a balancer can't be sure. Not thread-safe.
class RequestFailureDetector {
public:
    /// The hook gets the upstreams that begin to count as failing.
    RequestFailureDetector(
        Core::Clock const&, RequestFailureDetectorOptions, std::function<void(Core::UpstreamId)> failing);

    /// This balancer saw a request fail on the upstream.
    void noteFailure(Core::UpstreamId);
    /// Another balancer did.
    void notePeerReport(Core::UpstreamId, Core::VmId reporter);
    bool isFailing(Core::UpstreamId) const;
    bool isEmpty() const { return m_failures.empty(); }
    std::size_t failingCount() const;
    /// Forgets what no longer counts.
    void removeExpired();

private:
    struct Failure {
        Core::VmId reporter;
        Core::TimePoint time;
    };

    using Failures = std::vector<Failure>;

    void add(Core::UpstreamId, Core::VmId reporter);
    bool isThresholdReached(Failures const&) const;

    Core::Clock const& m_clock;
    RequestFailureDetectorOptions m_options;
    std::function<void(Core::UpstreamId)> m_onFailing;
    absl::flat_hash_map<Core::UpstreamId, Failures> m_failures;
};

}
