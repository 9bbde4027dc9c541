#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>

namespace Chicorytally::Load {

/// Flows and requests of one upstream whose packets pass through this balancer.
struct UpstreamLoad {
    std::uint32_t openFlows { 0 };
    /// Forwarded requests whose response the caller hasn't acknowledged yet.
    std::uint32_t requestsInFlight { 0 };
};

/// Counts flows and requests in flight per upstream. Not thread-safe.
class UpstreamLoadCounter {
public:
    void flowOpened(Core::UpstreamId upstream) { ++m_loads[upstream].openFlows; }
    void flowClosed(Core::UpstreamId upstream) { --m_loads[upstream].openFlows; }
    void requestStarted(Core::UpstreamId upstream) { ++m_loads[upstream].requestsInFlight; }
    void requestEnded(Core::UpstreamId upstream) { --m_loads[upstream].requestsInFlight; }

    UpstreamLoad loadOf(Core::UpstreamId upstream) const
    {
        auto load = m_loads.find(upstream);
        return load == m_loads.end() ? UpstreamLoad {} : load->second;
    }

    /// Calls the function with the ID and the load of each upstream that has ever had a flow.
    template <typename Function> void forEach(Function function) const
    {
        for (auto const& [upstream, load] : m_loads)
            function(upstream, load);
    }

private:
    absl::flat_hash_map<Core::UpstreamId, UpstreamLoad> m_loads;
};

}
