#pragma once

#include <LibDataPath/FilterChain.h>
#include <LibDataPath/UdpSocket.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>

namespace Chicorytally::DataPath {

/// Packet counts of a worker since its start.
struct WorkerCounters {
    std::atomic<std::uint64_t> received { 0 };
    /// Packets and refusals sent.
    std::atomic<std::uint64_t> forwarded { 0 };
    std::atomic<std::uint64_t> dropped { 0 };
    std::atomic<std::uint64_t> sendFailures { 0 };
};

/// Hooks that are called on the worker's thread.
struct WorkerHooks {
    /// Called before the packets of a batch are processed.
    std::function<void(std::size_t received)> batchStarted;
    /// Called when the filters have processed a packet, including dropped packets.
    std::function<void(PacketContext const&)> packetHandled;
    /// Called after a batch was sent.
    std::function<void(std::size_t sendFailures)> batchSent;
};

/// The two filter chains of a worker.
struct WorkerChains {
    /// Parses the packet and determines its kind and service.
    std::shared_ptr<FilterChain const> classify;
    /// Decides what happens to the packet and builds the datagram to send. In a full batch, it runs on the packets of
    /// established flows before those that open a flow.
    std::shared_ptr<FilterChain const> handle;
};

/// A thread that receives packets in batches, runs the filters on each packet and sends the results in batches.
class Worker {
public:
    /// After a longer pause of the process, queued packets are dropped, since their flows may have ended or moved.
    static constexpr std::chrono::seconds PauseLimit { 1 };

    /// The clock must outlive the worker.
    Worker(Core::Clock const&, UdpSocket, WorkerChains, WorkerHooks = {});
    Worker(Worker const&) = delete;
    Worker& operator=(Worker const&) = delete;
    ~Worker();

    void start();
    /// Processes the datagrams that are already in the socket buffer, then joins the thread.
    void stop();
    WorkerCounters const& counters() const { return m_counters; }
    UdpSocket const& socket() const { return m_socket; }

    /// Receives, processes and sends one batch; returns the number of packets received. If processing takes longer than
    /// PauseLimit, nothing of the batch is sent.
    std::size_t runOnce();
    /// Like runOnce(), but first drops all queued datagrams if more than PauseLimit has passed since the last call.
    std::size_t runOnceDroppingStale();

private:
    void run();
    void dropQueuedDatagrams();
    void initializeContexts(std::span<ReceivedDatagram const>);
    void classify(std::size_t count);
    void handle(PacketContext&);
    void handleBatch(std::size_t count);

    Core::Clock const& m_clock;
    Core::TimePoint m_lastRun;
    UdpSocket m_socket;
    WorkerChains m_chains;
    WorkerHooks m_hooks;
    std::unique_ptr<BatchReceiver> m_receiver;
    BatchSender m_sender;
    std::array<PacketContext, BatchSize> m_contexts;
    std::unique_ptr<std::array<Packet::RefusalBuffer, BatchSize>> m_refusals;
    std::size_t m_sentInBatch { 0 };
    WorkerCounters m_counters;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

}
