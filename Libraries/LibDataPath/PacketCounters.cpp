#include <LibDataPath/PacketCounters.h>

namespace Chicorytally::DataPath {

static Telemetry::CounterShard& receivedShard(Telemetry::Metrics& metrics, std::string const& from)
{
    return metrics
        .counter(
            "chicorytally_packets_received_total", "Packets received, by where they came from.", { { "from", from } })
        .makeShard();
}

PacketCounters::PacketCounters(Telemetry::Metrics& metrics)
    : m_metrics(metrics)
    , m_fromFabric(receivedShard(metrics, "fabric"))
    , m_fromPeers(receivedShard(metrics, "peer"))
    , m_sendFailures(
          metrics.counter("chicorytally_send_failures_total", "Packets that the kernel did not take.").makeShard())
    , m_batchSize(metrics.histogram(
          "chicorytally_batch_packets", "Packets per receive call.", Telemetry::exponentialBounds(1, 2, 7)))
{
}

void PacketCounters::countBatch(std::size_t received)
{
    if (received)
        m_batchSize.record(static_cast<double>(received));
}

Telemetry::CounterShard& PacketCounters::decidedCounter(Placement::Decision const& decision)
{
    auto& shard = m_decided[static_cast<std::size_t>(decision.verdict)][static_cast<std::size_t>(decision.reason)];
    if (!shard) {
        Telemetry::Labels labels { { "verdict", std::string { toString(decision.verdict) } },
            { "reason", std::string { toString(decision.reason) } } };
        shard = &m_metrics.counter("chicorytally_packets_decided_total", "Packets by decision.", labels).makeShard();
    }
    return *shard;
}

Telemetry::CounterShard& PacketCounters::droppedCounter(PacketContext const& context)
{
    auto isBadPacket = context.dropReason == DropReason::BadPacket;
    auto& shard = isBadPacket ? m_badPackets[static_cast<std::size_t>(context.parseError)]
                              : m_dropped[static_cast<std::size_t>(context.dropReason)];
    if (!shard) {
        auto reason = isBadPacket ? toString(context.parseError) : toString(context.dropReason);
        shard = &m_metrics
                     .counter("chicorytally_packets_dropped_total", "Packets dropped, by reason.",
                         { { "reason", std::string { reason } } })
                     .makeShard();
    }
    return *shard;
}

void PacketCounters::count(PacketContext const& context)
{
    (context.info.hopCount ? m_fromPeers : m_fromFabric).add();
    if (context.isDecided)
        decidedCounter(context.decision).add();
    if (context.dropReason != DropReason::None)
        droppedCounter(context).add();
}

}
