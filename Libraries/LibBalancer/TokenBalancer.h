#pragma once

#include <LibBalancer/AdmissionFilter.h>
#include <LibBalancer/FlowLog.h>
#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibLoad/Load.h>
#include <LibPlacement/Placement.h>
#include <LibTelemetry/Telemetry.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace Chicorytally::Balancer {

struct TokenBalancerOptions {
    /// Identifies this balancer in reports to others.
    Core::VmId self;
    Core::ZoneId zone;
    /// Names for log lines; a zone without a name is logged by its ID.
    absl::flat_hash_map<Core::ZoneId, std::string> zoneNames;
    std::uint64_t randomSeed { 0 };
    std::size_t maximumFlows { 100'000 };
    Directory::DirectoryOptions directory;
    Load::LivenessOptions liveness;
    Load::ReturningUpstreamsOptions returning;
    /// Unset: every open is admitted while there is an upstream.
    std::optional<Load::AdmissionOptions> admission { std::in_place };
    /// Whether the speed of upstreams influences the choice.
    Load::SharedLoadViewOptions loadView;
    /// Whether opens spill over to other zones when the local upstreams are slow.
    Load::SpilloverOptions spillover;
    /// An open that the caller hasn't confirmed within this time makes its upstream suspect. Callers acknowledge the
    /// answer of a responsive upstream after one round trip.
    std::chrono::milliseconds openConfirmationTimeout { 40 };
    /// A request without any answer for this long makes its upstream suspect. Twice the duration of most requests.
    std::chrono::milliseconds silenceTimeout { 200 };
    /// Answers that take longer than this are logged as late.
    std::chrono::milliseconds lateAnswerLimit { 500 };
    /// Another balancer's report is ignored if callers of this one got an answer from the upstream within this time.
    std::chrono::milliseconds recentAnswerWindow { 150 };
    /// An upstream of this balancer's zone that another balancer has reported, and to which no flows pass through this
    /// one, is probed at a random time within this span. Otherwise all balancers of the zone would probe it at once.
    std::chrono::milliseconds reportProbeSpread { 1000 };
    /// A longer interval between two ticks means that the process was paused.
    std::chrono::milliseconds pauseLimit { 250 };
};

struct TokenBalancerHooks {
    /// Starts a probe of the upstream. Its result must be passed to handleProbeResult().
    std::function<void(Core::UpstreamId, Core::Endpoint const&)> startProbe;
    /// Reports an unanswered request or a failure of an upstream to the other balancers.
    std::function<void(Core::UpstreamId, Load::ReportKind)> report;
    /// Sends a reset to the caller, with the caller's last acknowledgement number as sequence number.
    std::function<void(Core::FlowKey const&, std::uint32_t sequence)> sendReset;
    /// Time since the directory was last known to hold every entry of the discovery service; unset if it never was.
    std::function<std::optional<std::chrono::milliseconds>()> viewAge;
};

/// Counters since the start of the process.
struct TokenBalancerCounters {
    std::array<std::uint64_t, Placement::VerdictCount> verdicts {};
    std::array<std::uint64_t, Placement::ReasonCount> reasons {};
    std::uint64_t flowsAborted { 0 };
    std::uint64_t probes { 0 };
    /// Short answers, and upstreams that answered a probe but no request.
    std::uint64_t failures { 0 };
    std::uint64_t pauses { 0 };
};

/// Combines the directory, placement, load and liveness tracking of one balancer. Not thread-safe.
class TokenBalancer {
public:
    TokenBalancer(Core::Clock const&, TokenBalancerOptions, TokenBalancerHooks, Telemetry::Metrics&);
    TokenBalancer(TokenBalancer const&) = delete;
    TokenBalancer& operator=(TokenBalancer const&) = delete;

    Placement::TokenDecision decide(Placement::TokenPacket const&);

    /// Updates from discovery and operators. Older versions and revisions are ignored.
    void applyRoutes(Directory::RouteTable);
    void applyUpstream(Directory::UpstreamEntry);
    void removeUpstream(Core::UpstreamId, Core::Revision);
    void setZoneOutOfService(Core::ZoneId, bool isOutOfService);
    /// Whether the directory holds every entry of the discovery service, as far as this process knows.
    void setComplete(bool isComplete) { m_placer.setDirectoryComplete(isComplete); }

    void handleProbeResult(Core::UpstreamId, Load::LivenessProbeResult);
    /// Handles another balancer's report. An upstream that didn't answer there is probed from here too, before a
    /// request is lost on it.
    void handlePeerReport(Load::PeerReport const&);
    /// What this balancer has observed of at most this many upstreams, for the other balancers.
    Load::LoadReport loadReport(std::size_t maximumUpstreams) const { return m_loadView.report(maximumUpstreams); }
    void handleLoadReport(Load::LoadReport const& report) { m_loadView.handleReport(report); }
    /// Must be called every 50 ms.
    void tick();
    /// Marks upstreams with overdue answers as suspect. Must be called after each batch of packets; cheap when no
    /// answer is overdue.
    void suspectSilentUpstreams();

    /// Whether this balancer has routes and reaches at least one upstream that accepts new flows.
    bool canServe() const;
    Directory::UpstreamDirectory const& directory() const { return m_directory; }
    TokenBalancerCounters const& counters() const { return m_counters; }
    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t unreachableCount() const { return m_liveness.unreachableCount(); }
    std::size_t lostZoneCount() const { return m_zones.lostCount(); }
    std::size_t failingCount() const { return m_failures.failingCount(); }
    std::size_t spillingCount() const { return m_spillover.spillingCount(); }
    Load::SharedLoadView const& loadView() const { return m_loadView; }
    Load::SelectorCounters const& selectorCounters() const { return m_choice.counters(); }

private:
    Directory::DirectoryHooks directoryHooks();
    Load::LivenessHooks livenessHooks();
    Load::ReturningUpstreamsHooks returningHooks();
    Load::ZoneReachabilityHooks zoneHooks();
    Placement::TokenFlowHooks flowHooks();
    Placement::TokenPlacerHooks placerHooks();
    bool acceptsSoon(Core::ServiceId, std::chrono::milliseconds) const;
    void handleAnswer(Core::FlowKey const&, Placement::TokenFlow const&, Placement::TokenResponse const&);
    void recordReturn(Core::UpstreamId);
    void recordFailure(Core::UpstreamId, std::string_view symptom);
    void handleStall(Core::UpstreamId);
    void learnSpeed(Core::FlowKey const&, Placement::TokenFlow const&, Placement::TokenResponse const&);
    std::string nameOf(Core::UpstreamId) const;
    std::string nameOf(Core::ZoneId) const;
    void handleUnlisted(Directory::UpstreamRecord const&);
    void abortFlows(Core::UpstreamId, std::string_view cause, Core::TimePoint openedBefore = Core::TimePoint::max());
    void suspectReported(Directory::UpstreamRecord const&);
    bool detectPause();
    bool hasFlows(Core::UpstreamId) const;
    std::vector<Core::UpstreamId> probeSample(Core::ZoneId, std::size_t count);
    void recordZoneAnswer(Core::UpstreamId);
    void recordZoneProbe(Core::UpstreamId, Load::LivenessProbeResult);

    Core::Clock const& m_clock;
    TokenBalancerOptions m_options;
    TokenBalancerHooks m_hooks;
    Telemetry::Histogram& m_answerTimes;
    FlowLog m_log;
    TokenBalancerCounters m_counters;
    Directory::UpstreamDirectory m_directory;
    Load::UpstreamLoadCounter m_load;
    Load::UpstreamLiveness m_liveness;
    Load::ZoneReachability m_zones;
    Load::ShortResponseDetector m_answerSizes { {} };
    Load::RequestFailureDetector m_failures;
    Load::ReturningUpstreams m_returning;
    Load::UpstreamSpeed m_speeds;
    Load::SharedLoadView m_loadView;
    Load::SpilloverControl m_spillover;
    Load::LeastLoadedSelector m_choice;
    /// Unset if admission control is turned off.
    std::optional<AdmissionFilter> m_admission;
    Placement::TokenFlowTable m_flows;
    Placement::TokenPlacer m_placer;
    std::mt19937_64 m_random;
    Core::TimePoint m_lastTick;
    Core::TimePoint m_lastSweep;
};

}
