#pragma once

#include <LibDistribution/Options.h>

#include <optional>
#include <random>
#include <vector>

namespace Chicorytally::Distribution {

/// Whether and when this process reads the platform. The readers of an availability zone are its first two live members
/// by rendezvous hash. When nothing was heard of the platform for a while, the next two take their turn, so that
/// readers that can't reach the platform are replaced, and a platform that is down sees no more than two readers per
/// zone. Not thread-safe.
class ReaderRole {
public:
    ReaderRole(Options const&, Core::TimePoint now, std::mt19937_64&);

    /// The live members of the zone, this process included when it is alive.
    void applyZone(std::vector<Core::VmId> const& members);
    /// A reader of the zone, maybe this one, had an answer of the platform at that time.
    void noteAnswer(Core::TimePoint);
    Core::TimePoint answeredAt() const { return m_answeredAt; }

    bool isReader(Core::TimePoint now) const;
    /// True starts a read.
    bool shouldRead(Core::TimePoint now);
    void succeeded(Core::TimePoint now);
    void failed(Core::TimePoint now);

private:
    std::chrono::milliseconds turn() const;
    std::chrono::milliseconds jittered(std::chrono::milliseconds);

    Options const& m_options;
    std::mt19937_64& m_random;
    std::size_t m_rank { 0 };
    std::size_t m_zoneSize { 1 };
    Core::TimePoint m_answeredAt;
    Core::TimePoint m_nextRead;
    std::optional<Core::TimePoint> m_readStartedAt;
    std::chrono::milliseconds m_backoff { 0 };
};

}
