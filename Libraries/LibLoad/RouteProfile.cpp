#include <LibLoad/RouteProfile.h>

#include <algorithm>
#include <utility>

namespace Chicorytally::Load {

// Quantile of the response times that counts as fast. Rejections take no work, so nearly all are below it.
static constexpr double FastQuantile = 0.1;
// Step of the quantile estimate per response, as a part of it. Follows a change within a few hundred responses.
static constexpr double QuantileStep = 0.01;
// Step of the first responses, shared among them.
static constexpr double FirstStep = 0.5;
static constexpr std::uint32_t MinimumResponses = 10;
// Number of responses after which the counts of sizes are halved.
static constexpr double SizeWindow = 10'000;
// Fewer responses don't tell how many are usually short.
static constexpr double MinimumSizes = 50;
// Below half of the share of rejections at which contention starts.
static constexpr double UsualShortShare = 0.04;
// Number of opens after which the counts are halved, so that the average follows changes.
static constexpr double OpenWindow = 200;
// Weight of the assumption that an open brings one request, in opens.
static constexpr double PriorOpens = 5;
// A greater cost would let a wrong estimate keep a whole route out.
static constexpr double MaximumRequestsPerOpen = 20;

void RouteProfile::noteResponse(Core::ZoneId zone, std::chrono::nanoseconds duration)
{
    auto time = std::ranges::find(m_fastTimes, zone, &FastTime::zone);
    if (time == m_fastTimes.end())
        time = m_fastTimes.insert(time, { zone, static_cast<double>(duration.count()) });
    auto step = std::max(QuantileStep, FirstStep / (time->responses + 1));
    bool isBelow = static_cast<double>(duration.count()) < time->nanoseconds;
    time->nanoseconds *= isBelow ? 1 - step * (1 - FastQuantile) : 1 + step * FastQuantile;
    time->responses = std::min(time->responses + 1, MinimumResponses * 100);
}

std::optional<std::chrono::nanoseconds> RouteProfile::fastTime(Core::ZoneId zone) const
{
    auto const* time = std::ranges::find(m_fastTimes, zone, &FastTime::zone);
    if (time == m_fastTimes.end() || time->responses < MinimumResponses)
        return std::nullopt;
    return std::chrono::nanoseconds { static_cast<std::int64_t>(time->nanoseconds) };
}

void RouteProfile::noteSize(bool isShort)
{
    m_currentSizes.responses += 1;
    m_currentSizes.shortOnes += isShort ? 1 : 0;
}

void RouteProfile::learnSizes(bool isContended)
{
    auto current = std::exchange(m_currentSizes, {});
    auto previous = std::exchange(m_previousSizes, isContended ? SizeCounts {} : current);
    if (isContended)
        return;
    m_usualSizes.responses += previous.responses;
    m_usualSizes.shortOnes += previous.shortOnes;
    if (m_usualSizes.responses < SizeWindow)
        return;
    m_usualSizes.responses /= 2;
    m_usualSizes.shortOnes /= 2;
}

bool RouteProfile::isShortUnusual() const
{
    return m_usualSizes.responses >= MinimumSizes && m_usualSizes.shortOnes <= UsualShortShare * m_usualSizes.responses;
}

void RouteProfile::noteOpen()
{
    m_opens += 1;
    if (m_opens < OpenWindow)
        return;
    m_opens /= 2;
    m_requests /= 2;
}

double RouteProfile::requestsPerOpen() const
{
    return std::clamp((m_requests + PriorOpens) / (m_opens + PriorOpens), 1.0, MaximumRequestsPerOpen);
}

}
