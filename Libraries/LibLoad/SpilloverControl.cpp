#include <LibLoad/SpilloverControl.h>

#include <algorithm>
#include <cmath>

namespace Chicorytally::Load {

// Weight from which a mean is used: with fewer responses, one with much work would decide.
static constexpr double MinWeight = 3;

// A response counts as at most this many goals, so that a single one has a bounded influence.
static constexpr double MaxRatio = 4;

SpilloverControl::SpilloverControl(
    Core::Clock const& clock, SpilloverOptions options, std::function<void(Core::ServiceId, bool)> changed)
    : m_clock(clock)
    , m_options(options)
    , m_changed(std::move(changed))
    , m_lastTick(clock.now())
{
}

double SpilloverControl::weightOf(Mean const& mean) const
{
    auto age = std::chrono::duration<double>(m_clock.now() - mean.updatedAt);
    return mean.weight > 0 ? mean.weight * std::exp(-age / std::chrono::duration<double>(m_options.smoothing)) : 0;
}

void SpilloverControl::add(Mean& mean, double ratio)
{
    mean.weight = weightOf(mean) + 1;
    mean.updatedAt = m_clock.now();
    mean.ratio += (std::clamp(ratio, 0.0, MaxRatio) - mean.ratio) / mean.weight;
}

void SpilloverControl::noteResponse(
    Core::ServiceId service, bool isLocal, std::chrono::nanoseconds duration, std::chrono::milliseconds goal)
{
    if (!m_options.isEnabled || goal <= std::chrono::milliseconds::zero())
        return;
    auto& state = m_services[service];
    add(isLocal ? state.local : state.remote, std::chrono::duration<double>(duration) / goal);
}

double SpilloverControl::nextFraction(State const& state, double elapsedSeconds) const
{
    bool isLocalKnown = weightOf(state.local) >= MinWeight;
    bool isRemoteKnown = weightOf(state.remote) >= MinWeight;
    bool isRemoteSlow = isRemoteKnown && state.remote.ratio >= m_options.returnRatio;
    if (isRemoteSlow || !isLocalKnown || state.local.ratio < m_options.returnRatio)
        return std::max(state.fraction - m_options.returnPerSecond * elapsedSeconds, 0.0);
    if (state.local.ratio <= 1)
        return state.fraction;
    auto growth = m_options.growthPerSecond * std::min(state.local.ratio - 1, 1.0) * elapsedSeconds;
    auto limit = isRemoteKnown ? 1 : std::max(m_options.trialFraction, state.fraction);
    return std::min(state.fraction + growth, limit);
}

void SpilloverControl::tick()
{
    auto elapsed = std::chrono::duration<double>(m_clock.now() - m_lastTick).count();
    m_lastTick = m_clock.now();
    for (auto& [service, state] : m_services) {
        bool wasSpilling = state.fraction > 0;
        // After a pause of the process, the responses that it knows are old.
        state.fraction = nextFraction(state, std::min(elapsed, 1.0));
        if (m_changed && wasSpilling != (state.fraction > 0))
            m_changed(service, !wasSpilling);
    }
}

std::size_t SpilloverControl::spillingCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_services, [](auto const& entry) { return entry.second.fraction > 0; }));
}

}
