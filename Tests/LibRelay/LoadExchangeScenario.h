#pragma once

#include "LoadExchangeFleet.h"

namespace Chicorytally {

inline Core::UpstreamId const Marked { 0xabcd'ef01'2345'6789 };
inline constexpr std::size_t UpstreamCount = 150;

inline Load::UpstreamLoadReport observation(Core::UpstreamId upstream, double relativeResponseTime = 1)
{
    return { .upstream = upstream,
        .incarnation = Core::Incarnation { 1'790'000'000'000 },
        .requestsInFlight = 1,
        .relativeResponseTime = relativeResponseTime,
        .responseWeight = 8 };
}

inline Core::UpstreamId ordinaryUpstream(std::size_t index)
{
    return Core::UpstreamId { Core::hash64(std::to_string(index)) };
}

/// Observes which nodes have received observations of the marked upstream.
struct Watch {
    explicit Watch(LoadExchangeFleet& fleet)
        : m_fleet(fleet)
    {
        fleet.reportReceived = [this](auto node, auto const& report) {
            for (auto const& upstream : report.upstreams) {
                if (upstream.upstream == Marked)
                    m_seen.emplace(report.reporter, node);
            }
        };
    }

    /// Share of the nodes that are up, other than the reporter, that have received the reporter's observation.
    double share(std::size_t reporter) const
    {
        double up = 0;
        double informed = 0;
        for (std::size_t node = 0; node < m_fleet.nodes.size(); ++node) {
            if (node == reporter || !m_fleet.nodes[node].isUp)
                continue;
            ++up;
            informed += m_seen.contains({ LoadExchangeFleet::reporter(reporter), node }) ? 1 : 0;
        }
        return informed / up;
    }

    /// Share of the nodes that have received some observation.
    double shareOfAny() const
    {
        std::set<std::size_t> nodes;
        for (auto const& [reporter, node] : m_seen)
            nodes.insert(node);
        return static_cast<double>(nodes.size()) / static_cast<double>(m_fleet.nodes.size());
    }

private:
    LoadExchangeFleet& m_fleet;
    std::set<std::pair<Core::VmId, std::size_t>> m_seen;
};

/// Lets some nodes report the marked upstream from now on, and others nothing.
inline void reportMarked(LoadExchangeFleet& fleet, std::set<std::size_t> const& reporters)
{
    fleet.makeReport = [reporters](auto node, auto) {
        Load::LoadReport report { LoadExchangeFleet::reporter(node), {} };
        if (reporters.contains(node))
            report.upstreams.push_back(observation(Marked));
        return report;
    };
}

/// Lets all nodes report all upstreams in turn, after the marked one if they are among its reporters.
inline void reportMuch(LoadExchangeFleet& fleet, std::function<bool(std::size_t)> const& isMarkedReporter)
{
    auto next = std::make_shared<std::map<std::size_t, std::size_t>>();
    fleet.makeReport = [next, isMarkedReporter](auto node, auto maximum) {
        Load::LoadReport report { LoadExchangeFleet::reporter(node), {} };
        if (isMarkedReporter(node))
            report.upstreams.push_back(observation(Marked, 4));
        auto& position = next->try_emplace(node, node * 7).first->second;
        while (report.upstreams.size() < maximum)
            report.upstreams.push_back(observation(ordinaryUpstream(position++ % UpstreamCount)));
        return report;
    };
}

}
