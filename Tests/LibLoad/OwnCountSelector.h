#pragma once

#include <LibLoad/Load.h>

#include <random>
#include <tuple>

namespace Chicorytally::Load {

/// The rule of LeastLoadedSelector without speeds, for comparison: fewest flows per slot in the local zone; if the
/// least loaded upstream there has a request in flight per slot, fewest requests per slot in all zones. Treats every
/// upstream as usable.
class OwnCountSelector {
public:
    OwnCountSelector(Core::ZoneId zone, std::uint64_t seed, Directory::UpstreamDirectory const& directory,
        UpstreamLoadCounter const& load)
        : m_zone(zone)
        , m_random(seed)
        , m_directory(directory)
        , m_load(load)
    {
    }

    Directory::UpstreamRecord const* choose(Core::ServiceId service)
    {
        using Key = std::tuple<double, double, std::uint64_t>;
        Directory::UpstreamRecord const* local = nullptr;
        Directory::UpstreamRecord const* remote = nullptr;
        Key localKey;
        Key remoteKey;
        for (auto const* record : m_directory.upstreamsOf(service)) {
            auto const& upstream = record->entry.upstream;
            auto load = m_load.loadOf(upstream.id);
            double flows = load.openFlows / static_cast<double>(upstream.slots);
            double requests = load.requestsInFlight / static_cast<double>(upstream.slots);
            auto random = m_random();
            if (upstream.zone == m_zone) {
                Key key { flows, requests, random };
                if (!local || key < localKey) {
                    local = record;
                    localKey = key;
                }
            } else if (Key key { requests, flows, random }; !remote || key < remoteKey) {
                remote = record;
                remoteKey = key;
            }
        }
        if (!remote || (local && std::get<1>(localKey) < 1))
            return local;
        Key byRequests { std::get<1>(localKey), std::get<0>(localKey), std::get<2>(localKey) };
        return local && byRequests < remoteKey ? local : remote;
    }

private:
    Core::ZoneId m_zone;
    std::mt19937_64 m_random;
    Directory::UpstreamDirectory const& m_directory;
    UpstreamLoadCounter const& m_load;
};

}
