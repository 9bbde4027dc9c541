#include <LibLoad/PriorityShares.h>

#include <algorithm>
#include <chrono>

namespace Chicorytally::Load {

// Duration for which a bucket can save tokens. Twice the interval of the estimate; longer bursts fill upstream queues.
static constexpr double DepthSeconds = 0.2;
// Depth in requests at low rates, so that an open of a flow with several requests fits.
static constexpr double MinimumDepth = 8;
// A bucket owes at most this many depths, so that requests on open flows don't block opens long after they ended.
static constexpr double MaximumDebt = 2;
// A bucket filled to this part has capacity that callers with credit leave unused.
static constexpr double AmplePart = 0.75;
// The first rank is taken to fit up to this part of the estimate. If the estimate is right, upstreams reject a sixth of
// its requests and retries succeed; if it is too low by chance, refusals would hit the most urgent requests.
static constexpr double BestRankTolerance = 1.2;
// Weight of the newest interval of 50 ms in the demand: averages over about half a second.
static constexpr double DemandWeight = 0.1;

PriorityShares::PriorityShares(Core::Clock const& clock, std::size_t ranks)
    : m_clock(clock)
    , m_rankCount(std::clamp<std::size_t>(ranks, 1, MaximumRanks))
{
}

void PriorityShares::restart(double requestsPerSecond)
{
    m_refilled.reset();
    m_reserve = 0;
    refill(requestsPerSecond);
}

double PriorityShares::depth() const { return std::max(MinimumDepth, DepthSeconds * m_capacity); }

void PriorityShares::refill(double requestsPerSecond)
{
    auto now = m_clock.now();
    m_capacity = requestsPerSecond;
    auto isFirst = !m_refilled;
    auto seconds = isFirst ? 0 : std::chrono::duration<double> { now - *m_refilled }.count();
    m_refilled = now;
    for (std::size_t i = 0; i < m_rankCount; ++i) {
        auto& rank = m_ranks[i];
        auto share = i == 0 && m_rankCount > 1 ? 1 - LowerShare : 1;
        auto added = share * requestsPerSecond * seconds;
        rank.tokens = isFirst ? depth() : std::min(depth(), rank.tokens + added);
        rank.budget = isFirst ? 0 : rank.budget + added;
    }
    m_reserve = std::min(LowerShare * requestsPerSecond + 1, m_reserve + LowerShare * requestsPerSecond * seconds);
}

void PriorityShares::charge(std::size_t rank, double requests)
{
    for (auto i = rank; i < m_rankCount; ++i) {
        m_ranks[i].tokens = std::max(m_ranks[i].tokens - requests, -MaximumDebt * depth());
        if (i != rank)
            m_ranks[i].budget -= requests;
    }
    if (rank > 0)
        m_reserve = std::max(m_reserve - requests, -LowerShare * m_capacity);
}

PriorityShares::Supply PriorityShares::supplyOf(std::size_t rank) const
{
    auto tokens = m_ranks[rank].tokens;
    if (fits(rank))
        return Supply::Enough;
    if (tokens >= AmplePart * depth())
        return Supply::Unused;
    bool hasReserve = rank > 0 && m_reserve >= 1;
    return tokens >= 0 || hasReserve ? Supply::Scarce : Supply::None;
}

bool PriorityShares::fits(std::size_t rank) const
{
    double demand = 0;
    for (std::size_t i = 0; i <= rank; ++i)
        demand += m_ranks[i].demandRate;
    auto share = rank == 0 ? BestRankTolerance : 1 - LowerShare;
    return demand <= share * m_capacity;
}

bool PriorityShares::exceeds(std::size_t rank) const
{
    double demand = 0;
    for (std::size_t i = 0; i <= rank; ++i)
        demand += m_ranks[i].latestRate;
    return demand > m_capacity;
}

void PriorityShares::updateDemand(double seconds)
{
    for (auto& rank : m_ranks) {
        rank.latestRate = rank.demand / seconds;
        rank.demandRate += DemandWeight * (rank.latestRate - rank.demandRate);
        rank.demand = 0;
    }
}

double PriorityShares::takeBudget(std::size_t rank, double seconds)
{
    auto kept = rank > 0 ? LowerShare * m_capacity * seconds : 0;
    return std::max(kept, std::exchange(m_ranks[rank].budget, 0));
}

}
