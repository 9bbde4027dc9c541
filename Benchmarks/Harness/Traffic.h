#pragma once

#include <Harness/Fleet.h>

#include <deque>

namespace Chicorytally::Harness {

struct TrafficOptions {
    double opensPerSecond { 100 };
    std::chrono::milliseconds packetInterval { 400 };
    std::chrono::milliseconds shortestLife { 500 };
    std::chrono::milliseconds longestLife { 20000 };
    /// Share of opens whose caller repeats the SYN although it was forwarded.
    double repeatedOpens { 0.2 };
};

/// Callers that open, use and close flows: an open is repeated after 1, 3 and 7 s when nothing came of it.
class Traffic {
public:
    Traffic(Fleet&, TrafficOptions, std::vector<Core::ServiceId>);

    /// Opens flows from now on for this long.
    void run(std::chrono::nanoseconds);
    /// Sends a packet on each live flow, and opens new ones, until each was forwarded or the attempts are used up.
    /// Returns the number of flows and opens that weren't served.
    std::size_t unservedFlows();

    std::deque<Flow>& flows() { return m_flows; }
    std::size_t establishedFlows() const;
    std::size_t abandonedOpens() const { return m_abandonedOpens; }

private:
    Flow& makeFlow();
    void open(Flow&, std::size_t attempt);
    void use(Flow&, Core::TimePoint end);
    bool chance(double);

    Fleet& m_fleet;
    TrafficOptions m_options;
    std::vector<Core::ServiceId> m_services;
    std::deque<Flow> m_flows;
    std::uint32_t m_nextCaller { 0 };
    std::size_t m_abandonedOpens { 0 };
};

}
