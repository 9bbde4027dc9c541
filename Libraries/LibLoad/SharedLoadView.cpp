#include <LibLoad/SharedLoadView.h>

#include <algorithm>

namespace Chicorytally::Load {

SharedLoadView::SharedLoadView(
    SharedLoadViewOptions options, Directory::UpstreamDirectory const& directory, UpstreamSpeed const& ownSpeeds)
    : m_options(options)
    , m_directory(directory)
    , m_ownSpeeds(ownSpeeds)
{
}

void SharedLoadView::tick()
{
    m_speeds.clear();
    m_unevenServices.clear();
    if (!m_options.isEnabled)
        return;
    m_ownSpeeds.forEach([this](Core::UpstreamId id, SpeedEstimate const& estimate) {
        auto const* record = m_directory.find(id);
        auto speed = estimate.speed();
        if (!record || speed == 1)
            return;
        m_speeds[id] = speed;
        auto& range = m_unevenServices[record->entry.service];
        range.slowest = std::min(range.slowest, speed);
        range.fastest = std::max(range.fastest, speed);
    });
    absl::erase_if(m_unevenServices,
        [this](auto const& entry) { return entry.second.fastest <= m_options.evenSpeedRatio * entry.second.slowest; });
}

double SharedLoadView::speedOf(Core::UpstreamId id) const
{
    auto speed = m_speeds.find(id);
    return speed == m_speeds.end() ? 1 : speed->second;
}

bool SharedLoadView::explainsSilence(Core::UpstreamId id, std::chrono::milliseconds silence) const
{
    // Few responses take more than twice the mean time.
    constexpr double LongResponseFactor = 2;
    // About a response within the last second. An upstream that answers nothing is not slow but stalled.
    constexpr double MinWeight = 1;
    auto usual = m_ownSpeeds.usualTimeOf(id);
    auto estimate = m_ownSpeeds.estimateOf(id);
    return m_options.isEnabled && usual && estimate.weight >= MinWeight
        && LongResponseFactor * std::exp(estimate.logTime) * *usual > silence;
}

}
