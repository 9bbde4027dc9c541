#pragma once

#include <LibCore/Core.h>
#include <LibDistribution/ItemReplica.h>

#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Chicorytally::Distribution {

/// A request for one page of a listing of all items, starting after the key.
struct ListRequest {
    std::string afterKey;

    friend bool operator==(ListRequest const&, ListRequest const&) = default;
};

/// A request for the changes after the revision, which waits until there are some.
struct WatchRequest {
    Core::Revision after;
    std::chrono::milliseconds wait { 0 };

    friend bool operator==(WatchRequest const&, WatchRequest const&) = default;
};

struct StoreRequest {
    /// The balancer to send the request to, or nothing for the store itself.
    std::optional<Core::Endpoint> peer;
    std::variant<ListRequest, WatchRequest> call;

    friend bool operator==(StoreRequest const&, StoreRequest const&) = default;
};

/// The answer to a request: a page of a listing, or the changes that a watch returned.
struct StoreAnswer {
    std::vector<Item> items;
    /// Only in answers of peers.
    std::vector<ItemPatch> patches {};
    /// Whether the listing of the store continues after the last item.
    bool hasMore { false };
    /// Whether a peer answered a watch with a complete listing.
    bool isListing { false };
    /// The revision of the store when it answered.
    Core::Revision asOf;
    /// The time since the store was at that revision. Greater than zero only in answers of peers.
    std::chrono::milliseconds age { 0 };
};

enum class StoreFailure : std::uint8_t {
    /// There was no answer, or the connection failed.
    Unreachable,
    /// The store or the peer rejected the request.
    Refused,
    /// The store no longer keeps all changes after the revision.
    HistoryLost,
    /// The answer is larger than the client accepts. The same request would most likely get it again.
    AnswerTooLarge,
    /// The answer could not be decoded.
    Malformed,
    /// The page doesn't continue the listing: it has a key that was listed before, or no items although more follow.
    ListingStalled,
    /// The peer's view is older than the limit, or the answer belongs to an epoch before that of the replica.
    Stale,
};

std::string_view toString(StoreFailure);

/// Called once per request, with the answer, or with the failure and its cause.
using StoreCallback = std::function<void(std::optional<StoreAnswer>, StoreFailure, std::string cause)>;

struct FollowerOptions {
    /// Peers that are followed in preference to the store, in this order. Of any two balancers, at most one may prefer
    /// the other: otherwise they could follow each other while neither reads the store.
    std::vector<Core::Endpoint> preferredPeers;
    /// Peers that are followed if the store fails.
    std::vector<Core::Endpoint> fallbackPeers;
    /// Maximum wait of a watch. It bounds the time until a silent connection is detected, and thus how far a balancer
    /// can fall behind.
    std::chrono::milliseconds watchWait { 1000 };
    /// Minimum time between the starts of two watches, so that a burst of changes takes few calls.
    std::chrono::milliseconds watchInterval { 100 };
    /// A peer whose view is older than this counts as failed.
    std::chrono::milliseconds maximumPeerAge { 1500 };
    /// Delay after the first failure of the store. It doubles with each further failure, up to the maximum.
    std::chrono::milliseconds initialStoreBackoff { 100 };
    std::chrono::milliseconds maximumStoreBackoff { 1000 };
    /// The same for a peer that doesn't answer. The delays are longer because other sources can replace a peer, and
    /// each attempt may take until its timeout.
    std::chrono::milliseconds initialPeerBackoff { 1000 };
    std::chrono::milliseconds maximumPeerBackoff { 8000 };
    /// The same for a peer that answers that its own view is stale. It costs one round trip to ask it again.
    std::chrono::milliseconds initialStalePeerBackoff { 200 };
    std::chrono::milliseconds maximumStalePeerBackoff { 1000 };
    /// While a preferred peer answers that its view is stale, the store has most likely failed for it, and the peers
    /// will try again. The store is then only called if the replica is older than this, so that it doesn't get calls
    /// from the whole fleet. Zero for the balancers that others follow.
    std::chrono::milliseconds storeHoldoffAge { 0 };
    /// The delays after failures of the store during such a holdoff.
    std::chrono::milliseconds initialHoldoffBackoff { 2000 };
    std::chrono::milliseconds maximumHoldoffBackoff { 4000 };
    /// At its start, a balancer that serves no followers asks the preferred peers for a listing. If one answers that it
    /// has none yet, the store is not called for this long: after a power failure hundreds of balancers would list it
    /// at once, and the peers would wait behind them. Zero to list from the store at once.
    std::chrono::milliseconds listingHoldoff { 0 };
    /// The same if no peer answers. They may start at the same time.
    std::chrono::milliseconds unansweredListingHoldoff { 50 };
    /// Delay before a peer without a listing is asked again. Doubles up to the maximum for a stale peer.
    std::chrono::milliseconds listingRetry { 30 };
    /// How long keys are kept that a restored store lacks. What it lost is written again within about this time.
    std::chrono::milliseconds confirmationTime { 2000 };
    std::uint64_t randomSeed { 0 };
};

struct FollowerHooks {
    /// Called when a source that answered before fails.
    std::function<void(std::optional<Core::Endpoint> const& peer, StoreFailure)> sourceLost;
    /// Called when a source that failed answers again.
    std::function<void(std::optional<Core::Endpoint> const& peer)> sourceRegained;
    /// Called when a source no longer keeps the changes after the revision of the replica.
    std::function<void(std::optional<Core::Endpoint> const& peer, Core::Revision)> historyLost;
    /// Called for each page of the store's listing that continues after the key.
    std::function<void(std::string const& afterKey, StoreAnswer const&)> pageRead;
    /// Called when the store's changes after the revision of the replica are too large to be read.
    std::function<void(Core::Revision)> changesTooLarge;
    /// Called when a complete listing of so many items was applied.
    std::function<void(std::optional<Core::Endpoint> const& peer, std::size_t items, Core::Revision asOf)> listed;
    /// Called when so many keys were removed because they were not written again after a restore of the store.
    std::function<void(std::size_t items)> unconfirmedRemoved;
};

/// Keeps a replica synchronised with the store: lists all items, then watches for changes, and lists again if the store
/// no longer keeps the changes that it needs. Prefers peers that relay the store, so that few balancers call the store,
/// and falls back to the store as soon as a peer doesn't answer. Only one request is in flight at a time. Not
/// thread-safe.
class StoreFollower {
public:
    StoreFollower(Core::Clock const&, FollowerOptions, ItemReplica&, FollowerHooks);

    /// Returns the request to send now, if one is due. Its result is passed to handleAnswer() or handleFailure().
    std::optional<StoreRequest> nextRequest();
    /// Returns the time until the next request may be due, or nothing while a request is in flight.
    std::optional<std::chrono::milliseconds> nextRequestDelay() const;
    void handleAnswer(StoreAnswer const&);
    void handleFailure(StoreFailure);
    /// Must be called every 50 ms.
    void tick();

    /// Returns the time since the replica was last known to equal the store, or nothing before the first listing.
    std::optional<std::chrono::milliseconds> age() const;
    /// Returns false if the replica has not been confirmed for longer than a watch may take, including the permitted
    /// age of a peer.
    bool isFresh() const;

private:
    struct Source {
        std::optional<Core::Endpoint> peer;
        unsigned failures { 0 };
        /// The last failure; valid if there were any since the last answer.
        StoreFailure failure { StoreFailure::Unreachable };
        Core::TimePoint backoffUntil;
    };

    /// Whether this balancer has no view yet, has not begun to list the store, and should get a listing from a peer.
    bool isStartingFromPeers() const;
    Source& selectSource();
    /// Starts a listing, because the replica misses changes that no watch returns. If no watch was answered since the
    /// last listing, waits as after failures of the store.
    void startListing();
    void discardListing();
    /// The key after which the next page of the listing begins; empty for the first page.
    std::string lastListedKey() const;
    /// Returns false if the page doesn't continue the listing.
    bool applyPage(StoreAnswer const&);
    bool continuesListing(StoreAnswer const&);
    /// Returns false if a patch doesn't apply, so that the replica misses its change.
    bool applyChanges(StoreAnswer const&);
    void recordFailure(Source&, StoreFailure);
    std::chrono::milliseconds backoffOf(Source const&);
    /// Returns a delay between half of and the whole backoff after so many failures in a row.
    std::chrono::milliseconds jitteredBackoff(
        std::chrono::milliseconds initial, std::chrono::milliseconds maximum, unsigned failures);
    static bool isStalePeer(Source const&);
    /// Whether any preferred peer answers but has a stale view.
    bool hasStalePeer() const;
    bool isHoldoffActive() const;
    Core::TimePoint availableAt(Source const&) const;

    Core::Clock const& m_clock;
    FollowerOptions m_options;
    ItemReplica& m_replica;
    FollowerHooks m_hooks;
    std::mt19937_64 m_random;
    /// The store and the peers in order of preference.
    std::vector<Source> m_sources;
    std::size_t m_storeIndex;
    /// The source of the request in flight, if any.
    Source* m_requestedSource { nullptr };
    /// Whether the last request that ended went to a peer, which didn't answer it.
    bool m_hasPeerFailed { false };
    /// Whether a listing is needed, so that the next request to the store reads a page.
    bool m_isListing { true };
    bool m_isPageRequested { false };
    /// Listings since the last answered watch, except the first one of the process.
    unsigned m_repeatedListings { 0 };
    std::vector<Item> m_listedItems;
    absl::flat_hash_set<std::string> m_listedKeys;
    /// The revision of the first page. Later pages may lack changes after it.
    Core::Revision m_listingRevision;
    Core::TimePoint m_startedAt;
    Core::TimePoint m_requestStartedAt;
    Core::TimePoint m_nextRequestAt;
    std::optional<Core::TimePoint> m_syncedAt;
    /// When the keys that a restored store lacks are removed.
    std::optional<Core::TimePoint> m_confirmationEnd;
};

}
