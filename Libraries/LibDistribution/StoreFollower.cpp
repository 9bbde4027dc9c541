#include <LibDistribution/StoreFollower.h>

#include <algorithm>
#include <utility>

namespace Chicorytally::Distribution {

using std::chrono::duration_cast;
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
    }
    return "unknown";
}

StoreFollower::StoreFollower(
    Core::Clock const& clock, FollowerOptions options, ItemReplica& replica, FollowerHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_replica(replica)
    , m_hooks(std::move(hooks))
    , m_random(options.randomSeed)
    , m_nextAt(clock.now())
    , m_startedAt(clock.now())
{
}

std::optional<StoreRequest> StoreFollower::nextRequest()
{
    if (m_underWay || m_isPaused || m_clock.now() < m_nextAt)
        return std::nullopt;
    m_startedAt = m_clock.now();
    if (m_isListing)
        m_underWay = ListRequest { m_listed.empty() ? std::string {} : m_listed.back().key };
    else
        m_underWay = WatchRequest { m_watchedUpTo, m_options.watchWait };
    return m_underWay;
}

std::optional<milliseconds> StoreFollower::delay() const
{
    if (m_underWay || m_isPaused)
        return std::nullopt;
    return std::max(milliseconds { 0 }, std::chrono::ceil<milliseconds>(m_nextAt - m_clock.now()));
}

void StoreFollower::answered(StoreAnswer const& answer)
{
    bool isPage = m_underWay && std::holds_alternative<ListRequest>(*m_underWay);
    m_underWay.reset();
    noteAnswer();
    if (isPage)
        pageAnswered(answer);
    else
        watchAnswered(answer);
}

void StoreFollower::pageAnswered(StoreAnswer const& answer)
{
    if (m_listed.empty())
        m_listedAsOf = answer.asOf;
    m_listed.insert(m_listed.end(), answer.items.begin(), answer.items.end());
    m_nextAt = m_clock.now();
    if (answer.hasMore && !answer.items.empty())
        return;
    auto listed = std::exchange(m_listed, {});
    m_isListing = false;
    m_watchedUpTo = m_listedAsOf;
    m_replica.applyListing(listed, m_listedAsOf);
}

void StoreFollower::watchAnswered(StoreAnswer const& answer)
{
    for (auto const& item : answer.items)
        m_replica.apply(item);
    m_watchedUpTo = std::max(m_watchedUpTo, answer.asOf);
    m_replica.noteComplete(m_watchedUpTo);
    m_nextAt = std::max(m_clock.now(), m_startedAt + m_options.watchInterval);
}

void StoreFollower::noteAnswer()
{
    auto away = age();
    m_answeredAt = m_clock.now();
    if (std::exchange(m_failures, 0) != 0 && m_hooks.regained)
        m_hooks.regained(away.value_or(milliseconds { 0 }));
}

void StoreFollower::failed(StoreFailure failure)
{
    m_underWay.reset();
    if (failure == StoreFailure::HistoryLost) {
        noteAnswer();
        m_isListing = true;
        m_listed.clear();
        m_nextAt = m_clock.now();
        return;
    }
    // The pages read so far may be from a store that others can no longer reach.
    m_listed.clear();
    if (m_failures++ == 0 && m_hooks.lost)
        m_hooks.lost();
    auto backoff = m_options.firstBackoff * (1U << std::min(m_failures - 1, 10U));
    backoff = std::min(backoff, m_options.maximumBackoff);
    std::uniform_real_distribution<double> jitter { 0.5, 1.0 };
    m_nextAt = m_clock.now() + duration_cast<milliseconds>(backoff * jitter(m_random));
}

void StoreFollower::resume()
{
    m_isPaused = false;
    if (m_replica.completeUpTo().isValid()) {
        m_isListing = false;
        m_listed.clear();
        m_watchedUpTo = std::max(m_watchedUpTo, m_replica.completeUpTo());
    }
}

std::optional<milliseconds> StoreFollower::age() const
{
    if (!m_answeredAt)
        return std::nullopt;
    return duration_cast<milliseconds>(m_clock.now() - *m_answeredAt);
}

}
