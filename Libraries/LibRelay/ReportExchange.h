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
    /// A report is forwarded only once within this time, which prevents forwarding loops.
    std::chrono::milliseconds deduplicationInterval { 2000 };
    /// Reports within this time after a send are batched, because the loss of a zone affects many upstreams at once.
    std::chrono::milliseconds batchInterval { 50 };
    /// Maximum number of reports in a batch; further ones are dropped. 64 reports fit in a datagram of 1,400 bytes.
    std::size_t maximumBatchSize { 64 };
};

struct ReportExchangeHooks {
    /// Sends reports to the balancers that forward them.
    std::function<void(Reports const&)> sendToRelays;
    /// Sends reports to the balancers that follow this one.
    std::function<void(Reports const&)> sendToFollowers;
    /// Called for each new report of another balancer.
    std::function<void(Load::PeerReport const&)> reportReceived;
};

/// Distributes reports of failed upstreams: the balancer that detects a failure sends a report to the relays, which
/// forward it to their followers. There is no consensus, and a lost report only delays detection: each balancer acts on
/// its own evidence, or on reports of several others. Not thread-safe.
class ReportExchange {
public:
    ReportExchange(Core::Clock const&, ReportExchangeOptions, ReportExchangeHooks);

    /// Sends a report of a failure that this balancer detected.
    void report(Core::UpstreamId, Load::ReportKind);
    /// Handles reports received from another balancer.
    void receive(Reports const&);
    /// Sends pending reports when they are due. To be called every 50 ms.
    void tick();

private:
    using Key = std::pair<Core::UpstreamId, Load::ReportKind>;

    struct RecentReport {
        Core::TimePoint windowStart;
        std::vector<Core::VmId> reporters;
    };

    bool recordIfNew(Load::PeerReport const&);
    void appendToBatch(Reports&, Load::PeerReport const&) const;
    void flushIfDue();

    Core::Clock const& m_clock;
    ReportExchangeOptions m_options;
    ReportExchangeHooks m_hooks;
    absl::flat_hash_map<Key, RecentReport> m_recentReports;
    Reports m_pendingForRelays;
    Reports m_pendingForFollowers;
    Core::TimePoint m_nextFlushAt;
};

}
