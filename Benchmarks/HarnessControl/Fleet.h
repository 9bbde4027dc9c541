#pragma once

#include <HarnessControl/VirtualPlatform.h>
#include <LibDistribution/Distribution.h>
#include <LibMembership/Membership.h>
#include <LibMessages/Messages.h>

#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace Chicorytally::Benchmarks {

struct FleetOptions {
    std::size_t nodes { 5 };
    std::size_t zones { 3 };
    std::uint64_t seed { 1 };
    double loss { 0 };
    double duplication { 0 };
    std::chrono::microseconds minimumDelay { 500 };
    std::chrono::microseconds maximumDelay { 1500 };
    /// Messages travel as sealed datagrams, which gives exact sizes and drops duplicates. Otherwise they travel as they
    /// are, so that duplicates reach the controllers.
    bool isSealed { false };
    bool hasDistribution { false };
    Membership::Options membership {};
    Distribution::Options distribution {};
};

struct Traffic {
    std::uint64_t messages { 0 };
    /// UDP payload with 28 bytes of IP and UDP headers.
    std::uint64_t bytes { 0 };
};

/// Many controllers in one process, joined by a network in virtual time with loss, delay, reordering and duplication.
/// All choices come from the seed.
class Fleet {
public:
    struct Node {
        Core::VmId vm;
        Core::ZoneId zone;
        Core::Endpoint endpoint;
        Core::Incarnation incarnation;
        std::unique_ptr<Membership::Controller> membership;
        std::unique_ptr<Distribution::Controller> distribution;
        std::unique_ptr<Messages::EnvelopeSealer> sealer;
        std::unique_ptr<Messages::EnvelopeOpener> opener;
        bool isRunning { false };
        bool isPaused { false };
        bool isReadingPlatform { false };
        /// Grows with each start, so that answers to an earlier process are dropped.
        unsigned life { 0 };
        Traffic membershipSent;
        Traffic distributionSent;
        /// Both subjects together.
        Traffic received;
        /// Time spent in the controllers and in sealing and opening.
        std::chrono::nanoseconds processorTime { 0 };
        std::uint64_t memberChanges { 0 };
        /// Content that the accept hook of this node refuses.
        std::string refusedContent;
        std::vector<Core::Revision> acceptedRevisions;
        Core::TimePoint acceptedAt;
    };

    explicit Fleet(FleetOptions);
    ~Fleet();

    std::size_t size() const { return m_nodes.size(); }
    Node& node(std::size_t index) { return *m_nodes[index]; }
    Core::ManualClock const& clock() const { return m_clock; }
    VirtualPlatform& platform() { return m_platform; }
    std::mt19937_64& random() { return m_random; }

    /// Starts a process; a restart gets a greater incarnation and knows nothing.
    void start(std::size_t index);
    void startAll();
    void crash(std::size_t index);
    void pause(std::size_t index);
    void resume(std::size_t index);
    /// Shows a new revision at the platform.
    void publish(Core::Revision, Distribution::FileSet);

    /// Decides by indices whether a message gets through; replaced to play partitions.
    std::function<bool(std::size_t from, std::size_t to)> isConnected;
    void setLoss(double loss) { m_options.loss = loss; }

    void run(std::chrono::milliseconds);
    /// Runs until the condition holds, checked every 100 ms; the time that passed, or nothing after the limit.
    std::optional<std::chrono::milliseconds> runUntil(
        std::function<bool()> const& condition, std::chrono::milliseconds limit);

    Membership::MemberState stateSeenBy(std::size_t observer, std::size_t subject) const;
    bool isKnownBy(std::size_t observer, std::size_t subject) const;
    /// Every running node sees every running node as alive, and no other one.
    bool isConverged() const;
    bool isInForceEverywhere(Core::Revision) const;
    Traffic totalTraffic() const;
    /// The largest sealed datagram so far, without headers.
    std::size_t largestDatagram() const { return m_largestDatagram; }
    void resetTraffic();

private:
    struct Datagram {
        Core::VmId sender;
        Core::Incarnation incarnation;
        Messages::PeerMessage message;
        std::vector<std::uint8_t> sealed;
    };

    struct Event {
        Core::TimePoint due;
        std::uint64_t order;
        std::function<void()> action;

        friend bool operator>(Event const& first, Event const& second)
        {
            return std::tie(first.due, first.order) > std::tie(second.due, second.order);
        }
    };

    void schedule(std::chrono::nanoseconds delay, std::function<void()>);
    void scheduleTick(std::size_t index, unsigned life, std::chrono::nanoseconds delay);
    void pump(std::size_t index);
    void send(std::size_t from, Core::Endpoint const& to, Messages::PeerMessage);
    void deliver(std::size_t from, std::size_t to, std::shared_ptr<Datagram const> const&);
    void dispatch(
        Node&, Core::VmId sender, Core::Incarnation, Messages::PeerMessage const&, Core::Endpoint const& from);
    void readPlatform(std::size_t index);
    void endRead(std::size_t index, unsigned life, Core::Revision known, Core::TimePoint deadline);
    void applyMembers(Node&);
    bool accept(Node&, Core::Revision, Distribution::FileSet const&, std::string& reason);
    bool happens(double probability);
    template <typename Action> auto measured(Node&, Action);

    FleetOptions m_options;
    std::mt19937_64 m_random;
    Core::ManualClock m_clock;
    Messages::PeerKey m_key;
    VirtualPlatform m_platform;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::unordered_map<std::uint16_t, std::size_t> m_indexByPort;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_nextOrder { 0 };
    std::size_t m_largestDatagram { 0 };
};

}
