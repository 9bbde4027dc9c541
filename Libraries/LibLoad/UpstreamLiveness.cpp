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

std::string_view toString(LivenessProbe result)
{
    switch (result) {
    case LivenessProbe::Answered:
        return "answered";
    case LivenessProbe::Refused:
        return "refused";
    case LivenessProbe::Closing:
        return "closing";
    case LivenessProbe::NoAnswer:
        return "no_answer";
    case LivenessProbe::NotMade:
        return "not_made";
    }
    return "unknown";
}

std::string_view toString(Suspicion suspicion)
{
    switch (suspicion) {
    case Suspicion::SilentRequests:
        return "silent_requests";
    case Suspicion::UnansweredOpen:
        return "unanswered_open";
    case Suspicion::Unlisted:
        return "unlisted";
    case Suspicion::Reported:
        return "reported";
    case Suspicion::ZoneSilent:
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
    if (state.liveness != Liveness::Alive)
        becomeAlive(upstream, state);
}

void UpstreamLiveness::suspect(Core::UpstreamId upstream, Suspicion suspicion, Core::TimePoint silentSince)
{
    auto& state = m_states[upstream];
    bool isHeldOff = m_clock.now() < state.nextProbeAt;
    if (state.liveness != Liveness::Alive || state.progressAt > silentSince || isHeldOff)
        return;
    state.liveness = Liveness::Suspect;
    state.suspicion = suspicion;
    state.unansweredProbes = 0;
    startProbe(upstream, state);
}

void UpstreamLiveness::noteUnlisted(Core::UpstreamId upstream)
{
    auto& state = m_states[upstream];
    state.isListed = false;
    state.nextProbeAt = m_clock.now();
    suspect(upstream, Suspicion::Unlisted, m_clock.now());
}

void UpstreamLiveness::startProbe(Core::UpstreamId upstream, State& state)
{
    if (std::exchange(state.isProbing, true))
        return;
    m_hooks.startProbe(upstream);
}

void UpstreamLiveness::probeEnded(Core::UpstreamId upstream, LivenessProbe result)
{
    auto position = m_states.find(upstream);
    if (position == m_states.end())
        return;
    auto& state = position->second;
    state.isProbing = false;
    switch (result) {
    case LivenessProbe::Answered: {
        bool isStalled = state.liveness == Liveness::Suspect && state.suspicion == Suspicion::SilentRequests;
        becomeAlive(upstream, state);
        if (isStalled && m_hooks.stalled)
            m_hooks.stalled(upstream);
        return;
    }
    case LivenessProbe::NotMade:
        state.nextProbeAt = m_clock.now() + m_options.firstRetry;
        return;
    case LivenessProbe::Closing:
        if (state.liveness == Liveness::Suspect && ++state.unansweredProbes < m_options.probesToConfirm) {
            state.nextProbeAt = m_clock.now() + m_options.firstRetry;
            return;
        }
        break;
    case LivenessProbe::Refused:
    case LivenessProbe::NoAnswer:
        break;
    }
    if (state.liveness == Liveness::Unreachable) {
        state.retry = std::min(state.retry * 2, m_options.maximumRetry);
        state.nextProbeAt = m_clock.now() + state.retry;
        return;
    }
    if (state.liveness == Liveness::Alive)
        return;
    ++state.unansweredProbes;
    bool isOwnFinding = state.suspicion == Suspicion::SilentRequests || state.suspicion == Suspicion::UnansweredOpen;
    if (state.unansweredProbes == 1 && isOwnFinding && m_hooks.unanswered)
        m_hooks.unanswered(upstream);
    if (result == LivenessProbe::Refused || state.unansweredProbes >= m_options.probesToConfirm)
        becomeUnreachable(upstream, state, result);
    else
        startProbe(upstream, state);
}

void UpstreamLiveness::becomeAlive(Core::UpstreamId upstream, State& state)
{
    bool wasUnreachable = state.liveness == Liveness::Unreachable;
    state.liveness = Liveness::Alive;
    state.nextProbeAt = m_clock.now() + m_options.probeHoldoff;
    if (wasUnreachable)
        m_hooks.regained(upstream);
}

void UpstreamLiveness::becomeUnreachable(Core::UpstreamId upstream, State& state, LivenessProbe result)
{
    state.liveness = Liveness::Unreachable;
    state.retry = m_options.firstRetry;
    state.nextProbeAt = m_clock.now() + state.retry;
    m_hooks.lost(upstream, state.suspicion, result);
}

void UpstreamLiveness::reset(Core::UpstreamId upstream)
{
    auto position = m_states.find(upstream);
    if (position == m_states.end())
        return;
    position->second.nextProbeAt = {};
    position->second.isListed = true;
    if (position->second.liveness != Liveness::Alive)
        becomeAlive(upstream, position->second);
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
        bool isAwaited
            = state.liveness == Liveness::Suspect || (state.isListed && state.liveness == Liveness::Unreachable);
        if (isAwaited)
            startProbe(upstream, state);
        else if (!state.isListed && state.liveness == Liveness::Alive)
            suspect(upstream, Suspicion::Unlisted, m_clock.now());
    }
}

Liveness UpstreamLiveness::of(Core::UpstreamId upstream) const
{
    auto state = m_states.find(upstream);
    return state == m_states.end() ? Liveness::Alive : state->second.liveness;
}

std::size_t UpstreamLiveness::unreachableCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_states, [](auto const& entry) { return entry.second.liveness == Liveness::Unreachable; }));
}

}
