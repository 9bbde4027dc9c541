#include <LibBalancer/TokenBalancer.h>

#include <algorithm>

namespace Chicorytally::Balancer {

using Load::Liveness;
using Telemetry::Level;
using Telemetry::logEvent;

// Expired records only cost memory, so they can be removed at a slow rate.
static constexpr std::chrono::seconds SweepInterval { 1 };

// Histogram buckets from 1 ms to about 8 s.
static constexpr double ShortestAnswerSeconds = 0.001;
static constexpr double AnswerTimeFactor = 2;
static constexpr std::size_t AnswerTimeBuckets = 14;

TokenBalancer::TokenBalancer(
    Core::Clock const& clock, TokenBalancerOptions options, TokenBalancerHooks hooks, Telemetry::Metrics& metrics)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_answerTimes(metrics.histogram("chicorytally_answer_seconds",
          "Time from a request to the caller's first acknowledgement of its answer",
          Telemetry::exponentialBounds(ShortestAnswerSeconds, AnswerTimeFactor, AnswerTimeBuckets)))
    , m_log(clock)
    , m_directory(clock, m_options.directory, directoryHooks())
    , m_liveness(clock, m_options.liveness, livenessHooks())
    , m_zones(clock, {}, zoneHooks())
    , m_failures(clock, { .self = m_options.self },
          [this](Core::UpstreamId id) {
              logEvent(Level::Warn, "upstream_failing", { { "upstream", nameOf(id) } });
          })
    , m_returning(clock, m_options.returning, returningHooks())
    , m_speeds(clock, {})
    , m_loadView(clock, m_options.self, m_options.loadView, m_directory, m_speeds, m_load)
    , m_spillover(clock, m_options.spillover,
          [this](Core::ServiceId service, bool isSpilling) {
              logEvent(Level::Warn, isSpilling ? "spillover_started" : "spillover_ended",
                  { { "zone", nameOf(m_options.zone) }, { "service", service.value() } });
          })
    , m_choice({ .zone = m_options.zone, .randomSeed = m_options.randomSeed }, m_directory, m_load, m_liveness, m_zones,
          m_failures, m_returning, m_loadView, m_spillover)
    , m_flows(clock, m_options.maximumFlows, flowHooks())
    , m_placer(clock, {}, m_directory, m_flows, placerHooks())
    , m_random(m_options.randomSeed)
    , m_lastTick(clock.now())
    , m_lastSweep(clock.now())
{
    if (m_options.admission)
        m_admission.emplace(clock, *m_options.admission, m_directory, metrics);
}

Directory::DirectoryHooks TokenBalancer::directoryHooks()
{
    return {
        .restarted =
            [this](auto const& record) {
                auto id = record.entry.upstream.id;
                logEvent(Level::Info, "upstream_restarted",
                    { { "upstream", record.entry.upstream.name },
                        { "incarnation", record.entry.incarnation.value() } });
                // The entry may arrive long after the return, when flows of the new process are open.
                abortFlows(id, "restarted", m_returning.newProcessSince(id).value_or(Core::TimePoint::max()));
                m_liveness.reset(id);
                m_returning.forget(id);
                m_speeds.reset(id);
            },
        .unlisted = [this](auto const& record) { handleUnlisted(record); },
        .listedAgain =
            [this](auto const& record) {
                logEvent(Level::Info, "upstream_listed_again", { { "upstream", record.entry.upstream.name } });
                m_liveness.reset(record.entry.upstream.id);
                m_returning.forget(record.entry.upstream.id);
            },
    };
}

Load::LivenessHooks TokenBalancer::livenessHooks()
{
    return {
        .startProbe =
            [this](Core::UpstreamId id) {
                auto const* record = m_directory.find(id);
                if (!record) {
                    m_liveness.forget(id);
                    return;
                }
                ++m_counters.probes;
                m_hooks.startProbe(id, record->entry.upstream.address);
            },
        .hasFlows = [this](Core::UpstreamId id) { return hasFlows(id); },
        .probeUnanswered =
            [this](Core::UpstreamId id) {
                if (m_hooks.report)
                    m_hooks.report(id, Load::ReportKind::Unanswered);
            },
        .stalled = [this](Core::UpstreamId id) { handleStall(id); },
        .lost =
            [this](Core::UpstreamId id, Load::SuspicionReason suspicion, Load::LivenessProbeResult probe) {
                logEvent(Level::Warn, "upstream_lost",
                    { { "upstream", nameOf(id) }, { "suspicion", toString(suspicion) }, { "probe", toString(probe) } });
            },
        .flowsEnded
        = [this](Core::UpstreamId id, Load::SuspicionReason suspicion) { abortFlows(id, toString(suspicion)); },
        .regained = [this](Core::UpstreamId id) { recordReturn(id); },
    };
}

Load::ReturningUpstreamsHooks TokenBalancer::returningHooks()
{
    return {
        .slowStartOf = [this](Core::UpstreamId id) -> std::optional<std::chrono::milliseconds> {
            auto const* record = m_directory.find(id);
            return record ? m_directory.limitsOf(record->entry.service).slowStart : std::nullopt;
        },
        .wasCutOff =
            [this](Core::UpstreamId id, Core::TimePoint since) {
                auto const* record = m_directory.find(id);
                return record && m_zones.wasLostSince(record->entry.upstream.zone, since);
            },
        .upstreamsOfSameService =
            [this](Core::UpstreamId id) {
                std::vector<Core::UpstreamId> upstreams;
                if (auto const* record = m_directory.find(id)) {
                    for (auto const* other : m_directory.upstreamsOf(record->entry.service)) {
                        if (m_directory.acceptsNewFlows(*other))
                            upstreams.push_back(other->entry.upstream.id);
                    }
                }
                return upstreams;
            },
        // Without a reset, as they may be idle flows of a process that has never ended. Their next packet is forwarded
        // all the same; until then they would count as load of the new process.
        .formerFlowsSilent = [this](Core::UpstreamId id, Core::TimePoint lostAt) { m_flows.removeAll(id, lostAt); },
    };
}

Load::ZoneReachabilityHooks TokenBalancer::zoneHooks()
{
    return {
        .probeSample = [this](Core::ZoneId zone, std::size_t count) { return probeSample(zone, count); },
        .lost =
            [this](Core::ZoneId zone) {
                logEvent(Level::Warn, "zone_lost", { { "zone", nameOf(zone) } });
            },
        .regained =
            [this](Core::ZoneId zone) {
                logEvent(Level::Info, "zone_regained", { { "zone", nameOf(zone) } });
                for (auto const* record : m_directory.upstreamsIn(zone))
                    m_liveness.retry(record->entry.upstream.id);
            },
    };
}

Placement::TokenFlowHooks TokenBalancer::flowHooks()
{
    return {
        .opened = [this](Core::UpstreamId id) { m_load.flowOpened(id); },
        .closed = [this](Core::UpstreamId id) { m_load.flowClosed(id); },
        .requestStarted =
            [this](auto const& key, auto const& flow) {
                m_load.requestStarted(flow.upstream);
                if (m_admission)
                    m_admission->noteRequest(key, flow);
            },
        .responseStarted
        = [this](auto const& key, auto const& flow, auto const& answer) { handleAnswer(key, flow, answer); },
        .requestDropped = [this](Core::UpstreamId id) { m_load.requestEnded(id); },
    };
}

Placement::TokenPlacerHooks TokenBalancer::placerHooks()
{
    return {
        .refusalOf =
            [this](Core::ServiceId service, Placement::TokenPacket const& packet) {
                return m_admission ? m_admission->refusalOf(service, packet) : std::string_view {};
            },
        .choose
        = [this](Core::ServiceId service, Core::UpstreamId excluded) { return m_choice.choose(service, excluded); },
        .acceptsSoon
        = [this](Core::ServiceId service, std::chrono::milliseconds limit) { return acceptsSoon(service, limit); },
        .isLost = [this](Core::UpstreamId id) { return m_liveness.haveFlowsEnded(id); },
        .progressed =
            [this](Core::UpstreamId id, Core::TimePoint flowOpenedAt) {
                // Before the liveness, which asks whether the process that answers again is the one that was lost.
                m_returning.noteProgress(id, flowOpenedAt);
                m_liveness.noteProgress(id);
                recordZoneAnswer(id);
            },
        .openUnanswered
        = [this](Core::UpstreamId id,
              Core::TimePoint since) { m_liveness.suspect(id, Load::SuspicionReason::UnansweredOpen, since); },
    };
}

bool TokenBalancer::acceptsSoon(Core::ServiceId service, std::chrono::milliseconds limit) const
{
    return std::ranges::any_of(m_directory.upstreamsOf(service), [&](auto const* record) {
        return m_directory.acceptsNewFlows(*record) && m_directory.slowStartRemaining(*record) <= limit;
    });
}

void TokenBalancer::handleAnswer(
    Core::FlowKey const& key, Placement::TokenFlow const& flow, Placement::TokenResponse const& answer)
{
    m_load.requestEnded(flow.upstream);
    m_answerTimes.record(std::chrono::duration<double>(answer.duration).count());
    if (answer.duration > m_options.lateAnswerLimit)
        m_log.logLateAnswer(key, flow.requestId, nameOf(flow.upstream),
            std::chrono::duration_cast<std::chrono::milliseconds>(answer.duration));
    auto size = m_answerSizes.classify(key.destination, answer.bytes);
    if (size == Load::ResponseSize::Usual)
        learnSpeed(key, flow, answer);
    if (m_admission)
        m_admission->noteResponse(key, flow, answer, size);
    if (size != Load::ResponseSize::RarelyShort)
        return;
    m_log.logShortAnswer(key, flow.requestId, nameOf(flow.upstream), answer.bytes);
    recordFailure(flow.upstream, "short_answer");
}

void TokenBalancer::recordReturn(Core::UpstreamId id)
{
    bool isReportDue = m_returning.noteReturned(id, m_liveness.lossOf(id));
    logEvent(Level::Info, "upstream_regained",
        { { "upstream", nameOf(id) }, { "possibly_cold", m_returning.isPossiblyCold(id) } });
    if (isReportDue && m_hooks.report)
        m_hooks.report(id, Load::ReportKind::Returned);
}

void TokenBalancer::recordFailure(Core::UpstreamId id, std::string_view symptom)
{
    ++m_counters.failures;
    logEvent(Level::Debug, "upstream_failure", { { "upstream", nameOf(id) }, { "sign", symptom } });
    m_failures.noteFailure(id);
    if (m_hooks.report)
        m_hooks.report(id, Load::ReportKind::Failing);
}

void TokenBalancer::learnSpeed(
    Core::FlowKey const& key, Placement::TokenFlow const& flow, Placement::TokenResponse const& answer)
{
    // The time to an acknowledgement with the next request is not the upstream's.
    if (answer.isAcknowledgedLate)
        return;
    m_speeds.noteResponse(flow.upstream, key.destination, answer.duration);
    auto const* route = m_directory.findRoute(key.destination);
    auto const* record = m_directory.find(flow.upstream);
    if (route && route->goal && record)
        m_spillover.noteResponse(
            record->entry.service, record->entry.upstream.zone == m_options.zone, answer.duration, *route->goal);
}

void TokenBalancer::handleStall(Core::UpstreamId id)
{
    if (!m_loadView.explainsSilence(id, m_options.silenceTimeout))
        recordFailure(id, "stalled");
}

std::string TokenBalancer::nameOf(Core::UpstreamId id) const
{
    auto const* record = m_directory.find(id);
    return record ? record->entry.upstream.name : std::string { "forgotten" };
}

std::string TokenBalancer::nameOf(Core::ZoneId zone) const
{
    auto name = m_options.zoneNames.find(zone);
    return name == m_options.zoneNames.end() ? std::to_string(zone.value()) : name->second;
}

Placement::TokenDecision TokenBalancer::decide(Placement::TokenPacket const& packet)
{
    auto decision = m_placer.decide(packet);
    ++m_counters.verdicts[static_cast<std::size_t>(decision.verdict)];
    ++m_counters.reasons[static_cast<std::size_t>(decision.reason)];
    bool isOpen = packet.kind == Placement::PacketKind::Open;
    if (isOpen || decision.verdict != Placement::Verdict::Forward || decision.isFirstPacketSeen)
        m_log.logDecision(packet, decision, { m_directory.version(), m_hooks.viewAge() });
    return decision;
}

void TokenBalancer::applyRoutes(Directory::RouteTable table)
{
    auto previousVersion = m_directory.version();
    auto version = table.version;
    auto routes = table.routes.size();
    if (m_directory.applyRoutes(std::move(table))) {
        logEvent(Level::Info, "routes_applied",
            { { "version", version }, { "former", previousVersion }, { "routes", routes } });
        if (m_admission)
            m_admission->applyRoutes(m_directory.routes());
    } else
        logEvent(Level::Warn, "routes_ignored", { { "version", version }, { "in_force", previousVersion } });
}

void TokenBalancer::applyUpstream(Directory::UpstreamEntry entry)
{
    auto name = entry.upstream.name;
    auto isDraining = entry.upstream.isDraining();
    auto slowStartRemaining = entry.slowStartRemaining;
    auto revision = entry.revision;
    if (m_directory.applyUpstream(std::move(entry)))
        logEvent(Level::Info, "upstream_applied",
            { { "upstream", name }, { "revision", revision.value() }, { "draining", isDraining },
                { "cold_ms", slowStartRemaining.count() } });
}

void TokenBalancer::removeUpstream(Core::UpstreamId id, Core::Revision revision)
{
    m_directory.removeUpstream(id, revision);
}

void TokenBalancer::handleUnlisted(Directory::UpstreamRecord const& record)
{
    auto const& upstream = record.entry.upstream;
    logEvent(Level::Info, "upstream_unlisted",
        { { "upstream", upstream.name }, { "revision", record.entry.revision.value() },
            { "draining", upstream.isDraining() }, { "superseded", record.isSuperseded } });
    if (record.isSuperseded) {
        abortFlows(upstream.id, "superseded");
        m_liveness.forget(upstream.id);
    } else {
        m_liveness.noteUnlisted(upstream.id);
    }
}

void TokenBalancer::abortFlows(Core::UpstreamId id, std::string_view cause, Core::TimePoint openedBefore)
{
    auto flows = m_flows.removeAll(id, openedBefore);
    auto name = nameOf(id);
    for (auto const& flow : flows) {
        m_hooks.sendReset(flow.flow, flow.acknowledgement);
        m_log.logAbortedFlow(flow, name, cause);
    }
    m_counters.flowsAborted += flows.size();
    if (!flows.empty())
        logEvent(
            Level::Info, "flows_given_up", { { "upstream", name }, { "cause", cause }, { "flows", flows.size() } });
}

void TokenBalancer::setZoneOutOfService(Core::ZoneId zone, bool isOutOfService)
{
    logEvent(Level::Info, isOutOfService ? "zone_out" : "zone_in", { { "zone", nameOf(zone) } });
    m_directory.setZoneOutOfService(zone, isOutOfService);
}

void TokenBalancer::handleProbeResult(Core::UpstreamId id, Load::LivenessProbeResult result)
{
    logEvent(Level::Info, "upstream_probed", { { "upstream", nameOf(id) }, { "result", toString(result) } });
    recordZoneProbe(id, result);
    auto const* record = m_directory.find(id);
    bool isDraining = record && record->entry.upstream.isDraining();
    if (isDraining && result == Load::LivenessProbeResult::Refused)
        result = record->isListed ? Load::LivenessProbeResult::Closing : Load::LivenessProbeResult::Ended;
    m_liveness.probeEnded(id, result);
}

bool TokenBalancer::hasFlows(Core::UpstreamId id) const { return m_load.loadOf(id).openFlows != 0; }

std::vector<Core::UpstreamId> TokenBalancer::probeSample(Core::ZoneId zone, std::size_t count)
{
    auto records = m_directory.upstreamsIn(zone);
    std::ranges::shuffle(records, m_random);
    // Suspects would bias the sample towards silence.
    std::stable_partition(records.begin(), records.end(),
        [this](auto const* record) { return m_liveness.livenessOf(record->entry.upstream.id) == Liveness::Alive; });
    std::vector<Core::UpstreamId> sample;
    for (auto const* record : records) {
        auto id = record->entry.upstream.id;
        bool isEvidence = !record->entry.upstream.isDraining() && m_liveness.livenessOf(id) != Liveness::Unreachable;
        if (sample.size() < count && isEvidence
            && m_liveness.suspect(id, Load::SuspicionReason::ZoneSilent, m_clock.now()))
            sample.push_back(id);
    }
    return sample;
}

void TokenBalancer::recordZoneAnswer(Core::UpstreamId id)
{
    if (auto const* record = m_directory.find(id))
        m_zones.noteAnswer(record->entry.upstream.zone);
}

void TokenBalancer::recordZoneProbe(Core::UpstreamId id, Load::LivenessProbeResult result)
{
    auto const* record = m_directory.find(id);
    if (!record || result == Load::LivenessProbeResult::NotMade)
        return;
    auto const& upstream = record->entry.upstream;
    if (result != Load::LivenessProbeResult::NoAnswer)
        m_zones.noteAnswer(upstream.zone);
    else if (record->isListed && !upstream.isDraining())
        m_zones.noteSilent(upstream.zone, id);
}

void TokenBalancer::handlePeerReport(Load::PeerReport const& report)
{
    auto id = report.upstream;
    auto const* record = m_directory.find(id);
    if (!record)
        return;
    switch (report.kind) {
    case Load::ReportKind::Unanswered:
        logEvent(
            Level::Info, "upstream_reported", { { "upstream", nameOf(id) }, { "reporter", report.reporter.value() } });
        suspectReported(*record);
        return;
    case Load::ReportKind::Failing:
        m_failures.notePeerReport(id, report.reporter);
        return;
    case Load::ReportKind::Returned:
        if (m_returning.noteReported(id))
            logEvent(Level::Info, "upstream_return_reported",
                { { "upstream", nameOf(id) }, { "reporter", report.reporter.value() } });
        return;
    }
}

void TokenBalancer::suspectReported(Directory::UpstreamRecord const& record)
{
    auto id = record.entry.upstream.id;
    auto silentSince = m_clock.now() - m_options.recentAnswerWindow;
    if (hasFlows(id)) {
        m_liveness.suspect(id, Load::SuspicionReason::Reported, silentSince);
    } else if (record.entry.upstream.zone == m_options.zone) {
        std::uniform_int_distribution<std::int64_t> delay { 0, m_options.reportProbeSpread.count() };
        m_liveness.suspectAfter(
            id, Load::SuspicionReason::Reported, silentSince, std::chrono::milliseconds { delay(m_random) });
    }
}

bool TokenBalancer::detectPause()
{
    auto elapsed = m_clock.now() - std::exchange(m_lastTick, m_clock.now());
    if (elapsed < m_options.pauseLimit)
        return false;
    ++m_counters.pauses;
    logEvent(
        Level::Warn, "paused", { { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count() } });
    return true;
}

void TokenBalancer::suspectSilentUpstreams()
{
    for (auto const& open : m_flows.takeUnconfirmedOpens(m_options.openConfirmationTimeout))
        m_liveness.suspect(open.upstream, Load::SuspicionReason::UnansweredOpen, open.since);
    for (auto const& silent : m_flows.takeUnansweredRequests(m_options.silenceTimeout))
        m_liveness.suspect(silent.upstream, Load::SuspicionReason::SilentRequests, silent.since);
}

void TokenBalancer::tick()
{
    if (detectPause())
        m_flows.restartRequestTimers();
    suspectSilentUpstreams();
    m_liveness.tick();
    if (auto age = m_hooks.viewAge())
        m_returning.noteSynchronised(m_clock.now() - *age);
    m_returning.tick();
    if (m_admission)
        m_admission->tick();
    m_loadView.tick();
    m_spillover.tick();
    m_log.logSuppressedLines();
    if (m_clock.now() - m_lastSweep < SweepInterval)
        return;
    m_lastSweep = m_clock.now();
    m_flows.expire(m_directory.idleTimeout());
    m_directory.sweep();
    m_placer.sweep();
    m_failures.removeExpired();
    m_returning.removeExpired();
    m_speeds.removeExpired();
}

bool TokenBalancer::canServe() const
{
    // If this balancer's zone is cut off from all upstreams that accept new flows, balancers in other zones serve its
    // callers better.
    return m_directory.version() != 0 && m_directory.any([this](auto const& record) {
        auto const& upstream = record.entry.upstream;
        return m_directory.acceptsNewFlows(record) && m_zones.isReachable(upstream.zone)
            && m_liveness.livenessOf(upstream.id) != Liveness::Unreachable;
    });
}

}
