#pragma once

#include <LibCore/Core.h>
#include <LibDistribution/FileSet.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace Chicorytally::Distribution {

struct Options {
    Core::VmId self;
    Core::ZoneId zone;
    /// Seed of the random choices.
    std::uint64_t randomSeed { 0 };

    /// Pace of deltas that this process fetches when it has a configuration.
    std::uint32_t deltaBytesPerSecond { 5000 };
    /// Pace of the copy that a process without a configuration fetches, over all peers together.
    std::uint32_t bootstrapBytesPerSecond { 100'000 };
    /// Pace at which this process serves deltas and copies, over all receivers together.
    std::uint32_t serveBytesPerSecond { 50'000 };
    /// How long a process without a configuration waits for its peers before it trusts the platform's copy. 0 for a
    /// process that has no peers.
    std::chrono::milliseconds peerTimeout { 3000 };
    /// Longest delay between two failed reads of the platform.
    std::chrono::milliseconds maximumBackoff { 4000 };
    /// Shortest time between the starts of two reads of the platform.
    std::chrono::milliseconds minimumReadInterval { 1000 };
};

struct Hooks {
    /// Validates and applies a complete file set. False refuses it as a whole, with the reason; the last good one stays
    /// in force. Called in increasing order of the revisions. It may use the accessors of the controller, but must not
    /// call offerPlatformCopy(), receive() or tick().
    std::function<bool(Core::Revision, FileSet const&, std::string& reason)> accept;
};

/// A member that takes part in the distribution.
struct Peer {
    Core::VmId vm;
    Core::ZoneId zone;
    /// Neither suspect nor leaving; only such a member is chosen as a reader.
    bool isAlive { true };

    friend bool operator==(Peer const&, Peer const&) = default;
};

/// Events since the start of the process.
struct Counters {
    std::uint64_t accepted { 0 };
    /// File sets that the accept hook refused, or that are too large.
    std::uint64_t refused { 0 };
    /// Copies of the platform that were older than the revision in force.
    std::uint64_t olderCopiesIgnored { 0 };
    /// Copies or digests with the revision in force but other content.
    std::uint64_t conflictingCopies { 0 };
    /// Deltas that did not fit the files in force; a full copy is fetched then.
    std::uint64_t mismatchedDeltas { 0 };
    std::uint64_t platformReads { 0 };
    std::uint64_t platformFailures { 0 };
};

}
