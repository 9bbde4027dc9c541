#pragma once

#include <LibCore/Core.h>

#include <cstddef>
#include <cstdint>

namespace Chicorytally::Load {

/// What a balancer found out about an upstream and tells the others.
enum class ReportKind : std::uint8_t {
    /// Neither traffic nor a probe got an answer. The receiver probes for itself.
    Unanswered = 1,
    /// It answers probes, but requests get failures or nothing at all.
    Failing = 2,
};

struct PeerReport {
    Core::UpstreamId upstream;
    ReportKind kind { ReportKind::Unanswered };
    Core::VmId reporter;

    friend bool operator==(PeerReport const&, PeerReport const&) = default;
};

/// How many balancers must say so before another one acts. A probe checks what a single one says; failures can't be
/// checked, and a balancer behind a bad link sees them everywhere.
constexpr std::size_t requiredReporters(ReportKind kind) { return kind == ReportKind::Unanswered ? 1 : 2; }

}
