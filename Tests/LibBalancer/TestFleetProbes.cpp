#include <LibBalancer/Balancer.h>

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Load::LivenessProbeResult;

namespace {

constexpr std::size_t Zones = 6;
constexpr std::size_t BalancersPerZone = 20;
constexpr std::size_t UpstreamsPerZone = 100;
constexpr std::size_t FlowsPerBalancer = 30;

/// Connections from probes that a responsive upstream may get from the whole fleet in a second. A busy upstream rejects
/// connections above its limit, callers' as well.
constexpr unsigned MaximumProbesPerSecond = 40;

Core::ServiceId const Service = Directory::serviceId("register");
auto const ServiceAddress = *Core::Endpoint::parse("198.18.0.1:443");

/// 120 balancers in six zones, each with flows to upstreams of its zone, and 600 upstreams, in virtual time. Probes of
/// upstreams that are gone get no answer; reports reach all balancers.
class Fleet {
public:
    Fleet()
    {
        for (std::size_t i = 0; i < Zones * BalancersPerZone; ++i)
            m_balancers.push_back(makeBalancer(i));
        for (std::size_t id = 1; id <= Zones * UpstreamsPerZone; ++id)
            applyToAll(entryOf(id, Model::UpstreamState::Active, 1));
        for (std::size_t i = 0; i < m_balancers.size(); ++i)
            openFlows(i);
        runFor(1s);
        m_probeTimes.clear();
    }

    static std::size_t zoneOf(std::size_t upstream) { return upstream % Zones; }

    /// The upstreams drain, end and are removed from the discovery service.
    void release(std::vector<std::size_t> const& upstreams)
    {
        for (auto id : upstreams)
            applyToAll(entryOf(id, Model::UpstreamState::Draining, 2));
        runFor(500ms);
        for (auto id : upstreams) {
            m_gone.insert(id);
            for (auto& balancer : m_balancers)
                balancer->removeUpstream(Core::UpstreamId { id }, Core::Revision { 3 });
        }
    }

    /// The upstreams stop responding. The balancers with flows to them notice it first.
    void goDark(std::vector<std::size_t> const& upstreams)
    {
        m_gone.insert(upstreams.begin(), upstreams.end());
        for (auto const& [upstream, balancer] : m_flowHolders) {
            if (m_gone.contains(upstream))
                report(upstream, balancer);
        }
    }

    /// A balancer reports an upstream although it responds.
    void report(std::size_t upstream, std::size_t reporter)
    {
        for (std::size_t i = 0; i < m_balancers.size(); ++i) {
            if (i != reporter)
                m_balancers[i]->handlePeerReport(
                    { Core::UpstreamId { upstream }, Load::ReportKind::Unanswered, Core::VmId { reporter + 1 } });
        }
    }

    void runFor(std::chrono::milliseconds duration)
    {
        for (auto end = m_clock.now() + duration; m_clock.now() < end;) {
            m_clock.advance(10ms);
            endProbes();
            if ((m_clock.now().time_since_epoch() / 10ms) % 5 == 0) {
                for (auto& balancer : m_balancers)
                    balancer->tick();
            }
        }
    }

    /// The largest number of probes that one responsive upstream got within any second.
    unsigned busiestSecond() const
    {
        std::size_t busiest = 0;
        for (auto const& [upstream, times] : m_probeTimes) {
            if (m_gone.contains(upstream))
                continue;
            for (auto first = times.begin(); first != times.end(); ++first) {
                auto last = std::upper_bound(first, times.end(), *first + 1s);
                busiest = std::max(busiest, static_cast<std::size_t>(last - first));
            }
        }
        return static_cast<unsigned>(busiest);
    }

    std::size_t probesOf(std::size_t upstream) { return m_probeTimes[upstream].size(); }

    std::size_t holdersOf(std::size_t upstream) const { return m_flowHolders.count(upstream); }

    /// The number of zones that balancers avoid, summed over the balancers.
    unsigned lostZones() const
    {
        unsigned lost = 0;
        for (auto const& balancer : m_balancers)
            lost += static_cast<unsigned>(balancer->lostZoneCount());
        return lost;
    }

private:
    std::unique_ptr<Balancer::TokenBalancer> makeBalancer(std::size_t index)
    {
        m_metrics.push_back(std::make_unique<Telemetry::Metrics>());
        Balancer::TokenBalancerOptions options {
            .self = Core::VmId { index + 1 }, .zone = Core::ZoneId { index % Zones + 1 }, .randomSeed = index
        };
        Balancer::TokenBalancerHooks hooks {
            .startProbe = [this, index](auto id, auto const&) { startProbe(index, id.value()); },
            .report = [](auto, auto) {},
            .sendReset = [](auto const&, auto) {},
            .viewAge = [] { return std::optional<std::chrono::milliseconds> { 0ms }; },
        };
        auto balancer
            = std::make_unique<Balancer::TokenBalancer>(m_clock, options, std::move(hooks), *m_metrics.back());
        Directory::RouteTable table;
        table.version = 1;
        table.services.emplace(Service, Directory::ServiceLimits {});
        table.routes.emplace(ServiceAddress, Directory::Route { "r", ServiceAddress, { { Service, 1 } } });
        balancer->applyRoutes(table);
        balancer->setComplete(true);
        return balancer;
    }

    static Directory::UpstreamEntry entryOf(std::size_t id, Model::UpstreamState state, std::uint64_t revision)
    {
        Directory::UpstreamEntry entry;
        entry.upstream.id = Core::UpstreamId { id };
        entry.upstream.name = std::to_string(id);
        entry.upstream.address
            = *Core::Endpoint::parse("10.0." + std::to_string(id / 250) + "." + std::to_string(id % 250) + ":80");
        entry.upstream.zone = Core::ZoneId { zoneOf(id) + 1 };
        entry.upstream.state = state;
        entry.service = Service;
        entry.incarnation = Core::Incarnation { 1 };
        entry.revision = Core::Revision { revision };
        return entry;
    }

    void applyToAll(Directory::UpstreamEntry const& entry)
    {
        for (auto& balancer : m_balancers)
            balancer->applyUpstream(entry);
    }

    /// Opens flows that the callers confirm and keep open.
    void openFlows(std::size_t index)
    {
        for (std::size_t i = 0; i < FlowsPerBalancer; ++i) {
            Placement::TokenPacket packet;
            packet.flow = { { *Core::IpAddress::parse("100.64.0." + std::to_string(index)),
                                static_cast<std::uint16_t>(1024 + i) },
                ServiceAddress };
            packet.kind = Placement::PacketKind::Open;
            auto decision = m_balancers[index]->decide(packet);
            m_flowHolders.emplace(decision.upstream->entry.upstream.id.value(), index);
            packet.kind = Placement::PacketKind::Data;
            packet.token = decision.token;
            m_balancers[index]->decide(packet);
        }
    }

    void startProbe(std::size_t balancer, std::size_t upstream)
    {
        m_probeTimes[upstream].push_back(m_clock.now());
        m_probes.push_back({ m_clock.now() + (m_gone.contains(upstream) ? 150ms : 10ms), balancer, upstream });
    }

    void endProbes()
    {
        auto probes = std::exchange(m_probes, {});
        for (auto const& probe : probes) {
            if (probe.endsAt > m_clock.now())
                m_probes.push_back(probe);
            else
                m_balancers[probe.balancer]->handleProbeResult(Core::UpstreamId { probe.upstream },
                    m_gone.contains(probe.upstream) ? LivenessProbeResult::NoAnswer : LivenessProbeResult::Answered);
        }
    }

    struct Probe {
        Core::TimePoint endsAt;
        std::size_t balancer;
        std::size_t upstream;
    };

    Core::ManualClock m_clock;
    std::vector<std::unique_ptr<Telemetry::Metrics>> m_metrics;
    std::vector<std::unique_ptr<Balancer::TokenBalancer>> m_balancers;
    std::multimap<std::size_t, std::size_t> m_flowHolders;
    std::set<std::size_t> m_gone;
    std::vector<Probe> m_probes;
    std::map<std::size_t, std::vector<Core::TimePoint>> m_probeTimes;
};

/// The first upstreams of a zone.
std::vector<std::size_t> upstreamsOfZone(std::size_t zone, std::size_t count)
{
    std::vector<std::size_t> result;
    for (std::size_t id = 1; result.size() < count; ++id) {
        if (Fleet::zoneOf(id) == zone)
            result.push_back(id);
    }
    return result;
}

}

BOOST_FIXTURE_TEST_SUITE(FleetProbes, Fleet)

BOOST_AUTO_TEST_CASE(ReleaseWaveIsProbedOnlyByBalancersWithFlows)
{
    // Guards against 120 balancers that all probe the 27 upstreams which a release has ended, take their zone for
    // unreachable, and then all probe the same responsive upstreams of it.
    auto released = upstreamsOfZone(1, 27);
    release(released);
    runFor(3s);
    for (auto upstream : released)
        BOOST_TEST(probesOf(upstream) <= 2 * holdersOf(upstream));
    BOOST_TEST(busiestSecond() == 0U);
    BOOST_TEST(lostZones() == 0U);
}

BOOST_AUTO_TEST_CASE(AddressesReusedInAllZonesLoseNoZone)
{
    // Guards against balancers that take every zone, their own included, for unreachable because a sixth of the
    // upstreams went dark at once, and against the probes with which they find out.
    std::vector<std::size_t> dark;
    for (std::size_t zone = 0; zone < Zones; ++zone) {
        auto part = upstreamsOfZone(zone, 17);
        dark.insert(dark.end(), part.begin(), part.end());
    }
    goDark(dark);
    runFor(3s);
    BOOST_TEST(busiestSecond() <= MaximumProbesPerSecond);
    BOOST_TEST(lostZones() == 0U);
}

BOOST_AUTO_TEST_CASE(WrongReportsOfOneBalancerCauseFewProbes)
{
    // Guards against a balancer behind a full link whose reports make the fleet probe responsive upstreams all at once.
    for (auto upstream : upstreamsOfZone(2, 20))
        report(upstream, 2);
    runFor(3s);
    BOOST_TEST(busiestSecond() <= MaximumProbesPerSecond);
    BOOST_TEST(lostZones() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
