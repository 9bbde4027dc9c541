#pragma once

#include <LibDistribution/Options.h>

#include <optional>
#include <random>
#include <vector>

namespace Chicorytally::Distribution {

/// Decides whether and when this process reads the platform. The two live members of an availability zone with the
/// greatest rendezvous hashes are its readers. If no reader gets an answer from the platform for one rotation interval,
/// the next two members take over. This replaces readers that can't reach the platform, and limits the load on a failed
/// platform to two readers per zone. Not thread-safe.
class PlatformReadScheduler {
public:
    PlatformReadScheduler(Options const&, Core::TimePoint now, std::mt19937_64&);

    /// Sets the live members of the zone, including this process if it is alive.
    void setZoneMembers(std::vector<Core::VmId> const& members);
    /// Records that a reader of the zone, possibly this process, got an answer from the platform at the given time.
    void recordAnswer(Core::TimePoint);
    Core::TimePoint lastAnswerAt() const { return m_lastAnswerAt; }

    bool isReader(Core::TimePoint now) const;
    /// Returns true if a read is due, and records its start.
    bool tryStartRead(Core::TimePoint now);
    void readSucceeded(Core::TimePoint now);
    void readFailed(Core::TimePoint now);

private:
    std::chrono::milliseconds rotationInterval() const;
    std::chrono::milliseconds jittered(std::chrono::milliseconds);

    Options const& m_options;
    std::mt19937_64& m_random;
    std::size_t m_rank { 0 };
    std::size_t m_zoneSize { 1 };
    Core::TimePoint m_lastAnswerAt;
    Core::TimePoint m_nextReadAt;
    std::optional<Core::TimePoint> m_readStartedAt;
    std::chrono::milliseconds m_backoff { 0 };
};

}
