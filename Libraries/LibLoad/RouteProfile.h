#pragma once

#include <LibCore/Core.h>

#include <absl/container/inlined_vector.h>

#include <chrono>
#include <cstdint>
#include <optional>

namespace Chicorytally::Load {

/// What a balancer learns of one route from its traffic: how fast its fastest responses are, and how many requests a
/// new flow brings. Not thread-safe.
class RouteProfile {
public:
    /// A flow pays for the requests of its first second when it is opened.
    static constexpr std::chrono::seconds PrepaidTime { 1 };

    /// Records a response from an upstream of the zone that was not short.
    void noteResponse(Core::ZoneId, std::chrono::nanoseconds);
    /// Time below which only a tenth of the route's responses from the zone lie; unset after few responses. Zones are
    /// separate because of the network path.
    std::optional<std::chrono::nanoseconds> fastTime(Core::ZoneId) const;

    /// Records whether a response was short.
    void noteSize(bool isShort);
    /// Learns how many responses are usually short. To be called once per second. Counts reach the average two calls
    /// later, so that an overload is detected before its rejections count as usual.
    void learnSizes(bool isContended);
    /// Good responses of this route are hardly ever short, so that a short one is a rejection however late it arrives.
    bool isShortUnusual() const;

    void noteOpen();
    /// Records a request of a flow within PrepaidTime after its open.
    void notePrepaidRequest() { m_requests += 1; }
    /// Requests that a new flow starts within PrepaidTime, on average.
    double requestsPerOpen() const;

private:
    struct FastTime {
        Core::ZoneId zone;
        double nanoseconds { 0 };
        std::uint32_t responses { 0 };
    };

    struct SizeCounts {
        double responses { 0 };
        double shortOnes { 0 };
    };

    absl::InlinedVector<FastTime, 4> m_fastTimes;
    SizeCounts m_currentSizes;
    SizeCounts m_previousSizes;
    SizeCounts m_usualSizes;
    double m_opens { 0 };
    double m_requests { 0 };
};

}
