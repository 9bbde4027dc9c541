#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <functional>

namespace Chicorytally::Load {

struct SpilloverOptions {
    bool isEnabled { true };
    /// Time after which a response counts 1/e of a new one. Long enough for balancers that see few responses.
    std::chrono::milliseconds smoothing { 2000 };
    /// Part of the goal below which opens return, and above which the upstreams of other zones aren't used either. The
    /// range up to the goal prevents oscillation.
    double returnRatio { 0.8 };
    /// Part of the opens that moves to other zones per second while the local responses take twice the goal; less in
    /// proportion to the excess, so that the part settles without overshooting.
    double growthPerSecond { 0.2 };
    /// Part of the opens that returns per second; at most 5% of the opens may change sides from second to second.
    double returnPerSecond { 0.05 };
    /// Greatest part of the opens that goes to other zones while too few responses show how long these take.
    double trialFraction { 0.2 };
};

/// Decides which part of a service's opens goes to other zones because responses of the local upstreams take longer
/// than the route's goal while those of other zones, which include the path there, don't. Not thread-safe.
class SpilloverControl {
public:
    /// `changed` is called when the opens of a service start or cease to spill over.
    SpilloverControl(
        Core::Clock const&, SpilloverOptions, std::function<void(Core::ServiceId, bool isSpilling)> changed);

    /// Records a response of an upstream in the own zone or another one.
    void noteResponse(Core::ServiceId, bool isLocal, std::chrono::nanoseconds duration, std::chrono::milliseconds goal);
    /// Updates the parts. Must be called every 50 ms.
    void tick();
    /// Part of the opens that should go to another zone.
    double fractionOf(Core::ServiceId service) const
    {
        if (m_services.empty())
            return 0;
        auto state = m_services.find(service);
        return state == m_services.end() ? 0 : state->second.fraction;
    }
    std::size_t spillingCount() const;

private:
    /// Mean response time relative to the goal, with decaying weights.
    struct Mean {
        double ratio { 0 };
        double weight { 0 };
        Core::TimePoint updatedAt;
    };

    struct State {
        Mean local;
        Mean remote;
        double fraction { 0 };
    };

    double weightOf(Mean const&) const;
    void add(Mean&, double ratio);
    double nextFraction(State const&, double elapsedSeconds) const;

    Core::Clock const& m_clock;
    SpilloverOptions m_options;
    std::function<void(Core::ServiceId, bool)> m_changed;
    absl::flat_hash_map<Core::ServiceId, State> m_services;
    Core::TimePoint m_lastTick;
};

}
