#pragma once

#include <LibBalancer/Balancer.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <tuple>
#include <vector>

namespace Chicorytally::Tests {

/// What happened to the callers of a scenario.
struct Outcome {
    unsigned servedRequests { 0 };
    /// Requests without an answer: their flow was reset or they timed out.
    unsigned lostRequests { 0 };
    /// Failed attempts to open a flow.
    unsigned failedOpens { 0 };
    /// Flows reset by a balancer although their upstream was responsive and had been reachable for 4 s. A balancer
    /// detects a restored link within 2 s.
    unsigned brokenFlows { 0 };
    /// Opens that reached an upstream more than one second after it was set to draining or its zone was taken out of
    /// service.
    unsigned lateOpens { 0 };
};

/// Simulates a site in virtual time: balancers and upstreams in two zones, upstreams with a handshake, callers with
/// retransmission, and a store with a propagation delay. Runs with the same seed are identical.
class SiteSimulation {
public:
    /// Decision logic of the balancers. The naive kind selects upstreams by hash, without flow state or failure
    /// detection.
    enum class Kind : std::uint8_t {
        Tokens,
        Naive,
    };

    SiteSimulation(Kind, std::uint64_t seed);
    ~SiteSimulation();

    void run(std::chrono::milliseconds);

    // Faults and operator actions. Upstreams are numbered from 0; even ones are in zone 0, odd ones in zone 1.
    void drain(std::size_t upstream);
    void terminate(std::size_t upstream);
    /// The process ends, and its VM answers with resets.
    void crash(std::size_t upstream);
    /// The upstream no longer answers any packet.
    void becomeUnresponsive(std::size_t upstream);
    void setServiceTime(std::size_t upstream, std::chrono::milliseconds);
    /// Whether the upstream refuses probes although it serves, as one at its connection limit.
    void setRefusingProbes(std::size_t upstream, bool);
    /// Removes or restores the upstream's entry while the upstream keeps running.
    void setListed(std::size_t upstream, bool);
    void setZoneOutOfService(std::size_t zone, bool);
    /// Partitions zone 1 from zone 0 and the store, or restores the link.
    void setPartitioned(bool);
    /// Stops a balancer and starts it without its state after the downtime.
    void restart(std::size_t balancer, std::chrono::milliseconds downtime);

    Outcome const& outcome() const { return m_outcome; }
    std::size_t upstreamCount() const { return m_upstreams.size(); }

private:
    struct Node;
    struct Upstream;
    struct Caller;

    using Event = std::function<void()>;

    void schedule(std::chrono::nanoseconds delay, Event);
    void startBalancer(std::size_t index);
    void broadcastReport(Node const& sender, Load::PeerReport const&);
    void tickBalancer(std::size_t index, std::uint64_t generation);
    void writeToStore(std::function<void(Node&)> const& change);
    void writeUpstream(std::size_t index);
    bool isConnected(std::size_t zone, std::size_t otherZone) const;
    Node* selectBalancer(std::size_t zone);

    void startConnection(std::size_t caller);
    void sendOpen(std::size_t caller, std::uint64_t operation, unsigned transmission);
    void sendRequest(std::size_t caller, std::uint64_t operation, unsigned transmission);
    void sendToBalancer(std::size_t caller, Placement::TokenPacket const&);
    void handlePacket(Node&, std::size_t caller, Placement::TokenPacket const&);
    void receiveAtUpstream(std::size_t upstream, std::size_t caller, Placement::TokenPacket const&);
    void receiveAnswer(std::size_t caller, std::uint16_t port, std::uint32_t sequence, Directory::RoutingToken);
    /// If the zone is unset, the reset comes from the upstream's VM.
    void receiveReset(std::size_t caller, std::uint16_t port, std::optional<std::size_t> balancerZone);
    void endRequest(std::size_t caller, bool isServed);
    Placement::TokenPacket makePacket(std::size_t caller, Placement::PacketKind, std::uint16_t length) const;
    Load::LivenessProbeResult probe(std::size_t zone, std::size_t upstream) const;
    std::optional<std::size_t> indexOf(Core::UpstreamId) const;
    Directory::UpstreamRecord const* chooseByHash(Node const&, Core::FlowKey const&) const;

    struct ScheduledEvent {
        Core::TimePoint time;
        std::uint64_t sequenceNumber;
        Event event;

        bool operator>(ScheduledEvent const& other) const
        {
            return std::tie(time, sequenceNumber) > std::tie(other.time, other.sequenceNumber);
        }
    };

    Kind m_kind;
    std::mt19937_64 m_random;
    Core::ManualClock m_clock;
    std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> m_events;
    std::uint64_t m_nextSequenceNumber { 0 };
    std::uint64_t m_revision { 1 };
    bool m_isPartitioned { false };
    Core::TimePoint m_healedAt;
    std::set<std::size_t> m_zonesOutOfService;
    std::map<std::size_t, Core::TimePoint> m_zonesOutSince;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Upstream>> m_upstreams;
    std::vector<std::unique_ptr<Caller>> m_callers;
    Outcome m_outcome;
};

}
