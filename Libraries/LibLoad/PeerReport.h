#pragma once

#include <LibCore/Core.h>

#include <cstddef>
#include <cstdint>

namespace Chicorytally::Load {

/// What a balancer observed about an upstream and reports to the others.
enum class ReportKind : std::uint8_t {
    /// Neither traffic nor a probe got an answer. The receiver verifies this with its own probe.
    Unanswered = 1,
    /// The upstream answers probes, but requests fail or get no response.
    Failing = 2,
    /// The upstream refused connections and accepts them again, so it may have restarted and be cold.
    Returned = 3,
};

struct PeerReport {
    Core::UpstreamId upstream;
    ReportKind kind { ReportKind::Unanswered };
    Core::VmId reporter;

    friend bool operator==(PeerReport const&, PeerReport const&) = default;
};

/// Number of balancers that must report before another one acts. A single Unanswered report is verified by a probe, and
/// the influence of Returned reports is bounded. Failures can't be verified, and a balancer behind a faulty link sees
/// them on every upstream.
constexpr std::size_t requiredReporters(ReportKind kind) { return kind == ReportKind::Failing ? 2 : 1; }

}
