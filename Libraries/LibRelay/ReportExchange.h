#pragma once

#include <LibCore/Core.h>
#include <LibLoad/Load.h>

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <functional>
#include <utility>
#include <vector>

namespace Chicorytally::Relay {

using Reports = std::vector<Load::PeerReport>;

struct ReportExchangeOptions {
    Core::VmId self;
    /// A report is passed on once in this time, so that one that returns ends here.
    std::chrono::milliseconds deduplicationInterval { 2000 };
    /// Reports that follow another one within this time are sent together, since a zone that is lost takes many
    /// upstreams with it.
    std::chrono::milliseconds batchInterval { 50 };
    /// Reports in a batch; further ones are dropped. 64 fit a datagram of 1,400 bytes.
    std::size_t maximumBatchSize { 64 };
};

struct ReportExchangeHooks {
    /// Sends to the balancers that pass reports on.
    std::function<void(Reports const&)> sendToRelays;
    /// Sends to the balancers that follow this one.
    std::function<void(Reports const&)> sendToFollowers;
    /// Another balancer reports an upstream.
    std::function<void(Load::PeerReport const&)> reportReceived;
};

/// Spreads what single balancers find out about upstreams: those that find it tell the relays, which tell their
/// followers. Nothing is agreed upon and a lost report costs only time: each balancer acts on evidence of its own, or
/// on that of several others. Not thread-safe.
class ReportExchange {
public:
    ReportExchange(Core::Clock const&, ReportExchangeOptions, ReportExchangeHooks);

    /// This balancer found something out.
    void report(Core::UpstreamId, Load::ReportKind);
    /// Reports of another balancer arrived.
    void receive(Reports const&);
    /// Sends what waits; to be called every 50 ms.
    void tick();

private:
    using Key = std::pair<Core::UpstreamId, Load::ReportKind>;

    struct Known {
        Core::TimePoint since;
        std::vector<Core::VmId> reporters;
    };

    bool noteNews(Load::PeerReport const&);
    void add(Reports&, Load::PeerReport const&) const;
    void flushWhenDue();

    Core::Clock const& m_clock;
    ReportExchangeOptions m_options;
    ReportExchangeHooks m_hooks;
    absl::flat_hash_map<Key, Known> m_known;
    Reports m_forRelays;
    Reports m_forFollowers;
    Core::TimePoint m_nextFlush;
};

}
