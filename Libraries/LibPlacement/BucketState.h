#pragma once

#include <LibCore/Core.h>
#include <LibPlacement/UpstreamIndexMap.h>

#include <cstdint>
#include <optional>

namespace Chicorytally::Placement {

/// Whether the owner may place new flows of a bucket on an upstream other than the baseline.
enum class OffBaselinePermission : std::uint8_t {
    /// A member has not yet acknowledged that the bucket is tracked.
    Waiting,
    Allowed,
    /// A member is unreachable and the service's partition policy is to refuse.
    Refused,
};

/// Orders the states of one bucket. The low 16 bits come from the VM id of the owner that created the state, so that
/// owners on two sides of a partition never create the same epoch.
using Epoch = std::uint64_t;

inline Epoch nextEpoch(Epoch epoch, Core::VmId self) { return (((epoch >> 16) + 1) << 16) | (self.value() & 0xffff); }

/// State of one bucket as known to this balancer. Guarded by the lock of its group.
struct BucketState {
    UpstreamIndex baseline { NoUpstreamIndex };
    /// From this balancer's own configuration.
    UpstreamIndex target { NoUpstreamIndex };
    Epoch epoch { 0 };
    /// The state was received from the bucket's owner, or this balancer is the owner.
    bool isKnown { false };
    bool isTracked { false };
    /// The owner places no new flows on the baseline.
    bool isBaselineClosed { false };
    OffBaselinePermission permission { OffBaselinePermission::Waiting };
    Core::TimePoint trackedAt;
    Core::TimePoint closedAt;
    /// When all members had acknowledged that the bucket is tracked; since then they send its packets to the owner.
    std::optional<Core::TimePoint> acknowledgedAt;

    /// A state that takes effect once the backup has acknowledged it.
    struct Proposal {
        Epoch epoch;
        UpstreamIndex baseline;
        bool isTracked;
    };
    std::optional<Proposal> proposal;

    /// Every balancer may forward packets without a record to the baseline.
    bool isSteady() const { return isKnown && !isTracked && baseline == target && baseline != NoUpstreamIndex; }

    void track(Epoch newEpoch, Core::TimePoint now)
    {
        isTracked = true;
        epoch = newEpoch;
        trackedAt = now;
        acknowledgedAt.reset();
        permission = OffBaselinePermission::Waiting;
        proposal.reset();
    }

    void setBaselineClosed(bool isClosed, Core::TimePoint now)
    {
        if (isClosed && !isBaselineClosed)
            closedAt = now;
        isBaselineClosed = isClosed;
    }
};

}
