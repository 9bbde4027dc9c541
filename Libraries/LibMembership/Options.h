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
    /// Address on which this process receives peer messages.
    Core::Endpoint endpoint;
    /// Port at the same address that receives peer hops; 0 if there is none.
    std::uint16_t dataPort { 0 };
    /// Must be greater than that of any earlier process on the VM, for example the start time in milliseconds.
    Core::Incarnation incarnation;
    std::vector<Core::Endpoint> seeds;
    /// Seed of the random number generator.
    std::uint64_t randomSeed { 0 };

    std::chrono::milliseconds probeInterval { 500 };
    /// Time without an ack after which other members are asked to probe the target.
    std::chrono::milliseconds acknowledgementTimeout { 200 };
    /// Lower bound of the suspicion timeout, which grows with the logarithm of the number of members.
    std::chrono::milliseconds minimumSuspicionTimeout { 2000 };
    /// Time for which a dead member is kept, so that a delayed message can't add it again.
    std::chrono::minutes deadRetention { 60 };
    /// Retention of an unreachable member, which may still serve on the other side of a partition.
    std::chrono::minutes unreachableRetention { 24 * 60 };
    /// Time for which a VM that was listed by the platform must be missing from the list before its death is confirmed;
    /// a replica of the platform may return an older list for a while.
    std::chrono::seconds unlistedConfirmationTime { 10 };
    /// A longer interval between two ticks means that the process was paused.
    std::chrono::milliseconds pauseLimit { 2000 };
};

struct Hooks {
    /// The result of members() changed. Called without a lock held, by the thread that called tick().
    std::function<void()> membersChanged;
    /// This process adopted a greater incarnation, because it was declared dead or an earlier process on the VM had a
    /// greater one. Envelopes must carry the new incarnation from now on.
    std::function<void(Core::Incarnation)> incarnationChanged;
};

}
