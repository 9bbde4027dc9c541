#include <LibLoad/ShortResponseDetector.h>

#include <algorithm>

namespace Chicorytally::Load {

ShortResponseDetector::ShortResponseDetector(ShortResponseDetectorOptions options)
    : m_options(options)
{
}

ResponseSize ShortResponseDetector::classify(Core::Endpoint const& route, std::uint32_t bytes)
{
    auto& statistics = m_routes[route];
    auto size = static_cast<double>(std::min(bytes, m_options.maximumBytes));
    bool isShort = this->isShort(statistics, bytes);
    // The first responses have equal weight.
    auto weight = std::max(m_options.sizeWeight, 1.0 / (statistics.responses + 1));
    statistics.responses = std::min(statistics.responses + 1, m_options.minimumResponses);
    statistics.shortRate += m_options.rateWeight * ((isShort ? 1.0 : 0.0) - statistics.shortRate);
    // Short responses are left out of the mean; otherwise a series of errors would lower it until they look normal.
    if (!isShort)
        statistics.meanBytes += weight * (size - statistics.meanBytes);
    if (!isShort)
        return ResponseSize::Usual;
    return statistics.shortRate <= m_options.maximumShortRate ? ResponseSize::RarelyShort : ResponseSize::OftenShort;
}

bool ShortResponseDetector::isShort(RouteStatistics const& statistics, std::uint32_t bytes) const
{
    bool isKnown = statistics.responses >= m_options.minimumResponses;
    return isKnown && std::min(bytes, m_options.maximumBytes) < m_options.shortFraction * statistics.meanBytes;
}

}
