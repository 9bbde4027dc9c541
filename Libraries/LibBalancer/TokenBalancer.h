#pragma once

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
#include <string>
#include <string_view>

namespace Chicorytally::Balancer {

struct TokenBalancerOptions {
    /// The balancer in reports to others.
    Core::VmId self;
    /// Zone of this balancer.
    Core::ZoneId zone;
    /// For logs; a zone without a name is shown by its id.
    absl::flat_hash_map<Core::ZoneId, std::string> zoneNames;
    std::uint64_t randomSeed { 0 };
    std::size_t maximumFlows { 100'000 };
    Directory::DirectoryOptions directory;
    Load::LivenessOptions liveness;
    /// An open that the caller has not gone on with for this long makes its upstream suspect. Callers acknowledge the
    /// answer of a living one after the way there and back.
    std::chrono::milliseconds openConfirmationTimeout { 40 };
    /// A request without any answer for this long makes its upstream suspect; twice the time that most requests take.
    std::chrono::milliseconds silenceTimeout { 200 };
    /// Answers that take longer are logged.
    std::chrono::milliseconds lateAnswerLimit { 500 };
    /// A report of another balancer counts for nothing when callers here got an answer this recently.
    std::chrono::milliseconds recentAnswerWindow { 150 };
    /// A longer time between two ticks means that the process was paused.
    std::chrono::milliseconds pauseLimit { 250 };
};

struct TokenBalancerHooks {
    /// Starts a probe of the upstream; its result goes to handleProbeResult().
    std::function<void(Core::UpstreamId, Core::Endpoint const&)> startProbe;
    /// Tells other balancers what this one found out about an upstream.
    std::function<void(Core::UpstreamId, Load::ReportKind)> report;
    /// Sends a reset to the caller, with its last acknowledgement number as sequence number.
    std::function<void(Core::FlowKey const&, std::uint32_t sequence)> sendReset;
    /// How long ago the directory was known to hold all that discovery lists; nothing before that.
    std::function<std::optional<std::chrono::milliseconds>()> viewAge;
};

/// Counts since the start of the process.
struct TokenBalancerCounters {
    std::array<std::uint64_t, Placement::VerdictCount> verdicts {};
    std::array<std::uint64_t, Placement::ReasonCount> reasons {};
    std::uint64_t flowsAborted { 0 };
    std::uint64_t probes { 0 };
    /// Answers that were short, and upstreams that answered a probe but no request.
    std::uint64_t failures { 0 };
    std::uint64_t pauses { 0 };
};

/// Puts directory, placement, load and liveness of one balancer together. Not thread-safe.
class TokenBalancer {
public:
    TokenBalancer(Core::Clock const&, TokenBalancerOptions, TokenBalancerHooks, Telemetry::Metrics&);
    TokenBalancer(TokenBalancer const&) = delete;
    TokenBalancer& operator=(TokenBalancer const&) = delete;

    Placement::TokenDecision decide(Placement::TokenPacket const&);

    /// What discovery and operators say. Older versions and revisions are ignored.
    void applyRoutes(Directory::RouteTable);
    void applyUpstream(Directory::UpstreamEntry);
    void removeUpstream(Core::UpstreamId, Core::Revision);
    void setZoneOutOfService(Core::ZoneId, bool isOutOfService);
    /// Whether the directory holds all that discovery lists, as far as can be known now.
    void setComplete(bool isComplete) { m_placer.setDirectoryComplete(isComplete); }

    void handleProbeResult(Core::UpstreamId, Load::LivenessProbeResult);
    /// What another balancer found out: an upstream that didn't answer is probed from here before a request is lost on
    /// it.
    void handlePeerReport(Load::PeerReport const&);
    /// To be called every 50 ms.
    void tick();
    /// Looks for upstreams that have gone silent; to be called after each batch of packets, and does little when there
    /// is none.
    void suspectSilentUpstreams();

    /// False while this balancer can't serve: it lacks routes, or reaches no upstream that may get new flows.
    bool canServe() const;
    Directory::UpstreamDirectory const& directory() const { return m_directory; }
    TokenBalancerCounters const& counters() const { return m_counters; }
    std::size_t flowCount() const { return m_flows.size(); }
    std::size_t unreachableCount() const { return m_liveness.unreachableCount(); }
    std::size_t failingCount() const { return m_failures.failingCount(); }

private:
    Directory::DirectoryHooks directoryHooks();
    Load::LivenessHooks livenessHooks();
    Load::ZoneReachabilityHooks zoneHooks();
    Placement::TokenFlowHooks flowHooks();
    Placement::TokenPlacerHooks placerHooks();
    void handleAnswer(Core::FlowKey const&, Placement::TokenFlow const&, Placement::TokenResponse const&);
    void recordFailure(Core::UpstreamId, std::string_view symptom);
    std::string nameOf(Core::UpstreamId) const;
    std::string nameOf(Core::ZoneId) const;
    void handleUnlisted(Directory::UpstreamRecord const&);
    void abortFlows(Core::UpstreamId, std::string_view cause);
    bool detectPause();
    void recordZoneAnswer(Core::UpstreamId);
    void recordZoneProbe(Core::UpstreamId, Load::LivenessProbeResult);

    Core::Clock const& m_clock;
    TokenBalancerOptions m_options;
    TokenBalancerHooks m_hooks;
    Telemetry::Distribution& m_answerTimes;
    FlowLog m_log;
    TokenBalancerCounters m_counters;
    Directory::UpstreamDirectory m_directory;
    Load::UpstreamLoadCounter m_load;
    Load::UpstreamLiveness m_liveness;
    Load::ZoneReachability m_zones;
    Load::ShortResponseDetector m_answerSizes { {} };
    Load::RequestFailureDetector m_failures;
    Load::LeastLoadedSelector m_choice;
    Placement::TokenFlowTable m_flows;
    Placement::TokenPlacer m_placer;
    Core::TimePoint m_lastTick;
    Core::TimePoint m_lastSweep;
};

}
