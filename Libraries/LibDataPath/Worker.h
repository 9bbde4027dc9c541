#pragma once

#include <LibDataPath/FilterChain.h>
#include <LibDataPath/UdpSocket.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>

namespace Chicorytally::DataPath {

/// Packets that a worker has handled since its start.
struct WorkerCounters {
    std::atomic<std::uint64_t> received { 0 };
    std::atomic<std::uint64_t> forwarded { 0 };
    std::atomic<std::uint64_t> dropped { 0 };
    std::atomic<std::uint64_t> sendFailures { 0 };
};

/// One thread that receives a batch, runs the filter chain on each packet and sends a batch.
class Worker {
public:
    Worker(UdpSocket, std::shared_ptr<FilterChain const>);
    Worker(Worker const&) = delete;
    Worker& operator=(Worker const&) = delete;
    ~Worker();

    void start();
    /// Handles what was already received, then ends the thread.
    void stop();
    WorkerCounters const& counters() const { return m_counters; }

    /// Receives and forwards one batch; the number of packets received.
    std::size_t runOnce();

private:
    void run();

    UdpSocket m_socket;
    std::shared_ptr<FilterChain const> m_chain;
    std::unique_ptr<BatchReceiver> m_receiver;
    BatchSender m_sender;
    std::array<PacketContext, BatchSize> m_contexts;
    WorkerCounters m_counters;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

}
