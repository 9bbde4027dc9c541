// Probe scheduling and peer messages of LoadController::State.

#include <LibLoad/LoadState.h>

#include <limits>

namespace Chicorytally::Load {

static std::int64_t toSigned(std::uint64_t value) { return static_cast<std::int64_t>(value); }

static std::int32_t toMilliseconds(std::chrono::nanoseconds duration)
{
    auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::int32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::int32_t>::max()));
}

std::vector<ProbeTarget> LoadController::State::probesDue()
{
    std::vector<ProbeTarget> result;
    auto alive = m_openers.aliveVms();
    for (auto& [id, upstream] : m_upstreams) {
        if (upstream->upstream.healthUrl.empty() || upstream->isRemoved || upstream->nextProbe > now())
            continue;
        auto probers = probersOf(id, alive);
        if (std::ranges::find(probers, m_options.self) == probers.end())
            continue;
        // The first interval of each upstream is shorter by a varying amount, so that probes don't all fall into one
        // tick.
        bool isFirst = upstream->nextProbe == Core::TimePoint {};
        auto phase = std::chrono::milliseconds { id.value() % static_cast<std::uint64_t>(ProbeInterval.count()) };
        upstream->nextProbe = now() + (isFirst ? phase : ProbeInterval);
        result.push_back({ .upstream = id, .url = upstream->upstream.healthUrl });
    }
    return result;
}

void LoadController::State::receive(Core::VmId sender, Messages::LoadMessage const& message)
{
    if (message.__isset.healthResults) {
        receiveHealth(sender, message.healthResults);
        return;
    }
    if (!message.__isset.upstreamCounts)
        return;
    auto const& counts = message.upstreamCounts;
    if (counts.__isset.lostOpener) {
        m_openers.receiveLostCounts(counts, now());
        return;
    }
    m_openers.receiveCounts(sender, counts, now());
    receiveStartAges(counts);
}

void LoadController::State::receiveStartAges(Messages::UpstreamCounts const& message)
{
    for (auto const& count : message.counts) {
        auto* upstream = find(Core::UpstreamId { static_cast<std::uint64_t>(count.upstream) });
        if (upstream && count.__isset.startAgeMilliseconds)
            upstream->slowStart.applyPeerAge(std::chrono::milliseconds { count.startAgeMilliseconds }, now());
    }
}

static UpstreamReport toReport(Messages::HealthResult const& result)
{
    UpstreamReport report { .isHealthy = result.healthy };
    if (result.__isset.latencyMicroseconds)
        report.latency = std::chrono::microseconds { result.latencyMicroseconds };
    if (result.__isset.reportedConnections)
        report.connections = static_cast<std::uint32_t>(std::max(0, result.reportedConnections));
    if (result.__isset.reportedBusySlots)
        report.busySlots = static_cast<std::uint32_t>(std::max(0, result.reportedBusySlots));
    if (result.__isset.generation)
        report.generation = result.generation;
    if (result.__isset.ageMilliseconds)
        report.age = std::chrono::milliseconds { std::max(0, result.ageMilliseconds) };
    return report;
}

void LoadController::State::receiveHealth(Core::VmId sender, Messages::HealthResults const& message)
{
    for (auto const& result : message.results) {
        auto* upstream = find(Core::UpstreamId { static_cast<std::uint64_t>(result.upstream) });
        if (!upstream)
            continue;
        auto report = toReport(result);
        if (report.age < HealthTracker::VerdictLifetime)
            upstream->health.recordPeerVerdict(sender, report.isHealthy, now());
        applyReport(*upstream, report);
    }
}

static Messages::LoadMessage makeCountsMessage(Messages::UpstreamCounts const& counts)
{
    Messages::LoadMessage message;
    message.__set_upstreamCounts(counts);
    return message;
}

void LoadController::State::addCounts(std::vector<Messages::LoadMessage>& messages, bool isFull)
{
    Messages::UpstreamCounts header;
    header.__set_incarnation(toSigned(m_options.incarnation.value()));
    header.__set_order(++m_order);
    std::vector<std::int64_t> openers;
    for (auto id : m_openers.publishedOpeners())
        openers.push_back(toSigned(id.value()));
    if (isFull)
        header.__set_openers(openers);
    auto batch = header;
    for (auto& [id, upstream] : m_upstreams) {
        auto flows = upstream->flows.open();
        if (!isFull && upstream->publishedFlows == flows)
            continue;
        Messages::UpstreamCount count;
        count.upstream = toSigned(id.value());
        count.openFlows = static_cast<std::int32_t>(flows);
        if (isFull)
            count.__set_startAgeMilliseconds(toMilliseconds(upstream->slowStart.age(now())));
        upstream->publishedFlows = flows;
        batch.counts.push_back(count);
        if (batch.counts.size() < MaxEntriesPerMessage)
            continue;
        messages.push_back(makeCountsMessage(batch));
        batch = header;
    }
    // A member without upstreams must still confirm the other openers.
    if (!batch.counts.empty() || (isFull && messages.empty()))
        messages.push_back(makeCountsMessage(batch));
}

void LoadController::State::addLostCounts(std::vector<Messages::LoadMessage>& messages) const
{
    for (auto const& lost : m_openers.lostOpeners()) {
        Messages::UpstreamCounts header;
        header.__set_lostOpener(toSigned(lost.id.value()));
        header.__set_lostForMilliseconds(toMilliseconds(now() - lost.lostAt));
        auto batch = header;
        for (auto const& [id, upstream] : m_upstreams) {
            Messages::UpstreamCount count;
            count.upstream = toSigned(id.value());
            auto bound = m_openers.lostFlowBound(lost.id, id, upstream->upstream.maxConnections);
            count.openFlows = static_cast<std::int32_t>(bound);
            batch.counts.push_back(count);
            if (batch.counts.size() < MaxEntriesPerMessage)
                continue;
            messages.push_back(makeCountsMessage(batch));
            batch = header;
        }
        if (!batch.counts.empty())
            messages.push_back(makeCountsMessage(batch));
    }
}

void LoadController::State::addHealthResults(std::vector<Messages::LoadMessage>& messages, bool isDue)
{
    Messages::HealthResults batch;
    auto flush = [&] {
        if (batch.results.empty())
            return;
        Messages::LoadMessage message;
        message.__set_healthResults(batch);
        messages.push_back(std::move(message));
        batch = {};
    };
    for (auto& [id, upstream] : m_upstreams) {
        auto verdict = upstream->health.verdictOf(m_options.self);
        if (!verdict || !upstream->ownReport || now() - upstream->ownReportAt > HealthTracker::VerdictLifetime)
            continue;
        auto const& report = *upstream->ownReport;
        bool hasChanged = verdict != upstream->publishedVerdict || report.generation != upstream->publishedGeneration;
        if (!isDue && !hasChanged)
            continue;
        upstream->publishedVerdict = verdict;
        upstream->publishedGeneration = report.generation;
        Messages::HealthResult result;
        result.upstream = toSigned(id.value());
        result.healthy = *verdict;
        if (report.latency)
            result.__set_latencyMicroseconds(static_cast<std::int32_t>(
                std::min<std::int64_t>(report.latency->count(), std::numeric_limits<std::int32_t>::max())));
        if (report.connections)
            result.__set_reportedConnections(static_cast<std::int32_t>(*report.connections));
        if (report.busySlots)
            result.__set_reportedBusySlots(static_cast<std::int32_t>(*report.busySlots));
        if (report.generation)
            result.__set_generation(*report.generation);
        result.__set_ageMilliseconds(toMilliseconds(report.age + (now() - upstream->ownReportAt)));
        batch.results.push_back(result);
        if (batch.results.size() >= MaxEntriesPerMessage / 2)
            flush();
    }
    flush();
}

std::vector<OutgoingMessage> LoadController::State::tick()
{
    eraseRemovedUpstreams();
    releaseOrphans();
    updateHealth();
    for (auto& [id, service] : m_services)
        updateService(*service);

    std::vector<Messages::LoadMessage> messages;
    if (m_openers.version() != m_publishedVersion)
        m_repeatFullCountsUntil = now() + FullCountRepeatPeriod;
    // A changed opener set is published at once, because added openers wait for it.
    bool isFull = now() >= m_nextFullCounts || m_openers.version() != m_publishedVersion;
    if (isFull) {
        addCounts(messages, true);
        addLostCounts(messages);
        m_publishedVersion = m_openers.version();
        m_nextFullCounts = now() + (now() < m_repeatFullCountsUntil ? CountInterval : FullCountInterval);
        m_nextCounts = now() + CountInterval;
    } else if (now() >= m_nextCounts) {
        addCounts(messages, false);
        m_nextCounts = now() + CountInterval;
    }
    bool isHealthDue = now() >= m_nextHealth;
    addHealthResults(messages, isHealthDue);
    if (isHealthDue)
        m_nextHealth = now() + HealthInterval;

    std::vector<OutgoingMessage> result;
    for (auto receiver : m_openers.receivers()) {
        for (auto const& message : messages)
            result.push_back({ .receiver = receiver, .message = message });
    }
    return result;
}

}
