#pragma once

#include <LibLoad/TokenBucket.h>
#include <LibPlacement/Placement.h>

namespace Chicorytally::Load {

/// Limits the repeated opens of a service to a fraction of its opens, so that retrying callers can't amplify an
/// overload. Not thread-safe.
class RetryBudget {
public:
    static constexpr double RepeatsPerOpen = 0.1;
    /// Number of repeated opens that are admitted in a burst, also for a service with few opens.
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

/// How a refused caller is answered.
enum class RefusalAdvice : std::uint8_t {
    /// With a TCP reset or ICMP error: the request wasn't executed, and an immediate retry would fail, too.
    DoNotRetry,
    /// Not at all: there may be capacity again when the caller retransmits.
    RetryLater,
};

RefusalAdvice refusalAdvice(Placement::Reason);

}
