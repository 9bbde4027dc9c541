#pragma once

#include <Harness/Fleet.h>

#include <deque>

namespace Chicorytally::Benchmarks {

struct LoadOptions {
    std::size_t heldFlows { 200'000 };
    std::size_t opensPerSecond { 3'000 };
    /// Data packets of each held flow per second.
    double packetsPerSecond { 1 };
};

/// Holds a number of flows open through a fleet: opens and closes at the same rate, and data packets in turn.
class LoadDriver {
public:
    LoadDriver(Harness::Fleet&, LoadOptions, std::vector<Core::ServiceId>);

    /// Opens all held flows within 10 s.
    void fill();
    void run(std::chrono::seconds);
    /// Each flow sends a packet, the second one half a second later.
    void sendOnAll();

    std::size_t establishedFlows() const { return m_established; }
    std::uint64_t droppedData() const { return m_droppedData; }
    std::uint64_t sentData() const { return m_sentData; }
    /// Greatest number of bytes that one balancer sent in one second since the last call of resetBusiest().
    std::uint64_t busiestSecond() const { return m_busiest; }
    void resetBusiest() { m_busiest = 0; }
    /// Held flows by upstream of one service.
    std::map<Core::UpstreamId, std::size_t> flowsByUpstream(Core::ServiceId) const;

private:
    void open(std::size_t count);
    void retry();
    void close(std::size_t count);
    void data(double count);
    void sampleControl();

    Harness::Fleet& m_fleet;
    LoadOptions m_options;
    std::vector<Core::ServiceId> m_services;
    std::deque<Harness::Flow> m_flows;
    std::vector<Harness::Flow*> m_held;
    std::deque<std::pair<Core::TimePoint, Harness::Flow*>> m_waiting;
    std::vector<std::uint64_t> m_controlBytes;
    std::uint32_t m_next { 0 };
    std::size_t m_cursor { 0 };
    std::size_t m_established { 0 };
    double m_dataDue { 0 };
    std::uint64_t m_droppedData { 0 };
    std::uint64_t m_sentData { 0 };
    std::uint64_t m_busiest { 0 };
};

}
