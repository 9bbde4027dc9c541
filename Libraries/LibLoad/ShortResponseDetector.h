#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Chicorytally::Load {

struct ShortResponseDetectorOptions {
    /// More bytes than this say nothing more; about a packet.
    std::uint32_t maximumBytes { 1200 };
    /// An answer below this share of the route's mean is short: an error carries headers and little else.
    double shortFraction { 0.4 };
    /// Answers of a route before any of them can be called short.
    std::uint32_t minimumResponses { 20 };
    /// Where more of a route's answers are short, its good answers differ as much, and none is called short.
    double maximumShortRate { 0.2 };
    /// Weight of the newest answer in the mean size.
    double sizeWeight { 0.05 };
    /// The same in the rate of short answers, which must outlast a spell of errors.
    double rateWeight { 0.01 };
};

/// Tells answers that are probably errors by their size, since a balancer that sees only the callers' side knows no
/// status: a caller acknowledges as many bytes as it got. Not thread-safe.
class ShortResponseDetector {
public:
    explicit ShortResponseDetector(ShortResponseDetectorOptions);

    /// Notes an answer of the route with that address and says whether it is short.
    bool noteResponse(Core::Endpoint const& route, std::uint32_t bytes);

private:
    struct RouteStatistics {
        std::uint32_t responses { 0 };
        double meanBytes { 0 };
        double shortRate { 0 };
    };

    ShortResponseDetectorOptions m_options;
    absl::flat_hash_map<Core::Endpoint, RouteStatistics> m_routes;
};

}
