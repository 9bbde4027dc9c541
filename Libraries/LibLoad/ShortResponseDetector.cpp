#include <LibLoad/ShortResponseDetector.h>

#include <algorithm>

namespace Chicorytally::Load {

ShortResponseDetector::ShortResponseDetector(ShortResponseDetectorOptions options)
    : m_options(options)
{
}

bool ShortResponseDetector::noteResponse(Core::Endpoint const& route, std::uint32_t bytes)
{
    auto& sizes = m_routes[route];
    auto size = static_cast<double>(std::min(bytes, m_options.maximumBytes));
    bool isKnown = sizes.answers >= m_options.minimumAnswers;
    bool isShort = isKnown && size < m_options.shortShare * sizes.meanBytes;
    // The first answers weigh alike.
    auto weight = std::max(m_options.sizeWeight, 1.0 / (sizes.answers + 1));
    sizes.answers = std::min(sizes.answers + 1, m_options.minimumAnswers);
    sizes.shortRate += m_options.rateWeight * ((isShort ? 1.0 : 0.0) - sizes.shortRate);
    // Errors must not pull the mean down until they look normal.
    if (!isShort)
        sizes.meanBytes += weight * (size - sizes.meanBytes);
    return isShort && sizes.shortRate <= m_options.maximumShortRate;
}

}
