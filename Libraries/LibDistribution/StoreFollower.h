#pragma once

#include <LibCore/Core.h>
#include <LibDistribution/ItemReplica.h>

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

/// Read a page of all items, those after the key.
struct ListRequest {
    std::string afterKey;

    friend bool operator==(ListRequest const&, ListRequest const&) = default;
};

/// Wait for changes after the revision.
struct WatchRequest {
    Core::Revision after;
    std::chrono::milliseconds wait { 0 };

    friend bool operator==(WatchRequest const&, WatchRequest const&) = default;
};

struct StoreRequest {
    /// The balancer to ask, which relays the store; nothing: the store itself.
    std::optional<Core::Endpoint> peer;
    std::variant<ListRequest, WatchRequest> call;

    friend bool operator==(StoreRequest const&, StoreRequest const&) = default;
};

/// Answer to a request: a page of a listing, or the changes that a watch saw.
struct StoreAnswer {
    std::vector<Item> items;
    /// A listing of the store goes on after the last item.
    bool hasMore { false };
    /// A peer answered a watch with all items.
    bool isListing { false };
    /// Revision of the store when it answered.
    Core::Revision asOf;
    /// How long ago that was; more than zero from a peer only.
    std::chrono::milliseconds age { 0 };
};

enum class StoreFailure : std::uint8_t {
    /// No answer, or the connection broke.
    Unreachable,
    /// The store or the peer answered that it does nothing now.
    Refused,
    /// The changes after the revision are no longer kept.
    HistoryLost,
    /// The answer could not be read.
    Malformed,
    /// A peer's view is older than the limit.
    Stale,
};

std::string_view toString(StoreFailure);

/// Called once a request, with the answer or with the failure and its cause.
using StoreCallback = std::function<void(std::optional<StoreAnswer>, StoreFailure, std::string cause)>;

struct FollowerOptions {
    /// Peers that are asked rather than the store, in this order. Of two balancers at most one may have the other here:
    /// otherwise they would follow each other and nobody the store.
    std::vector<Core::Endpoint> preferredPeers;
    /// Peers that are asked when the store fails.
    std::vector<Core::Endpoint> fallbackPeers;
    /// Longest wait of one watch. It bounds how long a connection may be silent unnoticed, and with that how far a
    /// balancer can fall behind.
    std::chrono::milliseconds watchWait { 1000 };
    /// Shortest time between the starts of two watches, so that a burst of changes costs few calls.
    std::chrono::milliseconds watchInterval { 100 };
    /// Oldest view of a peer that is good enough.
    std::chrono::milliseconds maximumPeerAge { 1500 };
    /// Delay after the first failure of the store; it doubles with each further one.
    std::chrono::milliseconds initialStoreBackoff { 100 };
    std::chrono::milliseconds maximumStoreBackoff { 1000 };
    /// The same for a peer. It is longer, as other sources take its place.
    std::chrono::milliseconds initialPeerBackoff { 1000 };
    std::chrono::milliseconds maximumPeerBackoff { 8000 };
    std::uint64_t randomSeed { 0 };
};

struct FollowerHooks {
    /// A source that answered before fails now.
    std::function<void(std::optional<Core::Endpoint> const& peer, StoreFailure)> sourceLost;
    /// A source that failed answers again.
    std::function<void(std::optional<Core::Endpoint> const& peer)> sourceRegained;
};

/// Keeps a replica equal to the store: lists all items, then watches for changes, and lists again when the history that
/// it would need is gone. Follows a peer that relays the store where it can, so that few balancers call the store, and
/// asks the store itself as soon as a peer fails. One request is under way at a time. Not thread-safe.
class StoreFollower {
public:
    StoreFollower(Core::Clock const&, FollowerOptions, ItemReplica&, FollowerHooks);

    /// The request to send now, if one is due. It ends by answered() or failed().
    std::optional<StoreRequest> nextRequest();
    /// Time until nextRequest() may have something; nothing while a request is under way.
    std::optional<std::chrono::milliseconds> nextRequestDelay() const;
    void handleAnswer(StoreAnswer const&);
    void handleFailure(StoreFailure);

    /// How long ago the replica was known to be equal to the store; nothing before the first listing.
    std::optional<std::chrono::milliseconds> age() const;
    /// False when the store could not be followed for longer than a watch may take.
    bool isFresh() const;

private:
    struct Source {
        std::optional<Core::Endpoint> peer;
        unsigned failures { 0 };
        Core::TimePoint blockedUntil;
    };

    Source& chooseSource();
    void applyPage(StoreAnswer const&);
    void applyChanges(StoreAnswer const&);
    void noteFailure(Source&, StoreFailure);
    std::chrono::milliseconds backoffOf(Source const&);

    Core::Clock const& m_clock;
    FollowerOptions m_options;
    ItemReplica& m_replica;
    FollowerHooks m_hooks;
    std::mt19937_64 m_random;
    /// In order of preference; the store is among them.
    std::vector<Source> m_sources;
    std::size_t m_storeIndex;
    /// Set while a request is under way.
    Source* m_asked { nullptr };
    /// The last request went to a peer and failed.
    bool m_hasPeerFailed { false };
    /// The next request to the store reads a page.
    bool m_isListing { true };
    bool m_isPageAsked { false };
    std::vector<Item> m_listed;
    /// Revision of the first page: changes after it may be missing from later pages.
    Core::Revision m_listedAsOf;
    Core::TimePoint m_startedAt;
    Core::TimePoint m_nextAt;
    std::optional<Core::TimePoint> m_equalAt;
};

}
