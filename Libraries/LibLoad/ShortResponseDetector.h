#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Chicorytally::Load {

struct ShortResponseDetectorOptions {
    /// Sizes are capped at about one packet; larger responses carry no additional information.
    std::uint32_t maximumBytes { 1200 };
    /// A response below this fraction of the route's mean size is short, since an error is little more than headers.
    double shortFraction { 0.4 };
    /// Number of responses on a route before any of them can be classified as short.
    std::uint32_t minimumResponses { 20 };
    /// If a greater fraction of a route's responses is short, its good responses vary as much, and none is reported.
    double maximumShortRate { 0.2 };
    /// Weight of the newest response in the mean size.
    double sizeWeight { 0.05 };
    /// Weight of the newest response in the rate of short ones. Low, so that a burst of errors doesn't exceed
    /// maximumShortRate.
    double rateWeight { 0.01 };
};

enum class ResponseSize : std::uint8_t {
    Usual,
    /// Short, and few of the route's responses are: probably an error.
    RarelyShort,
    /// Short, as many of the route's responses are: rejections in an overload, or a route with varied sizes.
    OftenShort,
};

/// Detects responses that are probably errors by their size. With direct server return, a balancer sees only the
/// callers' packets and no response status, but a caller acknowledges as many bytes as it received. Not thread-safe.
class ShortResponseDetector {
public:
    explicit ShortResponseDetector(ShortResponseDetectorOptions);

    /// Records a response of the route with this address and compares it with the earlier ones.
    ResponseSize classify(Core::Endpoint const& route, std::uint32_t bytes);
    /// Records a response of the route with this address. Returns whether it is short, and few are.
    bool noteResponse(Core::Endpoint const& route, std::uint32_t bytes)
    {
        return classify(route, bytes) == ResponseSize::RarelyShort;
    }

private:
    struct RouteStatistics {
        std::uint32_t responses { 0 };
        double meanBytes { 0 };
        double shortRate { 0 };
    };

    bool isShort(RouteStatistics const&, std::uint32_t bytes) const;

    ShortResponseDetectorOptions m_options;
    absl::flat_hash_map<Core::Endpoint, RouteStatistics> m_routes;
};

}
