#pragma once

#include <LibLoad/TokenBucket.h>

#include <cstddef>
#include <functional>
#include <optional>

namespace Chicorytally::Load {

/// How an upstream stands as a candidate for a new flow.
enum class CandidateState : std::uint8_t {
    /// May take the flow.
    Available,
    /// In slow start, with allowance left.
    Starting,
    /// In slow start, with its allowance used up.
    StartingAtLimit,
    /// This VM's share of the limit is used up.
    AtLimit,
    /// May not take what other upstreams can't, because it already takes much of it.
    SpillAtLimit,
    /// Dead, draining or out.
    Unusable,
};

struct CandidateStatus {
    CandidateState state { CandidateState::Available };
    /// Flows for each unit of weight, relative to the service's mean, after the reports' factor.
    double relativeLoad { 1 };
    bool isInOwnZone { false };
};

/// Chooses among a bucket's candidates. The first one is the bucket's target, and another choice costs a flow record,
/// so it is left only for a reason, and for load alone only at a bounded rate. Among the others it compares a few in
/// the bucket's order rather than all: balancers with the same late information would all choose the same least one
/// (Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001). Not thread-safe.
class CandidateSelector {
public:
    /// A target is left when it carries this much more than the mean ...
    static constexpr double RelativeMargin = 0.04;
    /// ... or this many flows more, whichever is greater.
    static constexpr double MinMarginFlows = 2;
    /// Part of the opens that may leave their target for load.
    static constexpr double DeviationsPerOpen = 0.05;
    /// An upstream in another zone is chosen when the one in the own zone carries this much more.
    static constexpr double ZonePreference = 0.1;
    /// Upstreams that are compared.
    static constexpr std::size_t MaxComparedCandidates = 3;

    struct Choice {
        std::optional<std::size_t> index;
        /// CandidateState of the target when it wasn't chosen.
        CandidateState targetState { CandidateState::Available };
    };

    /// `view(index, isSpill)` looks at a candidate; `isSpill` means that the flow comes from a dead or cold target.
    Choice choose(
        std::size_t count, double meanFlows, std::function<CandidateStatus(std::size_t, bool isSpill)> const& statusOf);

private:
    TokenBucket m_deviationBudget;
};

}
