#include <LibDistribution/StoreFollower.h>

#include <algorithm>
#include <span>
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
    case StoreFailure::AnswerTooLarge:
        return "answer_too_large";
    case StoreFailure::Malformed:
        return "malformed";
    case StoreFailure::ListingStalled:
        return "listing_stalled";
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
    , m_requestStartedAt(clock.now())
    , m_nextRequestAt(clock.now())
{
    for (auto const& peer : m_options.preferredPeers)
        m_sources.push_back({ .peer = peer });
    m_sources.push_back({});
    for (auto const& peer : m_options.fallbackPeers)
        m_sources.push_back({ .peer = peer });
}

bool StoreFollower::isStalePeer(Source const& source)
{
    return source.peer && source.failures != 0
        && (source.failure == StoreFailure::Refused || source.failure == StoreFailure::Stale);
}

bool StoreFollower::isStartingFromPeers() const
{
    return !m_syncedAt && m_listedItems.empty() && m_storeIndex != 0 && m_options.listingHoldoff.count() != 0;
}

bool StoreFollower::hasStalePeer() const
{
    return std::ranges::any_of(std::span { m_sources }.first(m_storeIndex), isStalePeer);
}

bool StoreFollower::isHoldoffActive() const
{
    return !m_isListing && m_options.storeHoldoffAge.count() != 0 && hasStalePeer();
}

Core::TimePoint StoreFollower::availableAt(Source const& source) const
{
    if (source.peer)
        return source.backoffUntil;
    if (isStartingFromPeers()) {
        auto holdoff = hasStalePeer() ? m_options.listingHoldoff : m_options.unansweredListingHoldoff;
        return std::max(source.backoffUntil, m_startedAt + holdoff);
    }
    return isHoldoffActive() ? std::max(source.backoffUntil, *m_syncedAt + m_options.storeHoldoffAge)
                             : source.backoffUntil;
}

StoreFollower::Source& StoreFollower::selectSource()
{
    auto isAvailable = [this](Source const& source) { return availableAt(source) <= m_clock.now(); };
    // A balancer that has a view lists from the store, which takes only one call. After a peer failed, the store comes
    // first because the next peer may have failed with it, and the view has already aged by a whole watch.
    bool isStoreFirst = (m_isListing && !isStartingFromPeers()) || m_hasPeerFailed;
    if (isStoreFirst && isAvailable(m_sources[m_storeIndex]))
        return m_sources[m_storeIndex];
    if (isStartingFromPeers()) {
        // Spreads the listings over the peers.
        if (auto& peer = m_sources[m_random() % m_storeIndex]; isAvailable(peer))
            return peer;
    }
    auto available = std::ranges::find_if(m_sources, isAvailable);
    if (available != m_sources.end())
        return *available;
    return *std::ranges::min_element(m_sources, {}, [this](Source const& source) { return availableAt(source); });
}

std::optional<StoreRequest> StoreFollower::nextRequest()
{
    if (m_requestedSource || m_clock.now() < m_nextRequestAt)
        return std::nullopt;
    auto& source = selectSource();
    if (auto time = availableAt(source); time > m_clock.now()) {
        m_nextRequestAt = time;
        return std::nullopt;
    }
    m_requestedSource = &source;
    m_requestStartedAt = m_clock.now();
    m_isPageRequested = m_isListing && !source.peer;
    if (m_isPageRequested)
        return StoreRequest { std::nullopt, ListRequest { lastListedKey() } };
    // A peer answers a watch from the invalid revision immediately with a complete listing.
    auto after = m_isListing ? Core::Revision {} : m_replica.completeUpTo();
    // A listing never waits. A source that failed before must answer immediately, so that another failure is noticed
    // before the view ages.
    auto wait = source.failures == 0 && !m_isListing ? m_options.watchWait : milliseconds { 0 };
    return StoreRequest { source.peer, WatchRequest { after, wait } };
}

std::string StoreFollower::lastListedKey() const { return m_listedItems.empty() ? "" : m_listedItems.back().key; }

std::optional<milliseconds> StoreFollower::nextRequestDelay() const
{
    if (m_requestedSource)
        return std::nullopt;
    return std::max(milliseconds { 0 }, std::chrono::ceil<milliseconds>(m_nextRequestAt - m_clock.now()));
}

void StoreFollower::handleAnswer(StoreAnswer const& answer)
{
    auto& source = *std::exchange(m_requestedSource, nullptr);
    auto epoch = m_replica.completeUpTo().epoch();
    if (answer.asOf.epoch() < epoch) {
        discardListing();
        recordFailure(source, StoreFailure::Stale);
        return;
    }
    if (m_isPageRequested) {
        if (!applyPage(answer)) {
            discardListing();
            recordFailure(source, StoreFailure::ListingStalled);
            return;
        }
    } else if (answer.asOf.epoch() != epoch && !answer.isListing) {
        // The watch continued a history that is gone, so the changes before its revision are unknown.
        startListing();
    } else {
        if (!applyChanges(answer)) {
            // The next request goes to the store, which sends whole values.
            recordFailure(source, StoreFailure::Malformed);
            return;
        }
        m_repeatedListings = 0;
        if (answer.age > m_options.maximumPeerAge) {
            recordFailure(source, StoreFailure::Stale);
            return;
        }
    }
    if (m_replica.completeUpTo().epoch() != epoch)
        m_confirmationEnd = m_clock.now() + m_options.confirmationTime;
    m_hasPeerFailed = false;
    // Until its last page, a listing may still fail. The backoff must grow if it fails at the same page each time.
    if (m_isPageRequested && m_isListing)
        return;
    if (std::exchange(source.failures, 0) != 0 && m_hooks.sourceRegained)
        m_hooks.sourceRegained(source.peer);
}

void StoreFollower::tick()
{
    if (!m_confirmationEnd || m_clock.now() < *m_confirmationEnd)
        return;
    m_confirmationEnd.reset();
    auto removed = m_replica.removeUnconfirmed();
    if (removed != 0 && m_hooks.unconfirmedRemoved)
        m_hooks.unconfirmedRemoved(removed);
}

void StoreFollower::startListing()
{
    m_isListing = true;
    discardListing();
    m_nextRequestAt = m_clock.now();
    if (m_repeatedListings != 0)
        m_nextRequestAt
            += jitteredBackoff(m_options.initialStoreBackoff, m_options.maximumStoreBackoff, m_repeatedListings);
    ++m_repeatedListings;
}

void StoreFollower::discardListing()
{
    m_listedItems.clear();
    m_listedKeys.clear();
}

bool StoreFollower::continuesListing(StoreAnswer const& answer)
{
    if (answer.hasMore && answer.items.empty())
        return false;
    // The order of the store's keys is its own affair, so a page that goes back is recognised by a key that it repeats.
    return std::ranges::all_of(answer.items, [this](Item const& item) { return m_listedKeys.insert(item.key).second; });
}

bool StoreFollower::applyPage(StoreAnswer const& answer)
{
    if (m_hooks.pageRead)
        m_hooks.pageRead(lastListedKey(), answer);
    if (m_listedItems.empty())
        m_listingRevision = answer.asOf;
    if (answer.asOf.epoch() != m_listingRevision.epoch()) {
        // The store was restored between two pages.
        startListing();
        return true;
    }
    if (!continuesListing(answer))
        return false;
    m_listedItems.insert(m_listedItems.end(), answer.items.begin(), answer.items.end());
    m_nextRequestAt = m_clock.now();
    if (answer.hasMore)
        return true;
    m_isListing = false;
    m_replica.applyListing(m_listedItems, m_listingRevision);
    if (m_hooks.listed)
        m_hooks.listed(std::nullopt, m_listedItems.size(), m_listingRevision);
    discardListing();
    m_syncedAt = m_requestStartedAt;
    return true;
}

bool StoreFollower::applyChanges(StoreAnswer const& answer)
{
    bool isComplete = true;
    for (auto const& patch : answer.patches)
        isComplete = m_replica.applyPatch(patch) && isComplete;
    if (answer.isListing) {
        m_replica.applyListing(answer.items, answer.asOf);
    } else {
        for (auto const& item : answer.items)
            m_replica.apply(item);
        if (!isComplete)
            return false;
        m_replica.markCompleteUpTo(answer.asOf);
    }
    m_isListing = m_isListing && !answer.isListing;
    m_syncedAt = std::max(m_syncedAt.value_or(Core::TimePoint {}), m_clock.now() - answer.age);
    m_nextRequestAt = std::max(m_clock.now(), m_requestStartedAt + m_options.watchInterval);
    return true;
}

void StoreFollower::handleFailure(StoreFailure failure)
{
    auto& source = *std::exchange(m_requestedSource, nullptr);
    // Pages that were read at different times can't be combined, so the listing starts again.
    discardListing();
    if (failure == StoreFailure::HistoryLost) {
        if (m_hooks.historyLost)
            m_hooks.historyLost(source.peer, m_replica.completeUpTo());
        startListing();
        return;
    }
    // Pages of a listing are limited in size, unlike the answer to a watch.
    if (failure == StoreFailure::AnswerTooLarge && !source.peer && !m_isPageRequested) {
        if (m_hooks.changesTooLarge)
            m_hooks.changesTooLarge(m_replica.completeUpTo());
        startListing();
        return;
    }
    recordFailure(source, failure);
}

void StoreFollower::recordFailure(Source& source, StoreFailure failure)
{
    source.failure = failure;
    if (source.failures++ == 0 && m_hooks.sourceLost)
        m_hooks.sourceLost(source.peer, failure);
    m_hasPeerFailed = source.peer && !isStalePeer(source);
    source.backoffUntil = m_clock.now() + backoffOf(source);
    m_nextRequestAt = m_clock.now();
}

milliseconds StoreFollower::backoffOf(Source const& source)
{
    auto first = m_options.initialStoreBackoff;
    auto maximum = m_options.maximumStoreBackoff;
    if (source.peer && isStartingFromPeers()) {
        first = m_options.listingRetry;
        maximum = m_options.maximumStalePeerBackoff;
    } else if (isStalePeer(source)) {
        first = m_options.initialStalePeerBackoff;
        maximum = m_options.maximumStalePeerBackoff;
    } else if (source.peer) {
        first = m_options.initialPeerBackoff;
        maximum = m_options.maximumPeerBackoff;
    } else if (isHoldoffActive()) {
        first = m_options.initialHoldoffBackoff;
        maximum = m_options.maximumHoldoffBackoff;
    }
    return jitteredBackoff(first, maximum, source.failures);
}

milliseconds StoreFollower::jitteredBackoff(milliseconds initial, milliseconds maximum, unsigned failures)
{
    static constexpr unsigned MaxDoublings = 10;
    auto backoff = std::min(initial * (1U << std::min(failures - 1, MaxDoublings)), maximum);
    std::uniform_real_distribution<double> jitter { 0.5, 1.0 };
    return std::chrono::duration_cast<milliseconds>(backoff * jitter(m_random));
}

std::optional<milliseconds> StoreFollower::age() const
{
    if (!m_syncedAt)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(m_clock.now() - *m_syncedAt);
}

bool StoreFollower::isFresh() const
{
    auto currentAge = age();
    return currentAge && *currentAge <= m_options.watchWait + m_options.maximumPeerAge;
}

}
