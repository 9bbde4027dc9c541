#include <LibLoad/CandidateSelector.h>

#include <algorithm>

namespace Chicorytally::Load {

namespace {

    struct Best {
        std::optional<std::size_t> index;
        double score { 0 };

        void consider(std::size_t candidate, double candidateScore)
        {
            if (index && candidateScore >= score)
                return;
            index = candidate;
            score = candidateScore;
        }
    };

}

static double scoreOf(CandidateStatus const& candidate)
{
    return candidate.relativeLoad + (candidate.isInOwnZone ? 0 : CandidateSelector::ZonePreference);
}

CandidateSelector::Choice CandidateSelector::choose(
    std::size_t count, double meanFlows, std::function<CandidateStatus(std::size_t, bool isSpill)> const& statusOf)
{
    constexpr double MaxDeviationTokens = 20;
    if (count == 0)
        return { .index = std::nullopt, .targetState = CandidateState::Unusable };
    m_deviationBudget.add(DeviationsPerOpen, MaxDeviationTokens);

    auto target = statusOf(0, false);
    bool isTargetUsable = target.state == CandidateState::Available || target.state == CandidateState::Starting;
    auto margin = std::max(RelativeMargin, meanFlows > 0 ? MinMarginFlows / meanFlows : 1);
    bool isTargetOverloaded = target.state == CandidateState::Available && target.relativeLoad > 1 + margin;
    if (isTargetUsable && (!isTargetOverloaded || !m_deviationBudget.has()))
        return { .index = 0 };

    bool isSpill = target.state == CandidateState::Unusable || target.state == CandidateState::StartingAtLimit;
    Best best;
    std::optional<std::size_t> starting;
    std::size_t compared = 0;
    // If none of the compared candidates is in the local zone, the search goes on until the first that is.
    bool hasOwnZone = false;
    for (std::size_t i = 1; i < count && (compared < MaxComparedCandidates || !hasOwnZone); ++i) {
        auto candidate = statusOf(i, isSpill);
        if (candidate.state == CandidateState::Starting && !starting)
            starting = i;
        if (candidate.state != CandidateState::Available)
            continue;
        if (compared >= MaxComparedCandidates && !candidate.isInOwnZone)
            continue;
        hasOwnZone = hasOwnZone || candidate.isInOwnZone;
        best.consider(i, scoreOf(candidate));
        ++compared;
    }
    if (isTargetOverloaded) {
        // Skipping an overloaded target only pays off if the other upstream's load is at most the mean.
        if (!best.index || statusOf(*best.index, false).relativeLoad > 1)
            return { .index = 0 };
        m_deviationBudget.take();
        return { .index = best.index, .targetState = target.state };
    }
    if (!best.index)
        best.index = starting;
    return { .index = best.index, .targetState = target.state };
}

}
