#pragma once

#include <LibMessages/Messages.h>
#include <LibRelay/Relay.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>
#include <set>

namespace Chicorytally {

/// Load exchanges in virtual time, connected by a network that delays messages by 1 to 40 ms and loses some of them.
class LoadExchangeFleet {
public:
    using Endpoint = Core::Endpoint;

    struct Node {
        std::unique_ptr<Relay::LoadExchange> exchange;
        std::unique_ptr<Messages::EnvelopeSealer> sealer;
        bool isUp { true };
        /// Neither ticks nor receives; messages are lost.
        bool isPaused { false };
        /// Messages pass only between nodes of the same part.
        int part { 0 };
    };

    static constexpr std::size_t SeedCount = 3;

    explicit LoadExchangeFleet(std::size_t size, double loss = 0.05, std::uint64_t randomSeed = 1)
        : nodes(size)
        , m_loss(loss)
        , m_random(randomSeed)
    {
        for (std::size_t index = 0; index < size; ++index)
            start(index);
    }

    static Endpoint address(std::size_t index)
    {
        return *Endpoint::parse("10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":70");
    }
    static Core::VmId reporter(std::size_t index) { return Core::VmId { Core::hash64("vm" + std::to_string(index)) }; }

    /// Starts or restarts the process of a node.
    void start(std::size_t index)
    {
        auto sinceStart = std::chrono::duration_cast<std::chrono::milliseconds>(clock.now().time_since_epoch());
        Core::Incarnation incarnation { 1'790'000'000'000 + static_cast<std::uint64_t>(sinceStart.count()) };
        auto key = *Messages::PeerKey::fromHex(std::string(64, 'a'));
        auto& node = nodes[index];
        node.isUp = true;
        node.sealer = std::make_unique<Messages::EnvelopeSealer>(key, reporter(index), incarnation);
        Relay::LoadExchangeOptions options { .self = reporter(index), .address = address(index) };
        options.incarnation = incarnation;
        options.seeds = { address(0), address(1), address(2) };
        options.randomSeed = m_random();
        node.exchange = std::make_unique<Relay::LoadExchange>(clock, options,
            Relay::LoadExchangeHooks {
                .send = [this, index](auto const& to, auto const& message) { return send(index, to, message); },
                .makeReport
                = [this, index](auto maximum) { return makeReport ? makeReport(index, maximum) : Load::LoadReport {}; },
                .reportReceived =
                    [this, index](auto const& report) {
                        if (reportReceived)
                            reportReceived(index, report);
                    },
                .followers = [this, index] { return followersOf(index); },
            });
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto end = clock.now() + time; clock.now() < end; clock.advance(std::chrono::milliseconds { 5 })) {
            while (!m_inFlight.empty() && m_inFlight.begin()->first <= clock.now())
                deliver(m_inFlight.extract(m_inFlight.begin()).mapped());
            for (std::size_t index = m_step++ % TickSteps; index < nodes.size(); index += TickSteps) {
                if (nodes[index].isUp && !nodes[index].isPaused)
                    nodes[index].exchange->tick();
            }
        }
    }

    Core::ManualClock clock;
    std::vector<Node> nodes;
    std::function<Load::LoadReport(std::size_t node, std::size_t maximumEntries)> makeReport;
    std::function<void(std::size_t node, Load::LoadReport const&)> reportReceived;
    /// Whether all nodes follow node 0, the seed that reads the store.
    bool hasFollowers { true };
    /// Messages to nodes that are down.
    std::uint64_t sentToDead { 0 };
    bool isLinkFull { false };

private:
    struct Message {
        std::size_t from;
        std::size_t to;
        Messages::LoadReports content;
        std::size_t size;
    };

    // Each node ticks every 50 ms.
    static constexpr std::size_t TickSteps = 10;

    std::size_t send(std::size_t from, Endpoint const& to, Messages::LoadReports const& content)
    {
        if (isLinkFull)
            return 0;
        Messages::PeerMessage message;
        message.__isset.load = true;
        message.load.__set_loadReports(content);
        auto size = nodes[from].sealer->seal({ message }).size();
        auto bytes = to.address.v4Bytes();
        std::size_t index = bytes[2] * 250U + bytes[3] - 1U;
        sentToDead += nodes[index].isUp ? 0 : 1;
        std::uniform_int_distribution<int> delay { 1, 40 };
        if (std::uniform_real_distribution<double> {}(m_random) >= m_loss)
            m_inFlight.emplace(
                clock.now() + std::chrono::milliseconds { delay(m_random) }, Message { from, index, content, size });
        return size;
    }

    std::vector<Endpoint> followersOf(std::size_t index) const
    {
        std::vector<Endpoint> followers;
        for (std::size_t other = 1; index == 0 && hasFollowers && other < nodes.size(); ++other) {
            if (nodes[other].isUp && nodes[other].part == nodes[0].part)
                followers.push_back(address(other));
        }
        return followers;
    }

    void deliver(Message const& message)
    {
        auto& node = nodes[message.to];
        if (node.isUp && !node.isPaused && node.part == nodes[message.from].part)
            node.exchange->receive(address(message.from), message.content, message.size);
    }

    double m_loss;
    std::mt19937_64 m_random;
    std::multimap<Core::TimePoint, Message> m_inFlight;
    std::size_t m_step { 0 };
};

}
