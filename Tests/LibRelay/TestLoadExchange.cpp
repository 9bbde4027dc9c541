#include "LoadExchangeFleet.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Load::LoadReport;

namespace {

Core::UpstreamId const Marked { 0xabcd'ef01'2345'6789 };
constexpr std::size_t UpstreamCount = 150;

Load::UpstreamLoadReport observation(Core::UpstreamId upstream, double relativeResponseTime = 1)
{
    return { .upstream = upstream,
        .incarnation = Core::Incarnation { 1'790'000'000'000 },
        .requestsInFlight = 1,
        .relativeResponseTime = relativeResponseTime,
        .responseWeight = 8 };
}

Core::UpstreamId ordinaryUpstream(std::size_t index)
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
void reportMarked(LoadExchangeFleet& fleet, std::set<std::size_t> const& reporters)
{
    fleet.makeReport = [reporters](auto node, auto) {
        LoadReport report { LoadExchangeFleet::reporter(node), {} };
        if (reporters.contains(node))
            report.upstreams.push_back(observation(Marked));
        return report;
    };
}

/// Lets all nodes report all upstreams in turn, after the marked one if they are among its reporters.
void reportMuch(LoadExchangeFleet& fleet, std::function<bool(std::size_t)> const& isMarkedReporter)
{
    auto next = std::make_shared<std::map<std::size_t, std::size_t>>();
    fleet.makeReport = [next, isMarkedReporter](auto node, auto maximum) {
        LoadReport report { LoadExchangeFleet::reporter(node), {} };
        if (isMarkedReporter(node))
            report.upstreams.push_back(observation(Marked, 4));
        auto& position = next->try_emplace(node, node * 7).first->second;
        while (report.upstreams.size() < maximum)
            report.upstreams.push_back(observation(ordinaryUpstream(position++ % UpstreamCount)));
        return report;
    };
}

struct Traffic {
    double meanSent { 0 };
    double busiest { 0 };
    double middle { 0 };
};

std::vector<Relay::LoadExchangeCounters> countersOf(LoadExchangeFleet const& fleet)
{
    std::vector<Relay::LoadExchangeCounters> counters;
    for (auto const& node : fleet.nodes)
        counters.push_back(node.exchange->counters());
    return counters;
}

/// Bytes a second and node; busiest and middle count sent and received ones.
Traffic measureTraffic(LoadExchangeFleet& fleet, std::chrono::seconds time)
{
    auto before = countersOf(fleet);
    fleet.run(time);
    auto after = countersOf(fleet);
    Traffic traffic;
    std::vector<double> bytes;
    auto seconds = static_cast<double>(time.count());
    for (std::size_t node = 0; node < before.size(); ++node) {
        auto sent = static_cast<double>(after[node].bytesSent - before[node].bytesSent) / seconds;
        auto received = static_cast<double>(after[node].bytesReceived - before[node].bytesReceived) / seconds;
        traffic.meanSent += sent / static_cast<double>(before.size());
        bytes.push_back(sent + received);
    }
    std::ranges::sort(bytes);
    traffic.busiest = bytes.back();
    traffic.middle = bytes[bytes.size() / 2];
    return traffic;
}

struct Size {
    std::size_t balancers;
    /// docs/hard-load.md, section 3.4; interpolated for 83.
    double maximumBytesPerSecond;
};

std::ostream& operator<<(std::ostream& stream, Size const& size) { return stream << size.balancers; }

Size const Sizes[] = { { 37, 1000 }, { 83, 1350 }, { 300, 3000 } };

}

BOOST_AUTO_TEST_SUITE(LoadExchange)

BOOST_DATA_TEST_CASE(FewObservationsReachAllWithinTwoSeconds, boost::unit_test::data::make(Sizes), size)
{
    // Guards against balancers that learn of a slow upstream only when they use it themselves.
    LoadExchangeFleet fleet { size.balancers };
    Watch watch { fleet };
    fleet.run(15s);
    reportMarked(fleet, { 0, 7, 19 });
    fleet.run(2s);
    for (std::size_t reporter : { 0, 7, 19 })
        BOOST_TEST(watch.share(reporter) >= 0.99, "reporter " << reporter << ": " << watch.share(reporter));
}

BOOST_DATA_TEST_CASE(CommonObservationReachesAllInABusyFleet, boost::unit_test::data::make(Sizes), size)
{
    // Guards against news that get lost among the ordinary observations of a busy fleet.
    LoadExchangeFleet fleet { size.balancers };
    Watch watch { fleet };
    reportMuch(fleet, [](auto) { return false; });
    fleet.run(15s);
    reportMuch(fleet, [](auto) { return true; });
    fleet.run(2s);
    BOOST_TEST(watch.shareOfAny() >= 0.99, watch.shareOfAny());
}

BOOST_DATA_TEST_CASE(ObservationOfOneReachesMostInABusyFleet, boost::unit_test::data::make(Sizes), size)
{
    // Guards against forwarding that doesn't spread an observation beyond the first receivers while all messages are
    // full.
    LoadExchangeFleet fleet { size.balancers };
    Watch watch { fleet };
    reportMuch(fleet, [](auto) { return false; });
    fleet.run(15s);
    reportMuch(fleet, [](auto node) { return node == 7; });
    fleet.run(2s);
    BOOST_TEST(watch.share(7) >= 0.95, watch.share(7));
}

BOOST_DATA_TEST_CASE(BusyFleetStaysWithinItsBudget, boost::unit_test::data::make(Sizes), size)
{
    // Guards against control traffic that displaces packets of callers, and against seeds that carry that of the fleet.
    LoadExchangeFleet fleet { size.balancers };
    reportMuch(fleet, [](auto) { return true; });
    fleet.run(30s);
    auto traffic = measureTraffic(fleet, 20s);
    BOOST_TEST_MESSAGE(size.balancers << " balancers, busy: " << traffic.meanSent << " B/s sent, middle "
                                      << traffic.middle << ", busiest " << traffic.busiest);
    BOOST_TEST(traffic.meanSent <= size.maximumBytesPerSecond);
    BOOST_TEST(traffic.busiest <= 3 * traffic.middle);
}

BOOST_DATA_TEST_CASE(QuietFleetSendsLittle, boost::unit_test::data::make(Sizes), size)
{
    // Guards against paying for bytes between zones while there is nothing to tell.
    constexpr double MaximumBytesPerSecond = 50;
    LoadExchangeFleet fleet { size.balancers };
    fleet.run(30s);
    auto traffic = measureTraffic(fleet, 300s);
    BOOST_TEST_MESSAGE(size.balancers << " balancers, quiet: " << traffic.meanSent << " B/s sent, middle "
                                      << traffic.middle << ", busiest " << traffic.busiest);
    BOOST_TEST(traffic.meanSent <= MaximumBytesPerSecond);
    BOOST_TEST(traffic.busiest <= 3 * traffic.middle);
}

BOOST_AUTO_TEST_SUITE_END()
