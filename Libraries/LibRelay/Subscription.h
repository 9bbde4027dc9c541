#pragma once

#include <LibDistribution/Distribution.h>
#include <LibEventLoop/EventLoop.h>
#include <LibMessages/Messages.h>
#include <LibRelay/LoadExchange.h>
#include <LibRelay/PeerMessenger.h>
#include <LibRelay/PeerReader.h>
#include <LibRelay/PeerServer.h>
#include <LibRelay/ReportExchange.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Relay {

struct SubscriptionOptions {
    /// The address on which this balancer serves its replica over TCP and receives reports over UDP.
    Core::Endpoint address;
    Core::VmId self;
    /// Increases with each restart of the process.
    Core::Incarnation incarnation;
    /// The balancers in the settings that may act as relays. They may include this one.
    std::vector<Core::Endpoint> seeds;
    Messages::KeyRing keys;
    /// Capacity of this balancer's network link; half of it is used for relaying changes.
    double linkBytesPerSecond { 125e6 };
    std::uint64_t randomSeed { 0 };
};

struct SubscriptionHooks {
    /// Sends a request to the store. The callback must be called exactly once.
    std::function<void(Distribution::StoreRequest const&, Distribution::StoreCallback)> callStore;
    std::function<void(Distribution::Item const&)> itemChanged;
    /// Called after each answer or failure of a source.
    std::function<void()> requestFinished;
    /// Called for each new report of another balancer about an upstream.
    std::function<void(Load::PeerReport const&)> reportReceived;
    /// Returns this balancer's observations of upstreams, see LoadExchangeHooks::makeReport. Load reports are exchanged
    /// only if this hook and loadReportReceived are set; otherwise, nothing is sent and received ones are ignored.
    std::function<Load::LoadReport(std::size_t maximumEntries)> loadReport;
    /// Called for new observations of another balancer.
    std::function<void(Load::LoadReport const&)> loadReportReceived;
};

struct SubscriptionCounters {
    std::uint64_t storeCalls { 0 };
    std::uint64_t storeFailures { 0 };
    std::uint64_t peerCalls { 0 };
    std::uint64_t peerFailures { 0 };
};

/// Keeps a replica of the store up to date and relays it. The reachable seed with the lowest address reads the store.
/// The other balancers follow it. They read the store themselves if no seed answers, and if the seeds answer but have
/// no fresh view for 2 s. There is no leader election: if two balancers read the store, this only costs additional
/// calls.
class Subscription {
public:
    /// Returns null and sets the error if the address can't be bound.
    static std::unique_ptr<Subscription> create(
        EventLoop::Loop&, Core::Clock const&, SubscriptionOptions const&, SubscriptionHooks, std::string& error);
    Subscription(Subscription const&) = delete;
    Subscription& operator=(Subscription const&) = delete;

    void start() { sendNextRequest(); }
    /// To be called every 50 ms.
    void tick();
    /// Reports a failure of an upstream that this balancer detected to other balancers.
    void report(Core::UpstreamId upstream, Load::ReportKind kind) { m_exchange.report(upstream, kind); }
    /// Whether the replica was recently confirmed to hold everything in the store.
    bool isComplete() const { return m_follower.isFresh(); }
    std::optional<std::chrono::milliseconds> age() const { return m_follower.age(); }
    /// The greatest epoch of the store in any answer.
    Core::Epoch storeEpoch() const { return m_storeEpoch; }
    std::uint64_t outdatedItemCount() const { return m_replica.outdatedCount(); }
    SubscriptionCounters const& counters() const { return m_counters; }
    PeerMessengerCounters const& messageCounters() const { return m_messenger->counters(); }
    /// The exchange of load reports, or nullptr if its hooks are not set.
    LoadExchange const* loadExchange() const { return m_loadExchange.get(); }

private:
    Subscription(EventLoop::Loop&, Core::Clock const&, SubscriptionOptions const&, SubscriptionHooks);

    ReportExchangeHooks exchangeHooks();
    void createLoadExchange(SubscriptionOptions const&);
    void receive(Messages::PeerMessage const&, PeerMessenger::Origin const&);
    void receiveUpstreamReports(Messages::UpstreamReports const&);
    void sendNextRequest();
    void handleAnswer(bool isPeer, Distribution::StoreAnswer const&);
    void finishRequest(bool isPeer, std::optional<Distribution::StoreAnswer> const&, Distribution::StoreFailure,
        std::string const& cause);
    std::optional<std::chrono::milliseconds> relayableAge() const;
    void noteRelayed(std::size_t bytes);

    SubscriptionHooks m_hooks;
    SubscriptionCounters m_counters;
    Core::Epoch m_storeEpoch;
    Distribution::ItemReplica m_replica;
    Distribution::StoreFollower m_follower;
    Core::Clock const& m_clock;
    /// Bytes that may be relayed, so that probes and callers' packets don't wait in a full link.
    Distribution::TokenBucket m_relayAllowance;
    Distribution::ReplicaFeed m_feed;
    PeerReader m_reader;
    std::unique_ptr<PeerServer> m_server;
    std::unique_ptr<PeerMessenger> m_messenger;
    /// The balancers that forward reports to their followers.
    std::vector<Core::Endpoint> m_relays;
    ReportExchange m_exchange;
    std::unique_ptr<LoadExchange> m_loadExchange;
    std::unique_ptr<EventLoop::EventRegistration> m_timer;
};

/// The seeds in the order in which this balancer follows them: those preferred to the store, and those used if the
/// store fails.
struct SourceOrder {
    std::vector<Core::Endpoint> preferred;
    std::vector<Core::Endpoint> fallback;
};

SourceOrder orderSources(Core::Endpoint const& self, std::vector<Core::Endpoint> seeds);

}
