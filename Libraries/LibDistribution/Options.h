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

    /// Pace of copies and deltas that this process asks for when it has a configuration.
    std::uint32_t bytesPerSecond { 5000 };
    /// Pace of the copy that a process without a configuration asks for, over all peers together.
    std::uint32_t newcomerBytesPerSecond { 100'000 };
    /// How long a process without a configuration waits for its peers before it trusts the platform's copy.
    std::chrono::milliseconds peerWait { 3000 };
    /// Longest delay between two failed reads of the platform.
    std::chrono::milliseconds maximumBackoff { 4000 };
};

struct Hooks {
    /// Validates and applies a complete file set. False refuses it as a whole, with the reason; the last good one stays
    /// in force. Called without a lock held, in increasing order of the revisions.
    std::function<bool(Core::Revision, FileSet const&, std::string& reason)> accept;
};

/// A member that takes part in the distribution.
struct Peer {
    Core::VmId vm;
    Core::ZoneId zone;
    /// Neither suspect nor leaving; only such a member is chosen as a reader.
    bool isAlive { true };
};

/// Events since the start of the process.
struct Counters {
    std::uint64_t accepted { 0 };
    /// File sets that the accept hook refused.
    std::uint64_t refused { 0 };
    /// Copies of the platform that were older than the revision in force.
    std::uint64_t ignoredOlder { 0 };
    /// Copies with the revision in force but other content.
    std::uint64_t conflicting { 0 };
    /// Deltas that did not fit the files in force.
    std::uint64_t gaps { 0 };
    std::uint64_t platformFailures { 0 };
};

}
