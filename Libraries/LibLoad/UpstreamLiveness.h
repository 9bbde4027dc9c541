#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace Chicorytally::Load {

enum class Liveness : std::uint8_t {
    Alive,
    /// Silent; a probe is under way. New flows avoid it.
    Suspect,
    /// Neither traffic nor probes get an answer. Its flows are lost and new ones avoid it.
    Unreachable,
};

std::string_view toString(Liveness);

/// What a probe of an upstream found.
enum class LivenessProbeResult : std::uint8_t {
    Answered,
    /// The VM answered that no process listens.
    Refused,
    /// The same of an upstream that drains: it may close its listener before it has sent its last answers.
    Closing,
    NoAnswer,
    /// The probe could not be made here.
    NotMade,
};

std::string_view toString(LivenessProbeResult);

/// Why an upstream is probed.
enum class SuspicionReason : std::uint8_t {
    /// Requests in flight without any answer.
    SilentRequests,
    /// A caller repeated its opening packet.
    UnansweredOpen,
    /// Discovery dropped its entry.
    Unlisted,
    /// Another balancer got no answer from it.
    Reported,
    /// Other upstreams of its zone don't answer.
    ZoneSilent,
};

std::string_view toString(SuspicionReason);

struct LivenessOptions {
    /// Probes without an answer in a row that make an upstream unreachable.
    unsigned probesToConfirm { 2 };
    /// A suspect that answered a probe is not probed again for this long, as a slow upstream is silent without being
    /// gone.
    std::chrono::milliseconds probeHoldoff { 1000 };
    /// Pace of the probes that find out whether an unreachable upstream is back; doubles up to the maximum. A closing
    /// one is probed again after the first of them.
    std::chrono::milliseconds firstRetry { 500 };
    std::chrono::milliseconds maximumRetry { 2000 };
};

struct LivenessHooks {
    /// Starts a probe of the upstream; its result goes to probeEnded().
    std::function<void(Core::UpstreamId)> startProbe;
    /// A probe that the balancer's own traffic gave cause for got no answer; once a suspicion.
    std::function<void(Core::UpstreamId)> probeUnanswered;
    /// The upstream answered a probe, but not the requests that gave cause for it.
    std::function<void(Core::UpstreamId)> stalled;
    /// The upstream became unreachable, with the suspicion that started it and what the last probe found.
    std::function<void(Core::UpstreamId, SuspicionReason, LivenessProbeResult)> lost;
    /// An upstream that was unreachable answered.
    std::function<void(Core::UpstreamId)> regained;
};

/// Finds upstreams that went silent, from the traffic of this balancer, and confirms each by probes before its flows
/// are given up. Not thread-safe.
class UpstreamLiveness {
public:
    UpstreamLiveness(Core::Clock const&, LivenessOptions, LivenessHooks);

    /// A caller acknowledged new data of the upstream.
    void noteProgress(Core::UpstreamId);
    /// Suspects the upstream, unless it has shown progress since the given time.
    void suspect(Core::UpstreamId, SuspicionReason, Core::TimePoint silentSince);
    void probeEnded(Core::UpstreamId, LivenessProbeResult);
    /// Discovery dropped the upstream. It is probed until it no longer answers, and no longer after that.
    void noteUnlisted(Core::UpstreamId);
    /// Discovery lists the upstream again, or its process was restarted: earlier evidence is void.
    void reset(Core::UpstreamId);
    void forget(Core::UpstreamId upstream) { m_states.erase(upstream); }
    /// Probes the upstream at once if it is unreachable: something near it answered.
    void retry(Core::UpstreamId);
    /// Starts the probes that are due.
    void tick();

    Liveness livenessOf(Core::UpstreamId) const;
    std::size_t unreachableCount() const;

private:
    struct State {
        Liveness liveness { Liveness::Alive };
        SuspicionReason suspicion { SuspicionReason::SilentRequests };
        Core::TimePoint progressAt;
        bool isProbing { false };
        bool isListed { true };
        unsigned unansweredProbes { 0 };
        /// When an unreachable upstream is probed next, and when an alive one may be suspected again.
        Core::TimePoint nextProbeAt;
        std::chrono::milliseconds retryDelay { 0 };
    };

    void startProbe(Core::UpstreamId, State&);
    void becomeAlive(Core::UpstreamId, State&);
    void becomeUnreachable(Core::UpstreamId, State&, LivenessProbeResult);

    Core::Clock const& m_clock;
    LivenessOptions m_options;
    LivenessHooks m_hooks;
    absl::flat_hash_map<Core::UpstreamId, State> m_states;
};

}
