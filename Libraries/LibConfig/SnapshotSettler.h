#pragma once

#include <LibCore/Core.h>

#include <optional>

namespace Chicorytally::Config {

/// Holds a changed folder back until it was read twice with the same content, a quiet time apart. Otherwise a change of
/// several files could be taken over half written. Not thread-safe.
class SnapshotSettler {
public:
    explicit SnapshotSettler(std::chrono::milliseconds quietTime)
        : m_quietTime(quietTime)
    {
    }

    /// A snapshot was read. True when it is settled and was not settled before.
    bool offer(Core::Hash128 digest, Core::Revision, Core::TimePoint now);
    /// When to read again to see whether the last snapshot has settled; nothing when it has.
    std::optional<Core::TimePoint> nextRead() const;

private:
    struct Snapshot {
        Core::Hash128 digest;
        Core::Revision revision;

        friend bool operator==(Snapshot const&, Snapshot const&) = default;
    };

    std::chrono::milliseconds m_quietTime;
    std::optional<Snapshot> m_settled;
    std::optional<Snapshot> m_candidate;
    Core::TimePoint m_candidateSince {};
};

}
