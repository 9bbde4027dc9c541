#pragma once

#include <LibLoad/TokenBucket.h>
#include <LibPlacement/Placement.h>

namespace Chicorytally::Load {

/// Bounds repeated opens of a service to a part of its opens, so that callers that repeat can't multiply an overload.
/// Not thread-safe.
class RetryBudget {
public:
    static constexpr double RepeatsPerOpen = 0.1;
    /// Repeats that are always possible in a row; a service with few opens must still be able to repeat.
    static constexpr double BurstCapacity = 20;
    static constexpr double RepeatsPerSecond = 1;

    void opened() { m_tokens.add(RepeatsPerOpen, BurstCapacity); }

    bool admitRepeat(Core::TimePoint now)
    {
        m_tokens.refill(RepeatsPerSecond, BurstCapacity, now);
        return m_tokens.take();
    }

private:
    TokenBucket m_tokens { BurstCapacity };
};

/// What a refused caller is told.
enum class RefusalAdvice : std::uint8_t {
    /// TCP reset or ICMP: the request was not run, and trying again at once makes no sense.
    DoNotRetry,
    /// Silence: the caller's own retransmission comes when there may be room again.
    RetryLater,
};

RefusalAdvice refusalAdvice(Placement::Reason);

}
