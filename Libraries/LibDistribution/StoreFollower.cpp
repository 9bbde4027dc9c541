#include <LibDistribution/StoreFollower.h>

#include <algorithm>
#include <utility>

namespace Chicorytally::Distribution {

using std::chrono::milliseconds;

std::string_view toString(StoreFailure failure)
{
    switch (failure) {
    case StoreFailure::Unreachable:
        return "unreachable";
    case StoreFailure::Refused:
        return "refused";
    case StoreFailure::HistoryLost:
        return "history_lost";
    case StoreFailure::Malformed:
        return "malformed";
    case StoreFailure::Stale:
        return "stale";
    }
    return "unknown";
}

StoreFollower::StoreFollower(
    Core::Clock const& clock, FollowerOptions options, ItemReplica& replica, FollowerHooks hooks)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_replica(replica)
    , m_hooks(std::move(hooks))
    , m_random(m_options.randomSeed)
    , m_storeIndex(m_options.preferredPeers.size())
    , m_startedAt(clock.now())
    , m_nextAt(clock.now())
{
    for (auto const& peer : m_options.preferredPeers)
        m_sources.push_back({ .peer = peer });
    m_sources.push_back({});
    for (auto const& peer : m_options.fallbackPeers)
        m_sources.push_back({ .peer = peer });
}

StoreFollower::Source& StoreFollower::chooseSource()
{
    auto isUsable = [this](Source const& source) { return source.blockedUntil <= m_clock.now(); };
    // A listing takes one call, and peers that started at the same time have nothing to give. After a peer failed, the
    // next one may be lost with it, and the view has aged for a whole watch already.
    bool isStoreFirst = m_isListing || m_hasPeerFailed;
    if (isStoreFirst && isUsable(m_sources[m_storeIndex]))
        return m_sources[m_storeIndex];
    auto usable = std::ranges::find_if(m_sources, isUsable);
    if (usable != m_sources.end())
        return *usable;
    return *std::ranges::min_element(m_sources, {}, &Source::blockedUntil);
}

std::optional<StoreRequest> StoreFollower::nextRequest()
{
    if (m_asked || m_clock.now() < m_nextAt)
        return std::nullopt;
    auto& source = chooseSource();
    if (source.blockedUntil > m_clock.now()) {
        m_nextAt = source.blockedUntil;
        return std::nullopt;
    }
    m_asked = &source;
    m_startedAt = m_clock.now();
    m_isPageAsked = m_isListing && !source.peer;
    if (m_isPageAsked)
        return StoreRequest { std::nullopt, ListRequest { m_listed.empty() ? std::string {} : m_listed.back().key } };
    // A peer that is asked for changes since the beginning gives a listing, at once.
    auto after = m_isListing ? Core::Revision {} : m_replica.completeUpTo();
    // A source that failed answers at once or is left again, before the view ages.
    auto wait = source.failures == 0 ? m_options.watchWait : milliseconds { 0 };
    return StoreRequest { source.peer, WatchRequest { after, wait } };
}

std::optional<milliseconds> StoreFollower::nextRequestDelay() const
{
    if (m_asked)
        return std::nullopt;
    return std::max(milliseconds { 0 }, std::chrono::ceil<milliseconds>(m_nextAt - m_clock.now()));
}

void StoreFollower::handleAnswer(StoreAnswer const& answer)
{
    auto& source = *std::exchange(m_asked, nullptr);
    if (m_isPageAsked) {
        applyPage(answer);
    } else {
        applyChanges(answer);
        if (answer.age > m_options.maximumPeerAge) {
            noteFailure(source, StoreFailure::Stale);
            return;
        }
    }
    m_hasPeerFailed = false;
    if (std::exchange(source.failures, 0) != 0 && m_hooks.sourceRegained)
        m_hooks.sourceRegained(source.peer);
}

void StoreFollower::applyPage(StoreAnswer const& answer)
{
    if (m_listed.empty())
        m_listedAsOf = answer.asOf;
    m_listed.insert(m_listed.end(), answer.items.begin(), answer.items.end());
    m_nextAt = m_clock.now();
    if (answer.hasMore && !answer.items.empty())
        return;
    m_isListing = false;
    m_replica.applyListing(std::exchange(m_listed, {}), m_listedAsOf);
    m_equalAt = m_startedAt;
}

void StoreFollower::applyChanges(StoreAnswer const& answer)
{
    if (answer.isListing) {
        m_replica.applyListing(answer.items, answer.asOf);
    } else {
        for (auto const& item : answer.items)
            m_replica.apply(item);
        m_replica.markCompleteUpTo(answer.asOf);
    }
    m_isListing = m_isListing && !answer.isListing;
    m_equalAt = std::max(m_equalAt.value_or(Core::TimePoint {}), m_clock.now() - answer.age);
    m_nextAt = std::max(m_clock.now(), m_startedAt + m_options.watchInterval);
}

void StoreFollower::handleFailure(StoreFailure failure)
{
    auto& source = *std::exchange(m_asked, nullptr);
    // Pages of different times don't fit together.
    m_listed.clear();
    if (failure == StoreFailure::HistoryLost) {
        m_isListing = true;
        m_nextAt = m_clock.now();
        return;
    }
    noteFailure(source, failure);
}

void StoreFollower::noteFailure(Source& source, StoreFailure failure)
{
    m_hasPeerFailed = source.peer.has_value();
    if (source.failures++ == 0 && m_hooks.sourceLost)
        m_hooks.sourceLost(source.peer, failure);
    source.blockedUntil = m_clock.now() + backoffOf(source);
    m_nextAt = m_clock.now();
}

milliseconds StoreFollower::backoffOf(Source const& source)
{
    static constexpr unsigned MaxDoublings = 10;
    auto first = source.peer ? m_options.initialPeerBackoff : m_options.initialStoreBackoff;
    auto maximum = source.peer ? m_options.maximumPeerBackoff : m_options.maximumStoreBackoff;
    auto backoff = std::min(first * (1U << std::min(source.failures - 1, MaxDoublings)), maximum);
    std::uniform_real_distribution<double> jitter { 0.5, 1.0 };
    return std::chrono::duration_cast<milliseconds>(backoff * jitter(m_random));
}

std::optional<milliseconds> StoreFollower::age() const
{
    if (!m_equalAt)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(m_clock.now() - *m_equalAt);
}

bool StoreFollower::isFresh() const
{
    auto known = age();
    return known && *known <= m_options.watchWait + m_options.maximumPeerAge;
}

}
