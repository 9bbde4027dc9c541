#pragma once

#include <LibDataPath/FilterChain.h>
#include <LibDataPath/UdpSocket.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <thread>

namespace Chicorytally::DataPath {

/// Packets that a worker has handled since its start.
struct WorkerCounters {
    std::atomic<std::uint64_t> received { 0 };
    /// Packets and refusals sent.
    std::atomic<std::uint64_t> forwarded { 0 };
    std::atomic<std::uint64_t> dropped { 0 };
    std::atomic<std::uint64_t> sendFailures { 0 };
};

/// Called on the thread of the worker.
struct WorkerHooks {
    /// Before the packets of a batch are handled.
    std::function<void(std::size_t received)> batchStarted;
    /// After the last filter of a packet, also when it was dropped.
    std::function<void(PacketContext const&)> packetHandled;
    /// After a batch was sent.
    std::function<void(std::size_t sendFailures)> batchSent;
};

/// The filters of a worker, in two parts.
struct WorkerChains {
    /// Says what kind of packet it is.
    std::shared_ptr<FilterChain const> classify;
    /// Decides and builds what is sent. In a full batch, it handles packets of established flows before new flows.
    std::shared_ptr<FilterChain const> handle;
};

/// One thread that receives a batch, runs the filters on each packet and sends a batch.
class Worker {
public:
    /// A process that was paused longer drops the packets that waited: their flows may have ended or moved since.
    static constexpr std::chrono::seconds PauseLimit { 1 };

    /// The clock must outlive the worker.
    Worker(Core::Clock const&, UdpSocket, WorkerChains, WorkerHooks = {});
    Worker(Worker const&) = delete;
    Worker& operator=(Worker const&) = delete;
    ~Worker();

    void start();
    /// Handles what was already received, then ends the thread.
    void stop();
    WorkerCounters const& counters() const { return m_counters; }
    UdpSocket const& socket() const { return m_socket; }

    /// Receives and forwards one batch; the number of packets received.
    std::size_t runOnce();
    /// The same, but drops all that waits when the last call is too long ago.
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
