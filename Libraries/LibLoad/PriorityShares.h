#pragma once

#include <LibCore/Core.h>

#include <array>
#include <cstddef>
#include <optional>

namespace Chicorytally::Load {

/// Divides the capacity of a service among its priorities. Rank 0 is the best priority. Each rank has a token bucket
/// that fills at the rate of the capacity and is charged with the load of this and all better ranks, so that a better
/// rank takes from the worse ones and never the other way round. Not thread-safe.
class PriorityShares {
public:
    /// Further priorities share the last rank.
    static constexpr std::size_t MaximumRanks = 8;
    /// Share of the capacity that the ranks after the first one keep.
    static constexpr double LowerShare = 0.05;

    enum class Supply : std::uint8_t {
        /// No capacity is left.
        None,
        /// Capacity for callers that have not used up their share.
        Scarce,
        /// Capacity that callers with credit leave unused.
        Unused,
        /// Capacity for all demand of the rank.
        Enough,
    };

    PriorityShares(Core::Clock const&, std::size_t ranks);

    /// Starts anew with full buckets.
    void restart(double requestsPerSecond);
    /// Adds the tokens for the time since the last call.
    void refill(double requestsPerSecond);
    /// Records the load of an open, admitted or not, or of a request on an open flow.
    void noteDemand(std::size_t rank, double requests) { m_ranks[rank].demand += requests; }
    /// Takes the load of an admitted open or of a request on an open flow.
    void charge(std::size_t rank, double requests);
    Supply supplyOf(std::size_t rank) const;
    /// Updates the rates of the demand. To be called at regular intervals.
    void updateDemand(double seconds);
    /// Tokens that the rank got since the last call, `seconds` ago, less the load of better ranks.
    double takeBudget(std::size_t rank, double seconds);
    /// Whether the demand of this and all better ranks is below the capacity.
    bool fits(std::size_t rank) const;
    /// Whether the latest demand, without its average, is above the capacity.
    bool exceeds(std::size_t rank) const;
    std::size_t rankCount() const { return m_rankCount; }

private:
    struct Rank {
        double tokens { 0 };
        double budget { 0 };
        double demand { 0 };
        /// Requests per second, by opens and on open flows.
        double demandRate { 0 };
        /// The same in the last interval.
        double latestRate { 0 };
    };

    double depth() const;

    Core::Clock const& m_clock;
    std::size_t m_rankCount;
    std::array<Rank, MaximumRanks> m_ranks {};
    /// What the ranks after the first one keep and have not used.
    double m_reserve { 0 };
    double m_capacity { 0 };
    std::optional<Core::TimePoint> m_refilled;
};

}
