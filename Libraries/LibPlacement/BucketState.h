#pragma once

#include <LibCore/Core.h>
#include <LibPlacement/UpstreamIndexMap.h>

#include <cstdint>
#include <optional>

namespace Chicorytally::Placement {

/// Whether the owner may place new flows of a bucket on another upstream than the baseline.
enum class OffBaselinePermission : std::uint8_t {
    /// Some member hasn't acknowledged yet that the bucket is tracked.
    Waiting,
    Allowed,
    /// A member is out of reach and the service's partition policy is to refuse.
    Refused,
};

/// Orders the states of one bucket; the low 16 bits come from the VM id of the owner that made the state, so that two
/// owners on the sides of a partition never make the same epoch.
using Epoch = std::uint64_t;

inline Epoch nextEpoch(Epoch epoch, Core::VmId self) { return (((epoch >> 16) + 1) << 16) | (self.value() & 0xffff); }

/// State of one bucket as this balancer knows it. Guarded by the lock of its group.
struct BucketState {
    UpstreamIndex baseline { NoUpstreamIndex };
    /// From this balancer's own configuration.
    UpstreamIndex target { NoUpstreamIndex };
    Epoch epoch { 0 };
    /// This balancer has the state from the bucket's owner, or is the owner.
    bool isKnown { false };
    bool isTracked { false };
    /// The owner places no new flows on the baseline.
    bool isBaselineClosed { false };
    OffBaselinePermission permission { OffBaselinePermission::Waiting };
    Core::TimePoint trackedAt;
    Core::TimePoint closedAt;
    /// Since when all members send the bucket's packets to the owner.
    std::optional<Core::TimePoint> acknowledgedAt;

    /// A state that the backup must have acknowledged before it is in force.
    struct Proposal {
        Epoch epoch;
        UpstreamIndex baseline;
        bool isTracked;
    };
    std::optional<Proposal> proposal;

    /// Every balancer may send packets without a record to the baseline.
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
