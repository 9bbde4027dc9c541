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
    /// The local VM, to tell its own failures from those of peers.
    Core::VmId self;
    /// Failures count for this long. A recovered upstream gets flows again afterwards.
    std::chrono::milliseconds window { 3000 };
    /// Number of failures seen by this balancer alone that make an upstream failing.
    std::size_t ownFailureThreshold { 3 };
};

/// Detects upstreams that answer probes but fail requests or leave them unanswered, from the traffic of this balancer
/// and the reports of others. New flows avoid them. Existing flows stay, as the detection isn't certain. Not
/// thread-safe.
class RequestFailureDetector {
public:
    /// `failing` is called with each upstream that starts to count as failing.
    RequestFailureDetector(
        Core::Clock const&, RequestFailureDetectorOptions, std::function<void(Core::UpstreamId)> failing);

    /// Records that this balancer saw a request fail on the upstream.
    void noteFailure(Core::UpstreamId);
    /// Records that another balancer reported the upstream as failing.
    void notePeerReport(Core::UpstreamId, Core::VmId reporter);
    bool isFailing(Core::UpstreamId) const;
    bool isEmpty() const { return m_failures.empty(); }
    std::size_t failingCount() const;
    /// Removes upstreams whose failures are all older than the window.
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
