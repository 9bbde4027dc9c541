#include <LibDistribution/ReaderRole.h>

#include <algorithm>
#include <bit>

namespace Chicorytally::Distribution {

static constexpr std::size_t ReadersPerZone = 2;
static constexpr std::chrono::milliseconds FirstBackoff { 500 };
/// A read without an end counts as failed after this time.
static constexpr std::chrono::seconds ReadTimeout { 10 };
/// Time until the next readers take their turn: longer than a watch waits, and for each doubling of the zone one more
/// round of the messages that spread the time of the last answer.
static constexpr std::chrono::milliseconds LeastTurn { 5000 };
static constexpr std::chrono::milliseconds TurnPerDoubling { 1000 };

ReaderRole::ReaderRole(Options const& options, Core::TimePoint now, std::mt19937_64& random)
    : m_options(options)
    , m_random(random)
    , m_answeredAt(now)
    // Processes that start together read at different times, and after they have had time to find their peers.
    , m_nextRead(now + jittered(options.peerTimeout))
{
}

std::chrono::milliseconds ReaderRole::jittered(std::chrono::milliseconds time)
{
    auto half = time / 2;
    return half + std::chrono::milliseconds { m_random() % static_cast<std::uint64_t>(half.count() + 1) };
}

void ReaderRole::applyZone(std::vector<Core::VmId> const& members)
{
    auto score = [this](Core::VmId vm) { return Core::hashPair(m_options.zone.value(), vm.value()); };
    auto own = score(m_options.self);
    m_rank = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](Core::VmId vm) { return score(vm) > own; }));
    m_zoneSize = std::max<std::size_t>(members.size(), 1);
}

void ReaderRole::noteAnswer(Core::TimePoint time) { m_answeredAt = std::max(m_answeredAt, time); }

std::chrono::milliseconds ReaderRole::turn() const
{
    return LeastTurn + TurnPerDoubling * (std::bit_width(m_zoneSize) - 1);
}

bool ReaderRole::isReader(Core::TimePoint now) const
{
    auto turns = static_cast<std::size_t>((now - m_answeredAt) / turn());
    auto groups = (m_zoneSize + ReadersPerZone - 1) / ReadersPerZone;
    return m_rank / ReadersPerZone == turns % groups;
}

bool ReaderRole::shouldRead(Core::TimePoint now)
{
    if (m_readStartedAt && now - *m_readStartedAt >= ReadTimeout)
        failed(now);
    if (m_readStartedAt || now < m_nextRead || !isReader(now))
        return false;
    m_readStartedAt = now;
    return true;
}

void ReaderRole::succeeded(Core::TimePoint now)
{
    noteAnswer(now);
    m_backoff = {};
    if (m_readStartedAt)
        m_nextRead = std::max(now, *m_readStartedAt + m_options.minimumReadInterval);
    m_readStartedAt = std::nullopt;
}

void ReaderRole::failed(Core::TimePoint now)
{
    m_readStartedAt = std::nullopt;
    m_backoff = std::clamp(2 * m_backoff, FirstBackoff, m_options.maximumBackoff);
    m_nextRead = now + jittered(m_backoff);
}

}
