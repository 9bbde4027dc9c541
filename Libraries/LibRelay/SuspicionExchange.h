#pragma once

#include <LibCore/Core.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <functional>
#include <vector>

namespace Chicorytally::Relay {

struct SuspicionExchangeOptions {
    /// An upstream is reported at most once in this time, so that a report that returns is not passed on again.
    std::chrono::milliseconds repeatInterval { 2000 };
    /// Reports that follow another one within this time are sent together, since a zone that is lost takes many
    /// upstreams with it.
    std::chrono::milliseconds batchInterval { 50 };
};

struct SuspicionExchangeHooks {
    /// Sends the upstreams to the balancers that pass reports on.
    std::function<void(std::vector<Core::UpstreamId> const&)> sendToRelays;
    /// Sends the upstreams to the balancers that follow this one.
    std::function<void(std::vector<Core::UpstreamId> const&)> sendToFollowers;
    /// Another balancer got no answer from the upstream.
    std::function<void(Core::UpstreamId)> reported;
};

/// Spreads the news that an upstream doesn't answer over the balancers: those that find it tell the relays, which tell
/// their followers. Nothing is agreed upon and a lost report costs only time, as each balancer probes for itself before
/// it acts. Not thread-safe.
class SuspicionExchange {
public:
    SuspicionExchange(Core::Clock const&, SuspicionExchangeOptions, SuspicionExchangeHooks);

    /// This balancer got no answer from the upstream.
    void report(Core::UpstreamId);
    /// A report of another balancer arrived.
    void receive(std::vector<Core::UpstreamId> const&);
    /// Sends what waits; to be called every 50 ms.
    void tick();

private:
    bool noteNews(Core::UpstreamId);
    void flushWhenDue();

    Core::Clock const& m_clock;
    SuspicionExchangeOptions m_options;
    SuspicionExchangeHooks m_hooks;
    absl::flat_hash_map<Core::UpstreamId, Core::TimePoint> m_lastReports;
    std::vector<Core::UpstreamId> m_forRelays;
    std::vector<Core::UpstreamId> m_forFollowers;
    Core::TimePoint m_nextFlush;
};

}
