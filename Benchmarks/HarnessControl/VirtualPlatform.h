#pragma once

#include <LibDistribution/Distribution.h>

#include <functional>
#include <optional>

namespace Chicorytally::Benchmarks {

/// The configuration service as the fleet's readers see it, in virtual time.
struct VirtualPlatform {
    struct Copy {
        Core::Revision revision;
        Distribution::FileSet files;
    };

    /// The newest copy.
    Copy newest;
    /// What a reader gets instead of the newest copy, to play replicas that lag; nothing means the newest.
    std::function<Copy const*(std::size_t node)> replica;
    /// Whether the node reaches the platform.
    std::function<bool(std::size_t node)> isReachable = [](std::size_t) { return true; };
    std::chrono::milliseconds answerTime { 5 };
    /// How long a watch waits for a change.
    std::chrono::milliseconds watchTime { 3000 };
    /// Reads so far; a waiting watch is one.
    std::uint64_t reads { 0 };
    /// Reads in the second that had most, and in the present one.
    std::uint64_t busiestSecond { 0 };

    void countRead(Core::TimePoint now);
    Copy const& copyFor(std::size_t node) const;

private:
    Core::TimePoint m_second;
    std::uint64_t m_readsInSecond { 0 };
};

}
