#include "Wire.h"

#include <HarnessControl/SampleFiles.h>
#include <LibMessages/Messages.h>

#include <absl/strings/str_cat.h>

namespace Chicorytally::Benchmarks {

static constexpr std::size_t HeaderBytes = 28;

static Messages::EnvelopeSealer makeSealer()
{
    auto key = *Messages::PeerKey::fromHex(std::string(2 * Messages::KeySize, 'c'));
    return { key, Core::VmId { Core::hash64("vm-1") }, Core::Incarnation { 1'700'000'000'000 } };
}

static double sizeOf(Messages::PeerMessage message)
{
    return static_cast<double>(makeSealer().seal({ std::move(message) }).size() + HeaderBytes);
}

static std::int64_t idOf(std::size_t index) { return static_cast<std::int64_t>(Core::hashPair(index, 1)); }

static double sizeOf(Messages::PlacementMessage const& message)
{
    Messages::PeerMessage peerMessage;
    peerMessage.__set_placement(message);
    return sizeOf(std::move(peerMessage));
}

static Messages::UpstreamReference upstreamReference()
{
    Messages::UpstreamReference reference;
    reference.id = idOf(7);
    return reference;
}

static double recordBatchSize(std::size_t records)
{
    Messages::RecordBatch batch;
    batch.serviceId = idOf(1);
    batch.sequence = 100'000;
    batch.upstreams.push_back(upstreamReference());
    for (std::size_t i = 0; i < records; ++i) {
        Messages::FlowRecordCopy record;
        record.flow = idOf(i);
        record.bucket = static_cast<std::int32_t>(i * 30);
        record.upstream = 0;
        record.__set_ageMilliseconds(1000);
        batch.records.push_back(record);
    }
    Messages::PlacementMessage message;
    message.__set_recordBatch(batch);
    return sizeOf(message);
}

static double bucketNoticeSize(std::size_t buckets)
{
    Messages::BucketNotice notice;
    notice.serviceId = idOf(1);
    notice.sequence = 100'000;
    notice.upstreams.push_back(upstreamReference());
    for (std::size_t i = 0; i < buckets; ++i) {
        Messages::BucketEntry entry;
        entry.bucket = static_cast<std::int32_t>(i * 8);
        entry.epoch = idOf(i);
        entry.baseline = 0;
        entry.__set_tracked(true);
        notice.entries.push_back(entry);
    }
    Messages::PlacementMessage message;
    message.__set_bucketNotice(notice);
    return sizeOf(message);
}

static double placementAcknowledgementSize()
{
    Messages::PlacementAcknowledgement acknowledgement;
    acknowledgement.sequences.push_back(100'000);
    Messages::PlacementMessage message;
    message.__set_acknowledgement(acknowledgement);
    return sizeOf(message);
}

static double healthResultsSize(std::size_t results)
{
    Messages::HealthResults content;
    for (std::size_t i = 0; i < results; ++i) {
        Messages::HealthResult result;
        result.upstream = idOf(i);
        result.healthy = true;
        result.__set_latencyMicroseconds(1500);
        result.__set_reportedConnections(1200);
        result.__set_reportedBusySlots(3);
        result.__set_ageMilliseconds(500);
        content.results.push_back(result);
    }
    Messages::LoadMessage message;
    message.__set_healthResults(content);
    Messages::PeerMessage peerMessage;
    peerMessage.__set_load(message);
    return sizeOf(std::move(peerMessage));
}

static double upstreamCountsSize(std::size_t counts)
{
    Messages::UpstreamCounts content;
    for (std::size_t i = 0; i < counts; ++i) {
        Messages::UpstreamCount count;
        count.upstream = idOf(i);
        count.openFlows = 1200;
        content.counts.push_back(count);
    }
    Messages::LoadMessage message;
    message.__set_upstreamCounts(content);
    Messages::PeerMessage peerMessage;
    peerMessage.__set_load(message);
    return sizeOf(std::move(peerMessage));
}

static double configurationBytesPerUpstream()
{
    constexpr std::size_t Upstreams = 4000;
    std::size_t size = 0;
    for (auto const& [name, content] : sampleFiles(Upstreams))
        size += name.size() + content.size();
    return static_cast<double>(size) / Upstreams;
}

void measureWireSizes(FigureReport& report)
{
    report.add("configuration_bytes_per_upstream", configurationBytesPerUpstream(), "B");
    report.add("bytes_per_message_overhead", recordBatchSize(0), "B");
    report.add("bytes_per_flow_record", (recordBatchSize(30) - recordBatchSize(10)) / 20, "B");
    // The buckets that change when one of 8 upstreams leaves a service with 1,024 buckets.
    report.add("bytes_per_bucket_notice_128_buckets", bucketNoticeSize(128), "B");
    report.add("bytes_per_placement_acknowledgement", placementAcknowledgementSize(), "B");
    report.add("bytes_per_health_result", (healthResultsSize(30) - healthResultsSize(10)) / 20, "B");
    report.add("bytes_per_upstream_count", (upstreamCountsSize(30) - upstreamCountsSize(10)) / 20, "B");
    // The share of opens that differ from the baseline is a parameter until the placement benchmark gives it: the bound
    // on the peer-hop share of design.md, section 11.
    constexpr double TrackedShare = 0.05;
    report.add("parameter_tracked_share_of_opens", TrackedShare, "1");
    auto perOpen = TrackedShare * (recordBatchSize(30) - recordBatchSize(10)) / 20;
    report.add("slope_record_bytes_per_open_of_a_node", perOpen, "B");
    for (double opens : { 600.0, 3000.0 })
        report.add(absl::StrCat("record_bytes_per_node_", opens, "_opens_5_nodes"), perOpen * opens / 5, "B/s");
    report.add("record_bytes_per_node_250000_opens_2100_nodes", perOpen * 250'000 / 2100, "B/s");
}

}
