#pragma once

#include <LibCore/Core.h>
#include <LibLoad/LoadReport.h>
#include <LibLoad/TokenBucket.h>
#include <LibMessages/Messages.h>
#include <LibRelay/LoadRecordStore.h>
#include <LibRelay/PeerView.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace Chicorytally::Relay {

struct LoadExchangeOptions {
    Core::VmId self;
    /// Address at which other balancers reach this one.
    Core::Endpoint address;
    /// Start time of the process in milliseconds. Orders the reports of this process after those of its predecessor.
    Core::Incarnation incarnation;
    /// First contacts. They may include this balancer.
    std::vector<Core::Endpoint> seeds;
    std::uint64_t randomSeed { 0 };
};

struct LoadExchangeHooks {
    /// Sends a message and returns the size of the datagram in bytes without UDP and IP headers, or 0 if it wasn't
    /// sent.
    std::function<std::size_t(Core::Endpoint const&, Messages::LoadReports const&)> send;
    /// Returns the own observations that are worth telling, the most important ones first; further ones than the
    /// maximum are dropped. Called a few times a second, before each message but those that only forward. An
    /// observation that is repeated within half a second isn't forwarded again; others in its place reach more of the
    /// fleet.
    std::function<Load::LoadReport(std::size_t maximumEntries)> makeReport;
    /// Called for new observations of another balancer, each of which is delivered once. The ages include the time that
    /// the observations were held by other balancers, but not their time in the network.
    std::function<void(Load::LoadReport const&)> reportReceived;
    /// Further balancers that can be contacted, for instance the followers of a seed. Optional.
    std::function<std::vector<Core::Endpoint>()> followers;
};

/// Counts since the start of the process. Bytes include UDP and IP headers.
struct LoadExchangeCounters {
    std::uint64_t messagesSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t sendFailures { 0 };
    std::uint64_t messagesReceived { 0 };
    std::uint64_t bytesReceived { 0 };
    /// Messages with malformed records or addresses.
    std::uint64_t messagesRejected { 0 };
    /// Messages whose records have another version.
    std::uint64_t messagesOfOtherVersions { 0 };
    std::uint64_t ownEntriesSent { 0 };
    std::uint64_t entriesForwarded { 0 };
    std::uint64_t entriesReceived { 0 };
    /// Entries that were duplicates, older than known ones or too old.
    std::uint64_t entriesOutdated { 0 };
};

/// Spreads observations of upstreams among balancers by an epidemic algorithm (Demers 1987) on a partial view of the
/// fleet. Each balancer sends its own observations and those that it received recently to random balancers, within a
/// budget of bytes. Nothing is acknowledged or sent again. Not thread-safe.
class LoadExchange {
public:
    LoadExchange(Core::Clock const&, LoadExchangeOptions, LoadExchangeHooks);

    /// Sends what is due. To be called every 50 ms.
    void tick();
    /// Handles a message; the size is that of the datagram in bytes without UDP and IP headers.
    void receive(Core::Endpoint const& from, Messages::LoadReports const&, std::size_t datagramSize);

    LoadExchangeCounters const& counters() const { return m_counters; }
    std::size_t knownPeerCount() const { return m_peers.size(); }
    /// Estimate of the number of balancers: the greatest number that this balancer or another one has counted recently.
    std::size_t estimatedFleetSize() const;
    /// Bytes a second, with UDP and IP headers, that records may take.
    double byteBudget() const;

private:
    struct Draft {
        Messages::LoadReports message;
        std::size_t ownEntries { 0 };
        std::vector<LoadRecordStore::Key> forwarded;
    };

    void sendRound();
    void refillAllowances();
    Draft compose(bool isUrgent, std::vector<LoadRecord> const& forwardable);
    void sendDraft(Core::Endpoint const&, Draft const&, bool isUrgent);
    void appendOwn(LoadReportWriter&, std::size_t forwardableCount, Draft&);
    Messages::LoadReports keepAlive(std::size_t peerCount);
    std::size_t send(Core::Endpoint const&, Messages::LoadReports const&);
    double decayedFleetSize() const;
    void noteFleetSize(double);
    void contactStrangers();
    void scheduleContact(bool hasFollowers);
    bool receiveRecords(Messages::LoadReports const&);
    void deliver(std::vector<LoadRecord> const&);
    void removeExpired();
    ReportSequence currentSequence() const;
    std::chrono::nanoseconds withJitter(std::chrono::nanoseconds);

    Core::Clock const& m_clock;
    LoadExchangeOptions m_options;
    LoadExchangeHooks m_hooks;
    LoadExchangeCounters m_counters;
    std::mt19937_64 m_random;
    PeerView m_peers;
    LoadRecordStore m_records;
    /// Bytes that may be sent, by the budget.
    Load::TokenBucket m_allowance;
    /// The part of them that messages with unusual records only may take.
    Load::TokenBucket m_urgentAllowance;
    /// When an observation of each reporter was last received; shows the size of the fleet.
    absl::flat_hash_map<Core::VmId, Core::TimePoint> m_reporters;
    /// Time between contacts of strangers while the view is small.
    std::chrono::milliseconds m_contactInterval;
    /// The greatest number of balancers that anybody has counted, and when this balancer learnt of it.
    double m_fleetSize { 0 };
    Core::TimePoint m_fleetSizeAt;
    Core::TimePoint m_startedAt;
    Core::TimePoint m_fastKeepAlivesUntil;
    Core::TimePoint m_nextRoundAt;
    Core::TimePoint m_nextKeepAliveAt;
    Core::TimePoint m_nextContactAt;
    Core::TimePoint m_nextExpiryAt;
};

}
