#pragma once

#include <LibDataPath/DataPath.h>

#include <chrono>
#include <memory>
#include <vector>

namespace Chicorytally::Benchmarks {

/// One worker with the real placement engine between a socket that sends packets of many flows and one that takes what
/// is forwarded. Everything runs on the calling thread, so that only the worker's own time is measured.
class Bench {
public:
    static constexpr std::size_t FlowCount = 1000;

    explicit Bench(std::uint64_t seed);

    /// Time of the worker for the packets of this many batches.
    std::chrono::nanoseconds runChain(std::size_t batches, unsigned tcpFlags);
    /// Time that receiving and sending the same packets takes with the same sockets and nothing else.
    std::chrono::nanoseconds runEcho(std::size_t batches);
    /// Packets that did not reach the upstream.
    std::uint64_t lostCount() const { return m_lost; }
    std::uint64_t allocationsInChain() const { return m_allocations; }

private:
    void applyConfiguration();
    void applyMembers();
    void buildPackets(std::uint64_t seed);
    void tickWhenDue();
    void sendBatch(unsigned tcpFlags);
    void takeForwarded();

    Core::SystemClock m_clock;
    Telemetry::Metrics m_metrics;
    Telemetry::Tracer m_tracer;
    Placement::Engine m_engine;
    DataPath::UdpSocket m_fabric;
    DataPath::UdpSocket m_upstream;
    std::unique_ptr<DataPath::Pipeline> m_pipeline;
    std::unique_ptr<DataPath::BatchReceiver> m_receiver { std::make_unique<DataPath::BatchReceiver>() };
    std::unique_ptr<DataPath::BatchReceiver> m_echoReceiver { std::make_unique<DataPath::BatchReceiver>() };
    DataPath::BatchSender m_sender;
    DataPath::BatchSender m_echoSender;
    std::vector<std::vector<std::uint8_t>> m_packets;
    std::size_t m_next { 0 };
    Core::TimePoint m_nextTick;
    std::uint64_t m_lost { 0 };
    std::uint64_t m_allocations { 0 };
};

}
