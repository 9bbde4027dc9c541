#pragma once

#include <LibDistribution/Distribution.h>
#include <LibEventLoop/EventLoop.h>
#include <LibMessages/Messages.h>
#include <LibRelay/PeerMessenger.h>
#include <LibRelay/PeerReader.h>
#include <LibRelay/PeerServer.h>
#include <LibRelay/ReportExchange.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Relay {

struct SubscriptionOptions {
    /// Where this balancer serves its copy to others over TCP, and receives their reports over UDP.
    Core::Endpoint address;
    Core::VmId self;
    /// Greater after each restart of the process.
    Core::Incarnation incarnation;
    /// Balancers that may relay, as far as the settings name them; this one may be among them.
    std::vector<Core::Endpoint> seeds;
    Messages::KeyRing keys;
    std::uint64_t randomSeed { 0 };
};

struct SubscriptionHooks {
    /// Sends a call to the store and reports its end once.
    std::function<void(Distribution::StoreRequest const&, Distribution::StoreCallback)> callStore;
    std::function<void(Distribution::Item const&)> itemChanged;
    /// After each answer or failure of a source.
    std::function<void()> updated;
    /// Another balancer found something out about an upstream.
    std::function<void(Load::PeerReport const&)> reported;
};

struct SubscriptionCounters {
    std::uint64_t storeCalls { 0 };
    std::uint64_t storeFailures { 0 };
    std::uint64_t peerCalls { 0 };
    std::uint64_t peerFailures { 0 };
};

/// Keeps a copy of the store up to date and relays it. The seed with the lowest address that answers reads the store;
/// the others follow it, and read the store themselves while no seed relays a fresh view. Nothing is agreed upon: two
/// balancers that both read cost calls and do no harm.
class Subscription {
public:
    /// Nothing when the address can't be bound; the error says why.
    static std::unique_ptr<Subscription> create(
        EventLoop::Loop&, Core::Clock const&, SubscriptionOptions const&, SubscriptionHooks, std::string& error);
    Subscription(Subscription const&) = delete;
    Subscription& operator=(Subscription const&) = delete;

    void start() { sendNext(); }
    /// To be called every 50 ms.
    void tick();
    /// Tells other balancers what this one found out about an upstream.
    void report(Core::UpstreamId upstream, Load::ReportKind kind) { m_exchange.report(upstream, kind); }
    /// Whether the copy holds all that the store holds, as far as can be known now.
    bool isComplete() const { return m_follower.isFresh(); }
    std::optional<std::chrono::milliseconds> age() const { return m_follower.age(); }
    SubscriptionCounters const& counters() const { return m_counters; }
    PeerMessengerCounters const& messageCounters() const { return m_messenger->counters(); }

private:
    Subscription(EventLoop::Loop&, Core::Clock const&, SubscriptionOptions const&, SubscriptionHooks);

    ReportExchangeHooks exchangeHooks();
    void receive(Messages::PeerMessage const&);
    void sendNext();
    void finish(bool isPeer, std::optional<Distribution::StoreAnswer> const&, Distribution::StoreFailure,
        std::string const& cause);
    std::optional<std::chrono::milliseconds> relayableAge() const;

    SubscriptionHooks m_hooks;
    SubscriptionCounters m_counters;
    Distribution::ItemReplica m_replica;
    Distribution::StoreFollower m_follower;
    Distribution::ReplicaFeed m_feed;
    PeerReader m_reader;
    std::unique_ptr<PeerServer> m_server;
    std::unique_ptr<PeerMessenger> m_messenger;
    /// Balancers that pass reports on to their followers.
    std::vector<Core::Endpoint> m_relays;
    ReportExchange m_exchange;
    std::unique_ptr<EventLoop::Subscription> m_timer;
};

/// The seeds in the order in which this balancer follows them, before and after the store itself.
struct SourceOrder {
    std::vector<Core::Endpoint> preferred;
    std::vector<Core::Endpoint> fallback;
};

SourceOrder orderSources(Core::Endpoint const& self, std::vector<Core::Endpoint> seeds);

}
