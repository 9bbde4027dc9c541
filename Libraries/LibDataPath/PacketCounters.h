#pragma once

#include <LibDataPath/FilterChain.h>
#include <LibTelemetry/Telemetry.h>

#include <array>

namespace Chicorytally::DataPath {

/// One worker's shards of the packet metrics. Not thread-safe.
class PacketCounters {
public:
    explicit PacketCounters(Telemetry::Metrics&);

    void countBatch(std::size_t received);
    /// Counts a packet by its origin, by verdict and reason if it was decided, and by drop reason if it was dropped.
    void count(PacketContext const&);
    void countSendFailures(std::size_t count) { m_sendFailures.add(count); }

private:
    static constexpr std::size_t VerdictCount = static_cast<std::size_t>(Placement::Verdict::Drop) + 1;

    Telemetry::CounterShard& decidedCounter(Placement::Decision const&);
    Telemetry::CounterShard& droppedCounter(PacketContext const&);

    Telemetry::Metrics& m_metrics;
    Telemetry::CounterShard& m_fromFabric;
    Telemetry::CounterShard& m_fromPeers;
    Telemetry::CounterShard& m_sendFailures;
    Telemetry::Histogram& m_batchSize;
    // Created on first use, so that the metrics contain only combinations that have occurred.
    std::array<std::array<Telemetry::CounterShard*, Placement::ReasonCount>, VerdictCount> m_decided {};
    std::array<Telemetry::CounterShard*, DropReasonCount> m_dropped {};
    std::array<Telemetry::CounterShard*, Packet::ParseErrorCount> m_badPackets {};
};

}
