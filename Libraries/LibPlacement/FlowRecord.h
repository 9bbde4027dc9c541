#pragma once

#include <LibCore/Core.h>
#include <LibPlacement/UpstreamIndexMap.h>

#include <cstdint>

namespace Chicorytally::Placement {

/// Low half of the keyed flow hash. The bucket comes from the high half, so that two flows are only confused when both
/// are equal; among 49 million flows the probability of such a pair is below 10^-7.
using FlowHash = std::uint64_t;

/// Time stored in a record, in units of 16 ms, so that 32 bits last two years.
class RecordTime {
public:
    RecordTime() = default;
    explicit RecordTime(Core::TimePoint time)
        : m_value(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count() >> 4))
    {
    }

    std::chrono::milliseconds age(RecordTime now) const
    {
        auto difference = static_cast<std::int32_t>(now.m_value - m_value);
        return std::chrono::milliseconds { std::int64_t { difference > 0 ? difference : 0 } << 4 };
    }

private:
    std::uint32_t m_value { 0 };
};

/// The upstream of one flow. The owner creates a record for an open or for a flow seen in a tracked bucket; the backup
/// holds a copy.
struct FlowRecord {
    UpstreamIndex upstream { NoUpstreamIndex };
    std::uint8_t bucketInGroup { 0 };
    /// Later packets of the flow may be forwarded: its upstream is the baseline, or a backup has had a copy.
    bool isConfirmed : 1 { false };
    /// The current replica peer has a copy.
    bool isCopied : 1 { false };
    bool isCopyQueued : 1 { false };
    bool isClosing : 1 { false };
    /// flowOpened was called for it.
    bool isCounted : 1 { false };
    RecordTime lastSeen;
    RecordTime opened;
};

static_assert(sizeof(FlowRecord) == 12);

}
