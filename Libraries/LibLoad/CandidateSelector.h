#pragma once

#include <LibLoad/TokenBucket.h>

#include <cstddef>
#include <functional>
#include <optional>

namespace Chicorytally::Load {

/// State of an upstream as a candidate for a new flow.
enum class CandidateState : std::uint8_t {
    /// Can take the flow.
    Available,
    /// In slow start, with allowance left.
    Starting,
    /// In slow start, with its allowance exhausted.
    StartingAtLimit,
    /// This VM's share of the limit is exhausted.
    AtLimit,
    /// Can take its own flows, but its allowance for flows spilled from other upstreams is exhausted.
    SpillAtLimit,
    /// Unhealthy, draining, removed, or in a zone that is out.
    Unusable,
};

struct CandidateStatus {
    CandidateState state { CandidateState::Available };
    /// Flows per unit of weight relative to the service's mean, corrected by the upstream's load reports.
    double relativeLoad { 1 };
    bool isInOwnZone { false };
};

/// Selects an upstream among a bucket's candidates. The first candidate is the bucket's target. Any other one costs a
/// flow record, so the target is skipped only if it can't take the flow or, at a bounded rate, if it is overloaded. Of
/// the others, only the first few in the bucket's order are compared: if all were, balancers with the same stale
/// information would all choose the same least loaded one (Mitzenmacher, The Power of Two Choices in Randomized Load
/// Balancing, 2001). Not thread-safe.
class CandidateSelector {
public:
    /// The target counts as overloaded when its relative load exceeds the mean by this fraction ...
    static constexpr double RelativeMargin = 0.04;
    /// ... or by this many flows, whichever is greater.
    static constexpr double MinMarginFlows = 2;
    /// Fraction of the opens that may skip their target because of its load.
    static constexpr double DeviationsPerOpen = 0.05;
    /// Penalty on the relative load of upstreams in other zones.
    static constexpr double ZonePreference = 0.1;
    /// Maximum number of available candidates to compare.
    static constexpr std::size_t MaxComparedCandidates = 3;

    struct Choice {
        std::optional<std::size_t> index;
        /// State of the target if another candidate was chosen.
        CandidateState targetState { CandidateState::Available };
    };

    /// `statusOf(index, isSpill)` evaluates a candidate. `isSpill` means that the flow is spilled from an unusable
    /// target or from one whose slow start allowance is exhausted.
    Choice choose(
        std::size_t count, double meanFlows, std::function<CandidateStatus(std::size_t, bool isSpill)> const& statusOf);

private:
    TokenBucket m_deviationBudget;
};

}
