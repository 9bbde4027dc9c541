#pragma once

#include <HarnessLoad/Site.h>
#include <LibLoad/Load.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace Chicorytally::Benchmarks {

struct NetworkShape {
    std::chrono::milliseconds delay { 2 };
    std::chrono::milliseconds greatestDelay { 4 };
    double loss { 0 };
};

/// Several load controllers with a network between them that delays and loses messages, all in virtual time.
class Fleet {
public:
    static constexpr std::chrono::milliseconds Tick { 100 };
    /// Time until the others see that a balancer can't be reached, and until its end is confirmed.
    static constexpr std::chrono::seconds SuspicionTime { 2 };
    static constexpr std::chrono::seconds ConfirmationTime { 8 };

    Fleet(std::uint64_t seed, NetworkShape);

    Core::ManualClock const& clock() const { return m_clock; }
    Core::TimePoint now() const { return m_clock.now(); }

    /// Takes effect at every balancer at once.
    void setConfiguration(std::shared_ptr<Model::Configuration const>);
    /// Starts a balancer and gives its index.
    std::size_t add(Core::ZoneId = {});
    /// Stops without a word. Another incarnation can be started on the same VM.
    void crash(std::size_t);
    std::size_t restart(std::size_t);
    /// No ticks and no messages until resumed; messages wait.
    void setPaused(std::size_t, bool);
    /// Cuts the balancers with an index in `side` off from all others.
    void setPartition(std::vector<std::size_t> side) { m_partition = std::move(side); }

    std::size_t size() const { return m_balancers.size(); }
    bool isRunning(std::size_t index) const { return m_balancers[index].isAlive && !m_balancers[index].isPaused; }
    bool isAlive(std::size_t index) const { return m_balancers[index].isAlive; }
    /// Owns buckets in the eyes of the others: ready, or lost without their having noticed.
    bool isOwner(std::size_t index) const;
    Load::LoadController& at(std::size_t index) { return *m_balancers[index].controller; }
    Core::VmId vm(std::size_t index) const { return m_balancers[index].vm; }

    /// Answers a probe; without an answer the probe fails.
    std::function<std::optional<Load::UpstreamReport>(std::size_t balancer, Core::UpstreamId)> probe;

    /// Without the platform, nobody's end is confirmed.
    void setPlatformDown(bool isDown) { m_isPlatformDown = isDown; }

    /// Lets a tick's time pass: delivers messages, then ticks and probes.
    void step();
    /// The two halves of a step, for callers with events between the ticks.
    void advanceTo(Core::TimePoint time) { m_clock.set(time); }
    void tickAll();
    void run(std::chrono::milliseconds);

    std::uint64_t sentBytes() const { return m_sentBytes; }

private:
    struct Balancer {
        Core::VmId vm;
        Core::Incarnation incarnation;
        Core::ZoneId zone;
        std::unique_ptr<Load::LoadController> controller;
        bool isAlive { true };
        bool isPaused { false };
        Core::TimePoint startedAt;
        std::optional<Core::TimePoint> endedAt;
    };

    struct Delivery {
        Core::VmId sender;
        Load::OutgoingMessage message;
    };

    bool canReach(std::size_t from, std::size_t to) const;
    std::size_t start(Core::VmId, Core::Incarnation, Core::ZoneId);
    void applyMembers(std::size_t index);
    void deliver();
    void send(std::size_t from);
    std::optional<std::size_t> runningOn(Core::VmId) const;

    Core::ManualClock m_clock;
    std::mt19937_64 m_random;
    NetworkShape m_network;
    std::shared_ptr<Model::Configuration const> m_configuration;
    std::vector<Balancer> m_balancers;
    std::vector<std::size_t> m_partition;
    bool m_isPlatformDown { false };
    std::multimap<Core::TimePoint, Delivery> m_messages;
    std::uint64_t m_sentBytes { 0 };
};

}
