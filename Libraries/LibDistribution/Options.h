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
    /// Seed of the random number generator for peer selection and jitter.
    std::uint64_t randomSeed { 0 };

    /// Rate limit for fetching deltas once this process has a configuration.
    std::uint32_t deltaBytesPerSecond { 5000 };
    /// Rate limit for fetching the first configuration, over all peers together.
    std::uint32_t bootstrapBytesPerSecond { 100'000 };
    /// Rate limit for serving deltas and copies, over all receivers together.
    std::uint32_t serveBytesPerSecond { 50'000 };
    /// How long a process without a configuration waits for answers of its peers before it accepts the platform's copy.
    /// 0 for a process without peers.
    std::chrono::milliseconds peerTimeout { 3000 };
    /// Upper bound of the delay before a failed read of the platform is retried.
    std::chrono::milliseconds maximumBackoff { 4000 };
    /// Minimum time between the starts of two reads of the platform.
    std::chrono::milliseconds minimumReadInterval { 1000 };
};

struct Hooks {
    /// Validates and applies a complete file set. Returns false with a reason to refuse the whole set; the last
    /// accepted one then stays in force. Called in increasing order of revisions. It may use the accessors of the
    /// controller, but must not call offerPlatformCopy(), receive() or tick().
    std::function<bool(Core::Revision, FileSet const&, std::string& reason)> accept;
};

/// A member that takes part in the distribution of the configuration.
struct Peer {
    Core::VmId vm;
    Core::ZoneId zone;
    /// Neither suspect nor leaving. Only alive members are selected as readers of the platform.
    bool isAlive { true };

    friend bool operator==(Peer const&, Peer const&) = default;
};

/// Event counts since the start of the process.
struct Counters {
    std::uint64_t accepted { 0 };
    /// File sets that the accept hook refused, or that are too large.
    std::uint64_t refused { 0 };
    /// Copies from the platform that were older than the revision in force.
    std::uint64_t olderCopiesIgnored { 0 };
    /// Copies or digests with the revision in force but different content.
    std::uint64_t conflictingCopies { 0 };
    /// Deltas that did not apply to the files in force. A full copy is fetched after each of them.
    std::uint64_t mismatchedDeltas { 0 };
    std::uint64_t platformReads { 0 };
    std::uint64_t platformFailures { 0 };
};

}
