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
    /// Requests without an answer: their flow was reset or their timeout passed.
    unsigned lostRequests { 0 };
    /// Tries of opens that ended without a flow.
    unsigned failedOpens { 0 };
    /// Flows that a balancer reset though their upstream lives and it could reach it for the last 4 s. A balancer finds
    /// out within 2 s that a link is back.
    unsigned brokenFlows { 0 };
    /// Opens that reached a draining upstream, or one of a zone that is out, one second after that was written.
    unsigned lateOpens { 0 };
};

/// A site in virtual time: balancers in two zones, upstreams with a handshake, callers that repeat their packets, and
/// a store that is read with a lag. Every run with the same seed is the same.
class SiteSimulation {
public:
    /// Makes the decisions of a balancer; the naive kind picks by hash, remembers and suspects nothing.
    enum class Kind : std::uint8_t {
        Tokens,
        Naive,
    };

    SiteSimulation(Kind, std::uint64_t seed);
    ~SiteSimulation();

    void run(std::chrono::milliseconds);

    // Changes; upstreams are numbered from 0, even ones are in zone 0 and odd ones in zone 1.
    void drain(std::size_t upstream);
    void terminate(std::size_t upstream);
    /// The process ends; its VM answers with resets.
    void crash(std::size_t upstream);
    /// Nothing answers any more.
    void becomeUnresponsive(std::size_t upstream);
    void setServiceTime(std::size_t upstream, std::chrono::milliseconds);
    /// The entry is dropped though the upstream lives, or is back.
    void setListed(std::size_t upstream, bool);
    void setZoneOutOfService(std::size_t zone, bool);
    /// Cuts zone 1 off from zone 0 and from the store, or heals that.
    void setPartitioned(bool);
    /// Ends a balancer and starts it again, without memory, after the time.
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
    /// Without a zone the reset comes from the upstream's VM.
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
