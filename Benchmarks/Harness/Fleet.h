#pragma once

#include <Harness/FlowModel.h>
#include <Harness/Methods.h>

#include <functional>
#include <queue>
#include <random>
#include <set>

namespace Chicorytally::Harness {

struct FleetOptions {
    std::uint64_t seed { 1 };
    std::size_t balancers { 5 };
    MethodFactory method { engineMethod() };
    Placement::EngineHooks hooks;
    /// Of a control message or a packet between two balancers.
    std::chrono::microseconds minimumDelay { 200 };
    std::chrono::microseconds maximumDelay { 3000 };
    /// Added to the delay of control messages only, which also reorders them.
    std::chrono::microseconds extraControlDelay { 0 };
    double loss { 0 };
    double duplicates { 0 };
    /// Packets between balancers take effect at once and in order; faster, for benchmarks.
    bool hasImmediateHops { false };
    std::chrono::milliseconds tickInterval { 100 };
    /// How often a balancer looks for urgent messages.
    std::chrono::milliseconds pollInterval { 10 };
};

/// Several balancers in one process and in virtual time. The order of deliveries depends on the seed only.
class Fleet {
public:
    struct Balancer {
        std::string name;
        Core::VmId vm;
        Core::Incarnation incarnation;
        std::unique_ptr<PlacementMethod> method;
        Knowledge knowledge;
        bool isAlive { false };
        /// The fabric sends it packets.
        bool isInFabric { false };
        bool isPaused { false };
        std::vector<std::function<void()>> held;
        std::set<std::size_t> cutFrom;
        std::uint64_t controlBytes { 0 };
        std::uint64_t generation { 0 };
    };

    explicit Fleet(FleetOptions);

    // Time.
    Core::TimePoint now() const { return m_clock.now(); }
    void at(std::chrono::nanoseconds delay, std::function<void()>);
    void advance(std::chrono::nanoseconds);
    std::mt19937_64& random() { return m_random; }
    std::chrono::nanoseconds upTo(std::chrono::nanoseconds);

    // Changes. Each balancer learns at its own moment within the delay.
    void start(ConfigurationPointer);
    void spread(ConfigurationPointer const&, std::chrono::nanoseconds maximumDelay);
    void learn(std::size_t balancer, ConfigurationPointer);
    void spreadMembers(std::chrono::nanoseconds maximumDelay);
    std::size_t join();
    void restart(std::size_t balancer);
    void leave(std::size_t balancer);
    void crash(std::size_t balancer, std::chrono::nanoseconds detection);
    void pause(std::size_t balancer, std::chrono::nanoseconds duration, bool isNoticed);
    void partition(std::set<std::size_t> const& side, std::chrono::nanoseconds detection);
    void heal(std::chrono::nanoseconds detection);

    // Packets.
    void send(Flow&, Placement::PacketKind);
    void sendTo(std::size_t balancer, Flow&, Placement::PacketKind);

    std::vector<Balancer>& balancers() { return m_balancers; }
    FlowModel& model() { return m_model; }
    ConfigurationPointer configuration() const { return m_configuration; }
    std::uint64_t packets() const { return m_packets; }
    std::uint64_t peerHops() const { return m_peerHops; }

private:
    struct Event {
        Core::TimePoint time;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(Event const& other) const
        {
            return time != other.time ? time > other.time : order > other.order;
        }
    };

    void boot(std::size_t balancer, ConfigurationPointer const&);
    Placement::MemberView viewFor(std::size_t balancer) const;
    void poll(std::size_t balancer, std::uint64_t generation, std::uint64_t round);
    void deliver(std::size_t from, Placement::OutgoingMessage const&);
    void handle(std::size_t balancer, Flow&, Placement::PacketInfo);
    std::chrono::nanoseconds networkDelay();
    bool chance(double probability);
    std::size_t indexOf(Core::VmId) const;

    FleetOptions m_options;
    Core::ManualClock m_clock;
    std::mt19937_64 m_random;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order { 0 };
    std::vector<Balancer> m_balancers;
    std::set<std::size_t> m_leaving;
    std::set<std::size_t> m_gone;
    FlowModel m_model;
    ConfigurationPointer m_configuration;
    std::uint64_t m_packets { 0 };
    std::uint64_t m_peerHops { 0 };
    std::uint64_t m_incarnation { 0 };
};

/// Size of a message in its envelope, in the compact protocol.
std::size_t encodedSize(Messages::PlacementMessage const&);

}
