#include <LibRelay/LoadExchange.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace Chicorytally::Relay {

using std::chrono::duration;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

// RFC 791 and RFC 768, without options.
static constexpr std::size_t UdpAndIpHeaderSize = 28;

// With the headers, the tag, the envelope and the addresses, messages have about 400 bytes: the overhead is a quarter,
// and 37 balancers can send more than two a second within their budget.
static constexpr std::size_t MaximumRecordBytes = 288;

// docs/hard-load.md, section 3.4: 1 KB/s in a fleet of 37, 3 KB/s in a fleet of 300. Not more in larger ones, where
// 5 KB/s have to suffice for all control traffic.
static constexpr double SmallFleet = 37;
static constexpr double SmallFleetBytesPerSecond = 1000;
static constexpr double LargeFleet = 300;
static constexpr double LargeFleetBytesPerSecond = 3000;
// Leaves a tenth for keep-alives, contacts and answers to them.
static constexpr double RecordShare = 0.9;

// Observations pass on average 6 balancers until they are known to 300, which leaves about 300 ms for each.
static constexpr milliseconds RoundInterval { 75 };
// Budget that may be saved up, so that a few observations spread fast in a quiet fleet.
static constexpr milliseconds Burst { 1000 };
// Urgent messages hold unusual records only. They are small, so that they are sent several times as often as full ones,
// and must not displace the other records.
static constexpr double UrgentShare = 0.5;
// Two or three records. Larger messages would be fewer: with 400 bytes, 2% of 37 balancers missed news within 2 s.
static constexpr std::size_t MaximumUrgentRecordBytes = 96;
// Ordinary messages leave room for two urgent ones.
static constexpr double ReservedBytes = 250;
static constexpr milliseconds KeepAliveInterval { 5000 };
// After the start and after a partition, views are filled faster: with 300 balancers and 15 s at the usual interval, 7%
// of the balancers were missing from so many views that news took longer than 2 s to reach them.
static constexpr milliseconds FastKeepAliveInterval { 500 };
static constexpr milliseconds FastKeepAliveTime { 15'000 };
// Desynchronises the balancers of a fleet that starts at once.
static constexpr double Jitter = 0.2;

// A view of fewer addresses may be cut off by a few failures.
static constexpr std::size_t SmallView = 4;
// Doubles up to FollowerContactInterval, because the view of a fleet of few balancers stays small.
static constexpr milliseconds FirstContactInterval { 500 };
// A newcomer whose seeds are partly dead finds a live one within seconds.
static constexpr milliseconds EmptyViewContactInterval { 1000 };
// A seed contacts a follower that isn't in its view, so that the parts of a fleet find each other after a partition.
static constexpr milliseconds FollowerContactInterval { 8000 };
// A balancer without followers contacts a seed that isn't in its view. Multiplied by the size of the fleet, so that all
// balancers together contact the seeds at most once in 3 s.
static constexpr milliseconds SeedContactInterval { 3000 };

// A tenth of the records' share of a message; the view refreshes within seconds.
static constexpr std::size_t PeersPerMessage = 3;
// For messages without records. Makes a newcomer's view larger than SmallView at once.
static constexpr std::size_t PeersPerKeepAlive = 8;

// Within this time a balancer of a busy fleet of 300 hears of nearly all reporters.
static constexpr milliseconds ReporterRetention { 60'000 };
// Bounds the memory to some 50 KB; the budget doesn't depend on greater numbers.
static constexpr std::size_t MaximumReporters = 1024;
// Estimates of the size of the fleet halve in 70 s unless they are confirmed, and are passed on as they have decayed.
static constexpr duration<double> FleetSizeDecay { 100 };
// Parts of a fleet have found each other. Estimates that are not confirmed for 40 s decay by this factor, too.
static constexpr double GrowthOfMergedFleet = 1.5;
static constexpr milliseconds ExpiryInterval { 500 };

// An observation that is repeated within this time isn't forwarded again. The sequence wraps after 9 hours.
static constexpr milliseconds SequenceUnit { 512 };

LoadExchange::LoadExchange(Core::Clock const& clock, LoadExchangeOptions options, LoadExchangeHooks hooks)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_random(m_options.randomSeed)
    , m_peers(clock, { .self = m_options.address })
    , m_records(clock, {})
    , m_contactInterval(FirstContactInterval)
    , m_startedAt(clock.now())
    , m_fastKeepAlivesUntil(m_startedAt + FastKeepAliveTime)
    , m_nextRoundAt(m_startedAt)
    , m_nextKeepAliveAt(m_startedAt)
    , m_nextContactAt(m_startedAt)
    , m_nextExpiryAt(m_startedAt)
{
    std::erase(m_options.seeds, m_options.address);
}

double LoadExchange::decayedFleetSize() const
{
    duration<double> age = m_clock.now() - m_fleetSizeAt;
    return m_fleetSize * std::exp(-age / FleetSizeDecay);
}

void LoadExchange::noteFleetSize(double size)
{
    // A peer that misreports can't raise the budget further.
    size = std::min(size, LargeFleet);
    auto known = decayedFleetSize();
    if (size < known)
        return;
    if (size > GrowthOfMergedFleet * known)
        m_fastKeepAlivesUntil = m_clock.now() + FastKeepAliveTime;
    m_fleetSize = size;
    m_fleetSizeAt = m_clock.now();
}

std::size_t LoadExchange::estimatedFleetSize() const
{
    auto counted = std::max(m_reporters.size(), m_peers.size()) + 1;
    return std::max(counted, static_cast<std::size_t>(decayedFleetSize()));
}

double LoadExchange::byteBudget() const
{
    constexpr double Slope = (LargeFleetBytesPerSecond - SmallFleetBytesPerSecond) / (LargeFleet - SmallFleet);
    auto size = std::clamp(static_cast<double>(estimatedFleetSize()), SmallFleet, LargeFleet);
    return RecordShare * (SmallFleetBytesPerSecond + Slope * (size - SmallFleet));
}

nanoseconds LoadExchange::withJitter(nanoseconds time)
{
    std::uniform_real_distribution<double> factor { 1 - Jitter, 1 + Jitter };
    return duration_cast<nanoseconds>(time * factor(m_random));
}

ReportSequence LoadExchange::currentSequence() const
{
    auto sinceStart = duration_cast<milliseconds>(m_clock.now() - m_startedAt).count();
    auto time = m_options.incarnation.value() + static_cast<std::uint64_t>(sinceStart);
    return static_cast<ReportSequence>(time / static_cast<std::uint64_t>(SequenceUnit.count()));
}

void LoadExchange::tick()
{
    if (m_clock.now() >= m_nextExpiryAt)
        removeExpired();
    if (m_clock.now() >= m_nextContactAt)
        contactStrangers();
    if (m_clock.now() >= m_nextRoundAt)
        sendRound();
}

void LoadExchange::removeExpired()
{
    m_nextExpiryAt = m_clock.now() + ExpiryInterval;
    m_peers.removeExpired();
    m_records.removeExpired();
    absl::erase_if(m_reporters, [this](auto const& item) { return m_clock.now() - item.second >= ReporterRetention; });
}

void LoadExchange::appendOwn(LoadReportWriter& writer, std::size_t forwardableCount, Draft& draft)
{
    auto forwardedBytes
        = std::min(forwardableCount * (LoadRecordHeaderSize + TypicalLoadRecordSize), MaximumRecordBytes / 2);
    auto ownBytes = MaximumRecordBytes - forwardedBytes;
    auto maximumEntries = (ownBytes - LoadRecordHeaderSize) / TypicalLoadRecordSize;
    auto report = m_hooks.makeReport(maximumEntries);
    auto sequence = currentSequence();
    for (auto const& observation : report.upstreams) {
        LoadRecord record { m_options.self, sequence, observation };
        if (draft.ownEntries == maximumEntries || !writer.add(record))
            break;
        ++draft.ownEntries;
        // Own unusual records are sent to further balancers like those of others.
        if (isUnusual(observation))
            m_records.add(record);
    }
}

LoadExchange::Draft LoadExchange::compose(bool isUrgent, std::vector<LoadRecord> const& forwardable)
{
    Draft draft { .message = keepAlive(isUrgent ? 0 : PeersPerMessage) };
    LoadReportWriter writer { isUrgent ? MaximumUrgentRecordBytes : MaximumRecordBytes };
    if (!isUrgent)
        appendOwn(writer, forwardable.size(), draft);
    for (auto const& record : forwardable) {
        if ((isUrgent && !isUnusual(record.observation)) || !writer.add(record))
            break;
        draft.forwarded.push_back({ record.reporter, record.observation.upstream });
    }
    if (!writer.bytes().empty()) {
        draft.message.__set_recordVersion(LoadRecordVersion);
        draft.message.__set_records(writer.bytes());
    } else {
        draft.message = keepAlive(PeersPerKeepAlive);
    }
    return draft;
}

Messages::LoadReports LoadExchange::keepAlive(std::size_t peerCount)
{
    Messages::LoadReports message;
    if (auto peers = m_peers.encodeSample(peerCount, m_random); !peers.empty())
        message.__set_peers(peers);
    message.__set_fleetSize(static_cast<std::int32_t>(std::min<std::size_t>(estimatedFleetSize(), MaximumReporters)));
    return message;
}

std::size_t LoadExchange::send(Core::Endpoint const& peer, Messages::LoadReports const& message)
{
    auto size = m_hooks.send(peer, message);
    if (size == 0) {
        ++m_counters.sendFailures;
        return 0;
    }
    ++m_counters.messagesSent;
    m_counters.bytesSent += size + UdpAndIpHeaderSize;
    return size + UdpAndIpHeaderSize;
}

void LoadExchange::refillAllowances()
{
    constexpr double BurstSeconds = duration<double> { Burst }.count();
    auto budget = byteBudget();
    m_allowance.refill(budget, budget * BurstSeconds, m_clock.now());
    m_urgentAllowance.refill(budget * UrgentShare, budget * UrgentShare * BurstSeconds, m_clock.now());
}

void LoadExchange::sendRound()
{
    m_nextRoundAt = m_clock.now() + withJitter(RoundInterval);
    refillAllowances();
    auto peer = m_peers.randomPeer(m_random);
    if (!peer || !m_allowance.has(0))
        return;
    auto forwardable = m_records.forwardable();
    bool hasUnusual = !forwardable.empty() && isUnusual(forwardable.front().observation);
    bool isUrgent = hasUnusual && m_urgentAllowance.has(0);
    if (!isUrgent && !m_allowance.has(ReservedBytes))
        return;
    auto draft = compose(isUrgent, forwardable);
    if (draft.message.__isset.records || m_clock.now() >= m_nextKeepAliveAt)
        sendDraft(*peer, draft, isUrgent);
}

void LoadExchange::sendDraft(Core::Endpoint const& peer, Draft const& draft, bool isUrgent)
{
    bool isFast = m_clock.now() < m_fastKeepAlivesUntil;
    // Urgent messages carry no addresses.
    if (!isUrgent)
        m_nextKeepAliveAt = m_clock.now() + withJitter(isFast ? FastKeepAliveInterval : KeepAliveInterval);
    auto size = send(peer, draft.message);
    // A full link gets as long a pause as after a full message.
    auto cost = static_cast<double>(size == 0 ? MaximumRecordBytes : size);
    m_allowance.add(-cost, m_allowance.tokens());
    if (isUrgent)
        m_urgentAllowance.add(-cost, m_urgentAllowance.tokens());
    if (size == 0)
        return;
    m_counters.ownEntriesSent += draft.ownEntries;
    m_counters.entriesForwarded += draft.forwarded.size();
    for (auto const& key : draft.forwarded)
        m_records.noteForwarded(key);
}

void LoadExchange::scheduleContact(bool hasFollowers)
{
    if (m_peers.size() < SmallView) {
        m_nextContactAt = m_clock.now() + withJitter(m_contactInterval);
        auto longest = m_peers.size() == 0 ? EmptyViewContactInterval : FollowerContactInterval;
        m_contactInterval = std::min(2 * m_contactInterval, longest);
        return;
    }
    m_contactInterval = FirstContactInterval;
    auto interval = hasFollowers ? FollowerContactInterval
                                 : SeedContactInterval * static_cast<std::int64_t>(estimatedFleetSize());
    // Any time up to twice the interval, because the balancers of a fleet may have started at once.
    std::uniform_real_distribution<double> factor { 0, 2 };
    m_nextContactAt = m_clock.now() + duration_cast<nanoseconds>(interval * factor(m_random));
}

void LoadExchange::contactStrangers()
{
    auto candidates = m_hooks.followers ? m_hooks.followers() : std::vector<Core::Endpoint> {};
    noteFleetSize(static_cast<double>(candidates.size() + 1));
    scheduleContact(!candidates.empty());
    candidates.insert(candidates.end(), m_options.seeds.begin(), m_options.seeds.end());
    std::erase_if(candidates,
        [this](auto const& candidate) { return candidate == m_options.address || m_peers.contains(candidate); });
    if (candidates.empty())
        return;
    std::uniform_int_distribution<std::size_t> index { 0, candidates.size() - 1 };
    auto message = keepAlive(0);
    message.__set_wantsPeers(true);
    send(candidates[index(m_random)], message);
}

void LoadExchange::receive(Core::Endpoint const& from, Messages::LoadReports const& message, std::size_t datagramSize)
{
    ++m_counters.messagesReceived;
    m_counters.bytesReceived += datagramSize + UdpAndIpHeaderSize;
    bool isValid = !message.__isset.peers || m_peers.addEncoded(message.peers, m_random);
    if (message.__isset.records && !receiveRecords(message))
        isValid = false;
    if (!isValid)
        ++m_counters.messagesRejected;
    if (message.__isset.fleetSize)
        noteFleetSize(message.fleetSize);
    // An answer doesn't ask for one, so that two balancers don't answer each other without end.
    if (message.__isset.wantsPeers && message.wantsPeers)
        send(from, keepAlive(PeersPerKeepAlive));
    m_peers.add(from, milliseconds { 0 }, m_random);
}

bool LoadExchange::receiveRecords(Messages::LoadReports const& message)
{
    if (!message.__isset.recordVersion || message.recordVersion != LoadRecordVersion) {
        ++m_counters.messagesOfOtherVersions;
        return true;
    }
    auto records = decodeLoadRecords(message.records);
    if (!records)
        return false;
    deliver(*records);
    return true;
}

void LoadExchange::deliver(std::vector<LoadRecord> const& records)
{
    std::vector<Load::LoadReport> reports;
    for (auto const& record : records) {
        if (record.reporter == m_options.self)
            continue;
        if (!m_records.add(record)) {
            ++m_counters.entriesOutdated;
            continue;
        }
        ++m_counters.entriesReceived;
        if (m_reporters.contains(record.reporter) || m_reporters.size() < MaximumReporters)
            m_reporters[record.reporter] = m_clock.now();
        if (reports.empty() || reports.back().reporter != record.reporter)
            reports.push_back({ .reporter = record.reporter });
        reports.back().upstreams.push_back(record.observation);
    }
    for (auto const& report : reports)
        m_hooks.reportReceived(report);
}

}
