#pragma once

#include <LibDataPath/FilterChain.h>
#include <LibTelemetry/Telemetry.h>

#include <array>

namespace Chicorytally::DataPath {

/// One worker's part of the packet metrics. Not thread-safe.
class PacketCounters {
public:
    explicit PacketCounters(Telemetry::Metrics&);

    void countBatch(std::size_t received);
    /// Counts a packet by verdict and reason, or by the reason of its drop.
    void count(PacketContext const&);
    void countSendFailures(std::size_t count) { m_sendFailures.add(count); }

private:
    static constexpr std::size_t VerdictCount = static_cast<std::size_t>(Placement::Verdict::Drop) + 1;

    Telemetry::CounterShard& decided(Placement::Decision const&);
    Telemetry::CounterShard& dropped(PacketContext const&);

    Telemetry::Metrics& m_metrics;
    Telemetry::CounterShard& m_fromFabric;
    Telemetry::CounterShard& m_fromPeers;
    Telemetry::CounterShard& m_sendFailures;
    Telemetry::Histogram& m_batchSize;
    // Made when a combination is first seen, so that the scrape shows only what happens.
    std::array<std::array<Telemetry::CounterShard*, Placement::ReasonCount>, VerdictCount> m_decided {};
    std::array<Telemetry::CounterShard*, DropReasonCount> m_dropped {};
    std::array<Telemetry::CounterShard*, Packet::ParseErrorCount> m_badPackets {};
};

}
