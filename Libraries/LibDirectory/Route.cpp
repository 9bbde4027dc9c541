#include <LibDirectory/Route.h>

#include <numeric>

namespace Chicorytally::Directory {

Core::ServiceId serviceId(std::string_view name) { return Core::ServiceId { Core::hash64(name) }; }

std::string_view toString(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Safe:
        return "safe";
    case RequestKind::Unsafe:
        return "unsafe";
    case RequestKind::Download:
        return "download";
    }
    return "unknown";
}

Core::ServiceId Route::serviceFor(std::uint64_t flowHash) const
{
    if (services.size() == 1)
        return services.front().service;
    auto addWeight = [](std::uint64_t sum, WeightedService const& entry) { return sum + entry.weight; };
    auto total = std::accumulate(services.begin(), services.end(), std::uint64_t { 0 }, addWeight);
    auto position = flowHash % total;
    for (auto const& entry : services) {
        if (position < entry.weight)
            return entry.service;
        position -= entry.weight;
    }
    return services.back().service;
}

}
