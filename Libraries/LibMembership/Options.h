#pragma once

#include <LibCore/Core.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace Chicorytally::Membership {

struct Options {
    Core::VmId self;
    Core::ZoneId zone;
    /// Where this process receives peer messages.
    Core::Endpoint endpoint;
    /// Port at the same address that receives peer hops; 0 when there is none.
    std::uint16_t dataPort { 0 };
    /// Greater than that of any earlier process on the VM, for example the start time in milliseconds.
    Core::Incarnation incarnation;
    std::vector<Core::Endpoint> seeds;
    /// Seed of the random choices.
    std::uint64_t randomSeed { 0 };

    std::chrono::milliseconds probeInterval { 500 };
    /// Time for a direct answer before other members are asked to probe.
    std::chrono::milliseconds acknowledgementTimeout { 200 };
    /// Least time that a suspect has to refute; it grows with the logarithm of the number of members.
    std::chrono::milliseconds minimumSuspicionTimeout { 2000 };
    /// How long a dead member is remembered, so that a late message can't bring it back.
    std::chrono::minutes deadRetention { 60 };
    /// The same for an unreachable member, which may still serve on the other side of a partition.
    std::chrono::minutes unreachableRetention { 24 * 60 };
    /// How long the platform's list must lack a VM that it once held before the VM counts as gone; a replica of the
    /// platform may return an older list for a while.
    std::chrono::seconds unlistedConfirmationTime { 10 };
    /// A longer time between two ticks means that the process was paused.
    std::chrono::milliseconds pauseLimit { 2000 };
};

struct Hooks {
    /// The result of members() changed. Called without a lock held, by the thread that called into the controller.
    std::function<void()> membersChanged;
    /// This process was declared dead and took a greater incarnation; envelopes must carry it from now on.
    std::function<void(Core::Incarnation)> incarnationChanged;
};

}
