#include <LibLoad/UpstreamLiveness.h>

#include <algorithm>
#include <utility>

namespace Chicorytally::Load {

std::string_view toString(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "alive";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

std::string_view toString(LivenessProbeResult result)
{
    switch (result) {
    case LivenessProbeResult::Answered:
        return "answered";
    case LivenessProbeResult::Refused:
        return "refused";
    case LivenessProbeResult::Closing:
        return "closing";
    case LivenessProbeResult::Ended:
        return "ended";
    case LivenessProbeResult::NoAnswer:
        return "no_answer";
    case LivenessProbeResult::NotMade:
        return "not_made";
    }
    return "unknown";
}

std::string_view toString(SuspicionReason suspicion)
{
    switch (suspicion) {
    case SuspicionReason::SilentRequests:
        return "silent_requests";
    case SuspicionReason::UnansweredOpen:
        return "unanswered_open";
    case SuspicionReason::Unlisted:
        return "unlisted";
    case SuspicionReason::Reported:
        return "reported";
    case SuspicionReason::ZoneSilent:
        return "zone_silent";
    }
    return "unknown";
}

UpstreamLiveness::UpstreamLiveness(Core::Clock const& clock, LivenessOptions options, LivenessHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

void UpstreamLiveness::noteProgress(Core::UpstreamId upstream)
{
    auto& state = m_states[upstream];
    state.progressAt = m_clock.now();
    m_lastAnswerAt = m_clock.now();
    if (state.liveness != Liveness::Alive)
        becomeAlive(upstream, state);
}

bool UpstreamLiveness::becomeSuspect(State& state, SuspicionReason suspicion, Core::TimePoint silentSince)
{
    bool isHeldOff = m_clock.now() < state.nextProbeAt;
    if (state.liveness != Liveness::Alive || state.progressAt > silentSince || isHeldOff)
        return false;
    state.liveness = Liveness::Suspect;
    state.suspicion = suspicion;
    state.suspectSince = m_clock.now();
    state.unansweredProbes = 0;
    state.silentProbes = 0;
    state.loss = {};
    return true;
}

bool UpstreamLiveness::suspect(Core::UpstreamId upstream, SuspicionReason suspicion, Core::TimePoint silentSince)
{
    auto& state = m_states[upstream];
    if (becomeSuspect(state, suspicion, silentSince))
        startProbe(upstream, state);
    return state.liveness == Liveness::Suspect;
}

void UpstreamLiveness::suspectAfter(
    Core::UpstreamId upstream, SuspicionReason suspicion, Core::TimePoint silentSince, std::chrono::milliseconds delay)
{
    auto& state = m_states[upstream];
    if (becomeSuspect(state, suspicion, silentSince))
        state.nextProbeAt = m_clock.now() + delay;
}

void UpstreamLiveness::noteUnlisted(Core::UpstreamId upstream)
{
    auto& state = m_states[upstream];
    state.isListed = false;
    state.nextProbeAt = m_clock.now();
    probeUnlisted(upstream, state);
}

void UpstreamLiveness::probeUnlisted(Core::UpstreamId upstream, State& state)
{
    if (!m_hooks.hasFlows(upstream))
        return;
    if (state.liveness == Liveness::Alive) {
        suspect(upstream, SuspicionReason::Unlisted, m_clock.now());
    } else if (state.liveness == Liveness::Unreachable && !state.haveFlowsEnded) {
        // Only the entry showed that the process may still run.
        state.liveness = Liveness::Suspect;
        state.suspicion = SuspicionReason::Unlisted;
        startProbe(upstream, state);
    }
}

void UpstreamLiveness::startProbe(Core::UpstreamId upstream, State& state)
{
    if (std::exchange(state.isProbing, true))
        return;
    m_hooks.startProbe(upstream);
}

void UpstreamLiveness::probeEnded(Core::UpstreamId upstream, LivenessProbeResult result)
{
    auto position = m_states.find(upstream);
    if (position == m_states.end())
        return;
    auto& state = position->second;
    state.isProbing = false;
    if (result != LivenessProbeResult::NoAnswer && result != LivenessProbeResult::NotMade)
        m_lastAnswerAt = m_clock.now();
    if (result == LivenessProbeResult::Answered) {
        bool isStalled = state.liveness == Liveness::Suspect && state.suspicion == SuspicionReason::SilentRequests;
        becomeAlive(upstream, state);
        if (isStalled && m_hooks.stalled)
            m_hooks.stalled(upstream);
        return;
    }
    if (result == LivenessProbeResult::NotMade) {
        state.nextProbeAt = m_clock.now() + m_options.firstRetry;
        return;
    }
    state.silentProbes = result == LivenessProbeResult::NoAnswer ? state.silentProbes + 1 : 0;
    if (result == LivenessProbeResult::Refused) {
        if (state.loss.refusedProbes++ == 0)
            state.firstRefusalAt = m_clock.now();
        state.loss.refusedFor = m_clock.now() - state.firstRefusalAt;
    }
    if (state.liveness == Liveness::Unreachable)
        handleFailedRetry(upstream, state, result);
    else if (state.liveness == Liveness::Suspect)
        handleFailedProbe(upstream, state, result);
}

void UpstreamLiveness::handleFailedRetry(Core::UpstreamId upstream, State& state, LivenessProbeResult result)
{
    state.retryDelay = std::min(state.retryDelay * 2, m_options.maximumRetry);
    state.nextProbeAt = m_clock.now() + state.retryDelay;
    if (!state.haveFlowsEnded && hasEvidenceOfEnd(state, result))
        endFlows(upstream, state);
}

bool UpstreamLiveness::hasEvidenceOfEnd(State const& state, LivenessProbeResult result) const
{
    switch (result) {
    case LivenessProbeResult::NoAnswer:
        return state.silentProbes >= probesToConfirm(state);
    case LivenessProbeResult::Ended:
        return true;
    case LivenessProbeResult::Refused:
        return !state.isListed && m_clock.now() - state.suspectSince >= m_options.endConfirmation;
    case LivenessProbeResult::Answered:
    case LivenessProbeResult::Closing:
    case LivenessProbeResult::NotMade:
        return false;
    }
    return false;
}

void UpstreamLiveness::endFlows(Core::UpstreamId upstream, State& state)
{
    state.haveFlowsEnded = true;
    if (m_hooks.flowsEnded)
        m_hooks.flowsEnded(upstream, state.suspicion);
}

void UpstreamLiveness::handleFailedProbe(Core::UpstreamId upstream, State& state, LivenessProbeResult result)
{
    ++state.unansweredProbes;
    bool isOwnObservation
        = state.suspicion == SuspicionReason::SilentRequests || state.suspicion == SuspicionReason::UnansweredOpen;
    bool isClosing = result == LivenessProbeResult::Closing;
    if (state.unansweredProbes == 1 && isOwnObservation && !isClosing && m_hooks.probeUnanswered)
        m_hooks.probeUnanswered(upstream);
    bool isEnded = hasEvidenceOfEnd(state, result);
    // An unlisted upstream gets no new flows, so that it is only probed to find out whether its flows have ended.
    bool isUnreachable = state.isListed && state.unansweredProbes >= probesToConfirm(state);
    if (isEnded || isUnreachable)
        becomeUnreachable(upstream, state, result);
    else
        scheduleProbe(upstream, state, result);
    if (isEnded)
        endFlows(upstream, state);
}

void UpstreamLiveness::scheduleProbe(Core::UpstreamId upstream, State& state, LivenessProbeResult result)
{
    if (result == LivenessProbeResult::Closing)
        state.nextProbeAt = m_clock.now() + m_options.firstRetry;
    else if (result == LivenessProbeResult::Refused)
        state.nextProbeAt = m_clock.now() + (state.isListed ? m_options.refusalRetry : m_options.unlistedRefusalRetry);
    else
        startProbe(upstream, state);
}

unsigned UpstreamLiveness::probesToConfirm(State const& state) const
{
    bool isSlow = state.slowAt && m_clock.now() - *state.slowAt < m_options.slowMemory;
    auto usual = isSlow ? m_options.probesToConfirmIfSlow : m_options.probesToConfirm;
    if (m_lastAnswerAt >= state.suspectSince || !state.isListed)
        return usual;
    auto suspects = static_cast<std::size_t>(std::ranges::count_if(m_states,
        [](auto const& entry) { return entry.second.isListed && entry.second.liveness == Liveness::Suspect; }));
    return suspects >= m_options.suspectsForDoubt ? m_options.probesToConfirmInDoubt : usual;
}

void UpstreamLiveness::becomeAlive(Core::UpstreamId upstream, State& state)
{
    bool wasUnreachable = state.liveness == Liveness::Unreachable;
    if (state.liveness != Liveness::Alive && !state.haveFlowsEnded)
        state.slowAt = m_clock.now();
    state.liveness = Liveness::Alive;
    state.haveFlowsEnded = false;
    state.nextProbeAt = m_clock.now() + m_options.probeHoldoff;
    if (wasUnreachable)
        m_hooks.regained(upstream);
}

void UpstreamLiveness::becomeUnreachable(Core::UpstreamId upstream, State& state, LivenessProbeResult result)
{
    state.liveness = Liveness::Unreachable;
    state.loss.lostAt = m_clock.now();
    state.retryDelay = m_options.firstRetry;
    state.nextProbeAt = m_clock.now() + state.retryDelay;
    m_hooks.lost(upstream, state.suspicion, result);
}

void UpstreamLiveness::reset(Core::UpstreamId upstream)
{
    auto position = m_states.find(upstream);
    if (position == m_states.end())
        return;
    position->second.nextProbeAt = {};
    position->second.isListed = true;
    position->second.loss = {};
    if (position->second.liveness != Liveness::Alive)
        becomeAlive(upstream, position->second);
    position->second.slowAt.reset();
}

void UpstreamLiveness::retry(Core::UpstreamId upstream)
{
    auto state = m_states.find(upstream);
    if (state != m_states.end() && state->second.isListed && state->second.liveness == Liveness::Unreachable)
        startProbe(upstream, state->second);
}

void UpstreamLiveness::tick()
{
    for (auto& [upstream, state] : m_states) {
        bool isDue = !state.isProbing && m_clock.now() >= state.nextProbeAt;
        if (!isDue)
            continue;
        bool needsProbe
            = state.liveness == Liveness::Suspect || (state.isListed && state.liveness == Liveness::Unreachable);
        if (needsProbe)
            startProbe(upstream, state);
        else if (!state.isListed)
            probeUnlisted(upstream, state);
    }
}

Liveness UpstreamLiveness::livenessOf(Core::UpstreamId upstream) const
{
    auto state = m_states.find(upstream);
    return state == m_states.end() ? Liveness::Alive : state->second.liveness;
}

UpstreamLoss UpstreamLiveness::lossOf(Core::UpstreamId upstream) const
{
    auto state = m_states.find(upstream);
    return state == m_states.end() ? UpstreamLoss {} : state->second.loss;
}

bool UpstreamLiveness::haveFlowsEnded(Core::UpstreamId upstream) const
{
    auto state = m_states.find(upstream);
    return state != m_states.end() && state->second.haveFlowsEnded;
}

std::size_t UpstreamLiveness::unreachableCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_states, [](auto const& entry) { return entry.second.liveness == Liveness::Unreachable; }));
}

}
