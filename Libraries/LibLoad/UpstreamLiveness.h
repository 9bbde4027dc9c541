#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace Chicorytally::Load {

enum class Liveness : std::uint8_t {
    Alive,
    /// The upstream is silent and being probed. New flows avoid it.
    Suspect,
    /// Probes are refused or get no answer. New flows avoid the upstream. Its flows are lost only if haveFlowsEnded().
    Unreachable,
};

std::string_view toString(Liveness);

/// Result of a probe of an upstream.
enum class LivenessProbeResult : std::uint8_t {
    Answered,
    /// The VM is reachable, but the connection was reset: no process listens on the port, or the upstream has as many
    /// connections as it accepts.
    Refused,
    /// As Refused, but the upstream is draining: it may close its listener before it has sent its last responses.
    Closing,
    /// As Refused, after the upstream was draining and service discovery removed its entry.
    Ended,
    NoAnswer,
    /// The probe couldn't be made for a local reason.
    NotMade,
};

std::string_view toString(LivenessProbeResult);

/// Why an upstream is probed.
enum class SuspicionReason : std::uint8_t {
    /// Requests in flight got no response.
    SilentRequests,
    /// A caller sent its opening packet again.
    UnansweredOpen,
    /// Service discovery no longer lists the upstream.
    Unlisted,
    /// Another balancer got no answer from the upstream.
    Reported,
    /// Other upstreams of the zone don't answer.
    ZoneSilent,
};

std::string_view toString(SuspicionReason);

/// What was seen of an upstream while it was unreachable.
struct UpstreamLoss {
    Core::TimePoint lostAt;
    /// Probes that were refused since the upstream became suspect.
    unsigned refusedProbes { 0 };
    /// Time from the first to the last of them.
    Core::TimePoint::duration refusedFor { 0 };
};

struct LivenessOptions {
    /// Number of consecutive unanswered or refused probes that make an upstream unreachable.
    unsigned probesToConfirm { 2 };
    /// The same if this many listed upstreams are suspect while none answers. Then this balancer's own link may have
    /// failed, or be full for some hundred milliseconds.
    std::size_t suspectsForDoubt { 3 };
    unsigned probesToConfirmInDoubt { 6 };
    /// The same for an upstream that was suspected within slowMemory although it was alive. A process that is slow to
    /// accept connections drops probes while its queue is full.
    unsigned probesToConfirmIfSlow { 4 };
    /// Overloads last for some seconds, and slow upstreams are suspected about once a second.
    std::chrono::milliseconds slowMemory { 5000 };
    /// Delay before a listed upstream that refused a probe is probed again. It may be at its connection limit for a
    /// moment; a longer delay costs requests on idle flows of upstreams that have crashed.
    std::chrono::milliseconds refusalRetry { 50 };
    /// How long an upstream without an entry must refuse all probes, and make no progress, until its process counts as
    /// ended. Entries of a busy upstream may lapse for a moment, and its connection limit may be reached meanwhile.
    std::chrono::milliseconds endConfirmation { 1000 };
    /// Delay before an unlisted upstream that refused a probe is probed again.
    std::chrono::milliseconds unlistedRefusalRetry { 200 };
    /// A suspect that answered a probe isn't probed again for this long, as a slow upstream is silent without having
    /// failed.
    std::chrono::milliseconds probeHoldoff { 1000 };
    /// Interval of the probes that check whether an unreachable upstream is back; doubles up to the maximum. A closing
    /// upstream is probed again after the first interval.
    std::chrono::milliseconds firstRetry { 500 };
    std::chrono::milliseconds maximumRetry { 2000 };
};

struct LivenessHooks {
    /// Starts a probe of the upstream. Its result must be passed to probeEnded().
    std::function<void(Core::UpstreamId)> startProbe;
    /// Whether flows to the upstream pass through this balancer. An unlisted upstream is only probed for their sake.
    std::function<bool(Core::UpstreamId)> hasFlows;
    /// A probe that was triggered by the balancer's own traffic got no answer. Called once for each suspicion.
    std::function<void(Core::UpstreamId)> probeUnanswered;
    /// The upstream answered a probe, but not the requests that triggered it.
    std::function<void(Core::UpstreamId)> stalled;
    /// The upstream became unreachable, with the reason of the suspicion and the result of the last probe.
    std::function<void(Core::UpstreamId, SuspicionReason, LivenessProbeResult)> lost;
    /// The flows of an unreachable upstream have ended, with the reason of the suspicion.
    std::function<void(Core::UpstreamId, SuspicionReason)> flowsEnded;
    /// An unreachable upstream answered.
    std::function<void(Core::UpstreamId)> regained;
};

/// Detects upstreams that went silent from the traffic of this balancer, and confirms each by probes. Flows are
/// considered lost only if nothing answers at the address, or if the process has no entry and refuses all probes: the
/// VM of a process that has ended resets its flows itself, and a process at its connection limit refuses probes as
/// well. Not thread-safe.
class UpstreamLiveness {
public:
    UpstreamLiveness(Core::Clock const&, LivenessOptions, LivenessHooks);

    /// Records that a caller acknowledged new data of the upstream.
    void noteProgress(Core::UpstreamId);
    /// Suspects and probes the upstream unless it has made progress since the given time or answered a probe recently.
    /// Returns false if it isn't a suspect afterwards.
    bool suspect(Core::UpstreamId, SuspicionReason, Core::TimePoint silentSince);
    /// Treats the upstream as suspect and probes it after the delay, unless it has made progress since the given time.
    void suspectAfter(Core::UpstreamId, SuspicionReason, Core::TimePoint silentSince, std::chrono::milliseconds delay);
    void probeEnded(Core::UpstreamId, LivenessProbeResult);
    /// Records that service discovery no longer lists the upstream. While it has flows, it is probed until it no longer
    /// answers.
    void noteUnlisted(Core::UpstreamId);
    /// Discards earlier evidence because service discovery lists the upstream again or its process was restarted.
    void reset(Core::UpstreamId);
    void forget(Core::UpstreamId upstream) { m_states.erase(upstream); }
    /// Probes the upstream at once if it is unreachable, because something near it answered.
    void retry(Core::UpstreamId);
    /// Starts the probes that are due.
    void tick();

    Liveness livenessOf(Core::UpstreamId) const;
    /// Whether packets of the upstream's flows get no response at all, or its process has ended.
    bool haveFlowsEnded(Core::UpstreamId) const;
    std::size_t unreachableCount() const;
    /// The present loss of an unreachable upstream, or the last one of another.
    UpstreamLoss lossOf(Core::UpstreamId) const;

private:
    struct State {
        Liveness liveness { Liveness::Alive };
        SuspicionReason suspicion { SuspicionReason::SilentRequests };
        Core::TimePoint progressAt;
        Core::TimePoint suspectSince;
        bool isProbing { false };
        bool isListed { true };
        unsigned unansweredProbes { 0 };
        /// Consecutive probes without any answer.
        unsigned silentProbes { 0 };
        bool haveFlowsEnded { false };
        /// When a suspicion last proved wrong.
        std::optional<Core::TimePoint> slowAt {};
        UpstreamLoss loss {};
        Core::TimePoint firstRefusalAt;
        /// When the upstream is probed next, or may be suspected again if it is alive.
        Core::TimePoint nextProbeAt;
        std::chrono::milliseconds retryDelay { 0 };
    };

    bool becomeSuspect(State&, SuspicionReason, Core::TimePoint silentSince);
    void startProbe(Core::UpstreamId, State&);
    void probeUnlisted(Core::UpstreamId, State&);
    void handleFailedProbe(Core::UpstreamId, State&, LivenessProbeResult);
    void handleFailedRetry(Core::UpstreamId, State&, LivenessProbeResult);
    bool hasEvidenceOfEnd(State const&, LivenessProbeResult) const;
    void scheduleProbe(Core::UpstreamId, State&, LivenessProbeResult);
    void endFlows(Core::UpstreamId, State&);
    unsigned probesToConfirm(State const&) const;
    void becomeAlive(Core::UpstreamId, State&);
    void becomeUnreachable(Core::UpstreamId, State&, LivenessProbeResult);

    Core::Clock const& m_clock;
    LivenessOptions m_options;
    LivenessHooks m_hooks;
    absl::flat_hash_map<Core::UpstreamId, State> m_states;
    /// When any upstream last made progress, or answered or refused a probe.
    Core::TimePoint m_lastAnswerAt;
};

}
