#include <LibRelay/LoadExchange.h>

#include <algorithm>
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

// Messages that are not full may follow each other faster, so that few observations spread within 2 s.
static constexpr milliseconds MinimumInterval { 125 };
static constexpr milliseconds KeepAliveInterval { 5000 };
// Desynchronises the balancers of a fleet that starts at once.
static constexpr double Jitter = 0.2;

// A view of fewer addresses may be cut off by a few failures.
static constexpr std::size_t SmallView = 4;
// Doubles up to ContactInterval, because the view of a fleet of few balancers stays small.
static constexpr milliseconds FirstContactInterval { 1000 };
// Multiplied by the size of the view unless this balancer has followers, so that the load of the seeds doesn't grow
// with the fleet up to the capacity of the view.
static constexpr milliseconds ContactInterval { 5000 };

// A tenth of the records' share of a message; the view refreshes within seconds.
static constexpr std::size_t PeersPerMessage = 3;
// Makes a newcomer's view larger than SmallView at once.
static constexpr std::size_t PeersPerAnswer = 8;

// Within this time a balancer of a fleet of 300 hears of nearly all reporters.
static constexpr milliseconds ReporterRetention { 30'000 };
// Bounds the memory to some 50 KB; the budget doesn't depend on greater numbers.
static constexpr std::size_t MaximumReporters = 1024;
static constexpr milliseconds ExpiryInterval { 500 };

// Shorter than the least time between two reports, so that their sequences differ. The sequence wraps after 70 minutes.
static constexpr milliseconds SequenceUnit { 64 };
static_assert(SequenceUnit < MinimumInterval * (1 - Jitter));

LoadExchange::LoadExchange(Core::Clock const& clock, LoadExchangeOptions options, LoadExchangeHooks hooks)
    : m_clock(clock)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_random(m_options.randomSeed)
    , m_peers(clock, { .self = m_options.address })
    , m_records(clock, {})
    , m_contactInterval(FirstContactInterval)
    , m_startedAt(clock.now())
    , m_nextRoundAt(m_startedAt)
    , m_nextKeepAliveAt(m_startedAt)
    , m_nextContactAt(m_startedAt)
    , m_nextExpiryAt(m_startedAt)
{
    std::erase(m_options.seeds, m_options.address);
}

std::size_t LoadExchange::estimatedFleetSize() const { return std::max(m_reporters.size(), m_peers.size()) + 1; }

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
        if (draft.ownEntries == maximumEntries || !writer.add({ m_options.self, sequence, observation }))
            break;
        ++draft.ownEntries;
    }
}

LoadExchange::Draft LoadExchange::composeRecords()
{
    Draft draft { .message = keepAlive(PeersPerMessage) };
    LoadReportWriter writer { MaximumRecordBytes };
    auto forwardable = m_records.forwardable();
    appendOwn(writer, forwardable.size(), draft);
    for (auto const& record : forwardable) {
        if (!writer.add(record))
            break;
        draft.forwarded.push_back({ record.reporter, record.observation.upstream });
    }
    if (!writer.bytes().empty()) {
        draft.message.__set_recordVersion(LoadRecordVersion);
        draft.message.__set_records(writer.bytes());
    }
    return draft;
}

Messages::LoadReports LoadExchange::keepAlive(std::size_t peerCount)
{
    Messages::LoadReports message;
    if (auto peers = m_peers.encodeSample(peerCount, m_random); !peers.empty())
        message.__set_peers(peers);
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

void LoadExchange::sendRound()
{
    m_nextRoundAt = m_clock.now() + withJitter(MinimumInterval);
    auto peer = m_peers.randomPeer(m_random);
    if (!peer)
        return;
    auto draft = composeRecords();
    bool hasRecords = draft.message.__isset.records;
    if (!hasRecords && m_clock.now() < m_nextKeepAliveAt)
        return;
    m_nextKeepAliveAt = m_clock.now() + withJitter(KeepAliveInterval);
    auto size = send(*peer, draft.message);
    if (size == 0) {
        // The link is full; it gets as long a pause as after a full message.
        m_nextRoundAt = m_clock.now()
            + withJitter(duration_cast<nanoseconds>(
                duration<double> { static_cast<double>(MaximumRecordBytes) / byteBudget() }));
        return;
    }
    m_counters.ownEntriesSent += draft.ownEntries;
    m_counters.entriesForwarded += draft.forwarded.size();
    for (auto const& key : draft.forwarded)
        m_records.noteForwarded(key);
    duration<double> interval { static_cast<double>(size) / byteBudget() };
    m_nextRoundAt
        = m_clock.now() + withJitter(std::max<nanoseconds>(MinimumInterval, duration_cast<nanoseconds>(interval)));
}

void LoadExchange::contactStrangers()
{
    auto followers = m_hooks.followers ? m_hooks.followers() : std::vector<Core::Endpoint> {};
    if (m_peers.size() < SmallView) {
        m_nextContactAt = m_clock.now() + withJitter(m_contactInterval);
        m_contactInterval = std::min(2 * m_contactInterval, ContactInterval);
    } else {
        auto factor = followers.empty() ? static_cast<int>(m_peers.size()) : 1;
        m_nextContactAt = m_clock.now() + withJitter(ContactInterval * factor);
        m_contactInterval = FirstContactInterval;
    }
    followers.insert(followers.end(), m_options.seeds.begin(), m_options.seeds.end());
    std::erase(followers, m_options.address);
    contactAny(followers);
}

void LoadExchange::contactAny(std::vector<Core::Endpoint> const& candidates)
{
    if (candidates.empty())
        return;
    std::uniform_int_distribution<std::size_t> index { 0, candidates.size() - 1 };
    auto message = keepAlive(PeersPerMessage);
    if (m_peers.size() < SmallView)
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
    // An answer must not ask for one, lest two balancers with small views answer each other without end.
    if (message.__isset.wantsPeers && message.wantsPeers && m_peers.size() != 0)
        send(from, keepAlive(PeersPerAnswer));
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
