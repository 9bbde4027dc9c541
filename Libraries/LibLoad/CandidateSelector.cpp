#include <LibLoad/CandidateSelector.h>

#include <algorithm>

namespace Chicorytally::Load {

namespace {

    struct Best {
        std::optional<std::size_t> index;
        double score { 0 };

        void offer(std::size_t candidate, double candidateScore)
        {
            if (index && candidateScore >= score)
                return;
            index = candidate;
            score = candidateScore;
        }
    };

}

static double scoreOf(CandidateStatus const& view)
{
    return view.relativeLoad + (view.isInOwnZone ? 0 : CandidateSelector::ZonePreference);
}

CandidateSelector::Choice CandidateSelector::choose(
    std::size_t count, double meanFlows, std::function<CandidateStatus(std::size_t, bool isSpill)> const& view)
{
    constexpr double DeviationReserve = 20;
    if (count == 0)
        return { .index = std::nullopt, .targetState = CandidateState::Unusable };
    m_deviations.add(DeviationShare, DeviationReserve);

    auto target = view(0, false);
    bool isTargetUsable = target.state == CandidateState::Available || target.state == CandidateState::Starting;
    auto margin = std::max(Margin, meanFlows > 0 ? MarginFlows / meanFlows : 1);
    bool isTargetLoaded = target.state == CandidateState::Available && target.relativeLoad > 1 + margin;
    if (isTargetUsable && (!isTargetLoaded || !m_deviations.has()))
        return { .index = 0 };

    bool isSpill = target.state == CandidateState::Unusable || target.state == CandidateState::StartingAtLimit;
    Best best;
    std::optional<std::size_t> starting;
    std::size_t compared = 0;
    // The own zone is looked for further down the list, but it replaces one of the compared candidates.
    bool hasOwnZone = false;
    for (std::size_t i = 1; i < count && (compared < MaxComparedCandidates || !hasOwnZone); ++i) {
        auto candidate = view(i, isSpill);
        if (candidate.state == CandidateState::Starting && !starting)
            starting = i;
        if (candidate.state != CandidateState::Available)
            continue;
        if (compared >= MaxComparedCandidates && !candidate.isInOwnZone)
            continue;
        hasOwnZone = hasOwnZone || candidate.isInOwnZone;
        best.offer(i, scoreOf(candidate));
        ++compared;
    }
    if (isTargetLoaded) {
        // Leaving a loaded target has to bring the flow to one that carries no more than the mean.
        if (!best.index || view(*best.index, false).relativeLoad > 1)
            return { .index = 0 };
        m_deviations.take();
        return { .index = best.index, .targetState = target.state };
    }
    if (!best.index)
        best.index = starting;
    return { .index = best.index, .targetState = target.state };
}

}
