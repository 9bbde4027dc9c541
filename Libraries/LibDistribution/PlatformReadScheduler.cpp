#include <LibDistribution/PlatformReadScheduler.h>

#include <algorithm>
#include <bit>

namespace Chicorytally::Distribution {

static constexpr std::size_t ReadersPerZone = 2;
static constexpr std::chrono::milliseconds InitialBackoff { 500 };
/// A read that has not completed after this time counts as failed.
static constexpr std::chrono::seconds ReadTimeout { 10 };
/// The rotation interval is longer than a watch waits, and grows by one round of the messages that spread the time of
/// the last answer for each doubling of the zone size.
static constexpr std::chrono::milliseconds MinimumRotationInterval { 5000 };
static constexpr std::chrono::milliseconds RotationIntervalPerDoubling { 1000 };

PlatformReadScheduler::PlatformReadScheduler(Options const& options, Core::TimePoint now, std::mt19937_64& random)
    : m_options(options)
    , m_random(random)
    , m_lastAnswerAt(now)
    // The jitter spreads the reads of processes that start together. The delay gives them time to find their peers
    // first.
    , m_nextReadAt(now + jittered(options.peerTimeout))
{
}

std::chrono::milliseconds PlatformReadScheduler::jittered(std::chrono::milliseconds time)
{
    auto half = time / 2;
    return half + std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(half.count() + 1) };
}

void PlatformReadScheduler::setZoneMembers(std::vector<Core::VmId> const& members)
{
    auto score = [this](Core::VmId vm) { return Core::hashPair(m_options.zone.value(), vm.value()); };
    auto ownScore = score(m_options.self);
    m_rank = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](Core::VmId vm) { return score(vm) > ownScore; }));
    m_zoneSize = std::max<std::size_t>(members.size(), 1);
}

void PlatformReadScheduler::recordAnswer(Core::TimePoint time) { m_lastAnswerAt = std::max(m_lastAnswerAt, time); }

std::chrono::milliseconds PlatformReadScheduler::rotationInterval() const
{
    return MinimumRotationInterval + RotationIntervalPerDoubling * (std::bit_width(m_zoneSize) - 1);
}

bool PlatformReadScheduler::isReader(Core::TimePoint now) const
{
    auto rotations = static_cast<std::size_t>((now - m_lastAnswerAt) / rotationInterval());
    auto readerGroups = (m_zoneSize + ReadersPerZone - 1) / ReadersPerZone;
    return m_rank / ReadersPerZone == rotations % readerGroups;
}

bool PlatformReadScheduler::tryStartRead(Core::TimePoint now)
{
    if (m_readStartedAt && now - *m_readStartedAt >= ReadTimeout)
        readFailed(now);
    if (m_readStartedAt || now < m_nextReadAt || !isReader(now))
        return false;
    m_readStartedAt = now;
    return true;
}

void PlatformReadScheduler::readSucceeded(Core::TimePoint now)
{
    recordAnswer(now);
    m_backoff = {};
    if (m_readStartedAt)
        m_nextReadAt = std::max(now, *m_readStartedAt + m_options.minimumReadInterval);
    m_readStartedAt = std::nullopt;
}

void PlatformReadScheduler::readFailed(Core::TimePoint now)
{
    m_readStartedAt = std::nullopt;
    m_backoff = std::clamp(2 * m_backoff, InitialBackoff, m_options.maximumBackoff);
    m_nextReadAt = now + jittered(m_backoff);
}

}
