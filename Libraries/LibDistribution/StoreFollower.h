#pragma once

#include <LibCore/Core.h>
#include <LibDistribution/ItemReplica.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
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

using StoreRequest = std::variant<ListRequest, WatchRequest>;

/// Answer to a request: a page of a listing, or the changes that a watch saw.
struct StoreAnswer {
    std::vector<Item> items;
    /// A listing goes on after the last item.
    bool hasMore { false };
    /// Revision of the store when it answered.
    Core::Revision asOf;
};

enum class StoreFailure : std::uint8_t {
    /// No answer, or the connection broke.
    Unreachable,
    /// The store answered that it does nothing now.
    Refused,
    /// The changes after the revision are no longer kept.
    HistoryLost,
    /// The answer could not be read.
    Malformed,
};

std::string_view toString(StoreFailure);

struct FollowerOptions {
    /// Longest wait of one watch. A watch on a connection that went silent is noticed after this and a margin.
    std::chrono::milliseconds watchWait { 2500 };
    /// Shortest time between the starts of two watches, so that a burst of changes costs few calls.
    std::chrono::milliseconds watchInterval { 100 };
    /// Delay after the first failure; it doubles with each further one.
    std::chrono::milliseconds firstBackoff { 100 };
    std::chrono::milliseconds maximumBackoff { 1000 };
    std::uint64_t randomSeed { 0 };
};

struct FollowerHooks {
    std::function<void()> lost;
    std::function<void(std::chrono::milliseconds away)> regained;
};

/// Keeps a replica equal to the store: lists all items, then watches for changes, and lists again when the history that
/// it would need is gone. One request is under way at a time. Not thread-safe.
class StoreFollower {
public:
    StoreFollower(Core::Clock const&, FollowerOptions, ItemReplica&, FollowerHooks);

    /// The request to send now, if one is due. It ends by answered() or failed().
    std::optional<StoreRequest> nextRequest();
    /// Time until nextRequest() may have something; nothing while a request is under way.
    std::optional<std::chrono::milliseconds> delay() const;
    void answered(StoreAnswer const&);
    void failed(StoreFailure);
    /// While paused no request is due: another balancer reads for this one.
    void setPaused(bool isPaused) { m_isPaused = isPaused; }
    /// Watch from the replica's revision next, which others have brought forward.
    void resume();

    /// Time since the store last answered; nothing before the first answer.
    std::optional<std::chrono::milliseconds> age() const;
    bool isReachable() const { return m_failures == 0; }

private:
    void pageAnswered(StoreAnswer const&);
    void watchAnswered(StoreAnswer const&);
    void noteAnswer();

    Core::Clock const& m_clock;
    FollowerOptions m_options;
    ItemReplica& m_replica;
    FollowerHooks m_hooks;
    std::mt19937_64 m_random;
    bool m_isPaused { false };
    bool m_isListing { true };
    std::vector<Item> m_listed;
    /// Revision of the first page: changes after it may be missing from later pages.
    Core::Revision m_listedAsOf;
    Core::Revision m_watchedUpTo;
    std::optional<StoreRequest> m_underWay;
    Core::TimePoint m_nextAt;
    Core::TimePoint m_startedAt;
    std::optional<Core::TimePoint> m_answeredAt;
    unsigned m_failures { 0 };
};

}
