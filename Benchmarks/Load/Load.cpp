/// Measures LibLoad in virtual time: several load controllers before fake upstreams, with delayed and lost messages,
/// lost probes, and late and lying reports. Two reference methods run on the same traffic.

#include <HarnessLoad/Traffic.h>
#include <Report/FigureReport.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cmath>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of all random choices.");

using namespace Chicorytally;
using namespace Chicorytally::Benchmarks;

namespace {

constexpr Seconds WarmUp { 240 };
/// Utilisation after a zone has left, at which the remaining capacity suffices.
constexpr double SufficientLoad = 0.62;

class LoadBenchmark {
public:
    LoadBenchmark(SiteShape site, std::uint64_t seed)
        : m_site(std::move(site))
        , m_seed(seed)
    {
        auto configuration = makeConfiguration(m_site);
        auto size = [](Model::Service const& service) { return service.upstreams.size(); };
        auto largest = std::ranges::max_element(configuration.services, {}, size);
        m_largest = static_cast<std::size_t>(largest - configuration.services.begin());
    }

    void run()
    {
        for (auto kind : { PolicyKind::Controllers, PolicyKind::PerfectRoundRobin, PolicyKind::BlindRandom }) {
            steadyState(kind);
            zoneLeavesAndReturns(kind);
            restartOfMany(kind);
            deadUpstream(kind);
        }
        drain();
        balancerLost();
        platformDown();
        m_report.addAtMost(m_site.name + ".excess_over_limit", m_excess, 0, "connections");
    }

    bool isWithinBounds() const { return m_report.isWithinBounds(); }

private:
    std::string name(std::string const& figure, PolicyKind kind) const
    {
        return m_site.name + "." + figure + "." + nameOf(kind);
    }

    void add(std::string const& figure, PolicyKind kind, double value, std::string const& unit)
    {
        m_report.add(name(figure, kind), value, unit);
    }

    void addAtMost(std::string const& figure, PolicyKind kind, double value, double bound, std::string const& unit)
    {
        if (kind == PolicyKind::Controllers)
            m_report.addAtMost(name(figure, kind), value, bound, unit);
        else
            add(figure, kind, value, unit);
    }

    std::unique_ptr<Traffic> traffic(PolicyKind kind, double load)
    {
        TrafficShape shape { .site = m_site, .load = load };
        // Stale counts of a dead upstream end within the run.
        for (auto& service : shape.site.services)
            service.idleTimeout = std::chrono::seconds { 120 };
        auto result = std::make_unique<Traffic>(m_seed, shape, kind);
        result->run(WarmUp);
        result->takeFigures();
        return result;
    }

    void finish(Traffic const& traffic) { m_excess = std::max<double>(m_excess, traffic.greatestExcess()); }

    void addQuality(std::string const& phase, PolicyKind kind, Figures const& figures)
    {
        add(phase + ".refused_or_late", kind, figures.badShareOverall(), "share");
        add(phase + ".refused_or_late_p50", kind, figures.badShare(0.5), "share");
        add(phase + ".refused_or_late_p99", kind, figures.badShare(0.99), "share");
        add(phase + ".refused_or_late_p99.9", kind, figures.badShare(0.999), "share");
        add(phase + ".time_p50", kind, figures.latency(0.5), "s");
        add(phase + ".time_p99", kind, figures.latency(0.99), "s");
        add(phase + ".time_p99.9", kind, figures.latency(0.999), "s");
    }

    void steadyState(PolicyKind kind)
    {
        auto run = traffic(kind, 0.7);
        auto bytes = run->fleet().sentBytes();
        run->run(Seconds { 300 });
        auto figures = run->takeFigures();
        addAtMost("steady.connections_max_over_mean", kind, figures.connectionImbalance, 1.10, "ratio");
        addAtMost("steady.slot_use_max_over_mean", kind, figures.slotImbalance, 1.10, "ratio");
        addQuality("steady", kind, figures);
        if (kind == PolicyKind::Controllers) {
            auto sent = static_cast<double>(run->fleet().sentBytes() - bytes) / 300 / 4;
            add("steady.control_payload_sent", kind, sent, "B/s/node");
            auto offTarget = 1 - static_cast<double>(figures.onTarget) / static_cast<double>(figures.admitted);
            addAtMost("steady.opens_off_target", kind, offTarget, 0.06, "share");
        }
        finish(*run);
    }

    void zoneLeavesAndReturns(PolicyKind kind)
    {
        double remaining = 1;
        for (auto const& service : m_site.services) {
            auto upstreams = static_cast<double>(service.upstreams);
            auto leaving = std::ceil(upstreams / static_cast<double>(m_site.zones));
            remaining = std::min(remaining, (upstreams - leaving) / upstreams);
        }
        auto run = traffic(kind, SufficientLoad * remaining);
        run->run(Seconds { 120 });
        auto steady = run->takeFigures();
        run->setZone(0, Model::ZoneState::Out);
        run->run(Seconds { 120 });
        auto left = run->takeFigures();
        run->setZone(0, Model::ZoneState::In);
        run->run(Seconds { 120 });
        auto returned = run->takeFigures();
        addQuality("zone.before", kind, steady);
        addQuality("zone.leaving", kind, left);
        addQuality("zone.returning", kind, returned);
        auto ratio = [&](Figures const& figures) { return figures.latency(0.99) / steady.latency(0.99); };
        addAtMost("zone.leaving_p99_over_steady", kind, ratio(left), 1.5, "ratio");
        addAtMost("zone.returning_p99_over_steady", kind, ratio(returned), 1.5, "ratio");
        finish(*run);
    }

    void restartOfMany(PolicyKind kind)
    {
        auto run = traffic(kind, 0.7);
        auto count = run->upstreamsOf(m_largest);
        auto cold = count / 2 + 1;
        for (std::size_t i = 0; i < count; ++i)
            run->takeOpens(m_largest, i);
        for (std::size_t i = 0; i < cold; ++i)
            run->restart(m_largest, i);
        // The allowance: its part of the opens, or what fills its limit within the slow start.
        auto limit = m_site.services.front().maxConnections / 30.0;
        auto fullRate = std::max(limit, run->opensPerSecond(m_largest) / static_cast<double>(count));
        double greatest = 0;
        // The probes need a moment to see the restart.
        run->run(Seconds { 2 });
        for (std::size_t i = 0; i < cold; ++i)
            run->takeOpens(m_largest, i);
        constexpr int Step = 2;
        for (int second = 2; second < 30; second += Step) {
            run->run(Seconds { Step });
            auto fraction = 0.1 + 0.9 * (second + Step) / 30.0;
            for (std::size_t i = 0; i < cold; ++i) {
                auto opens = static_cast<double>(run->takeOpens(m_largest, i));
                greatest = std::max(greatest, opens / (Step * fullRate * fraction));
            }
        }
        addAtMost("restart.cold_opens_over_allowance", kind, greatest, 1.5, "ratio");
        run->run(Seconds { 90 });
        auto figures = run->takeFigures();
        addAtMost("restart.cold_failures", kind, static_cast<double>(figures.coldFailures), 0, "restarts");
        addQuality("restart", kind, figures);
        finish(*run);
    }

    void deadUpstream(PolicyKind kind)
    {
        auto run = traffic(kind, 0.7);
        auto fault = run->now();
        run->kill(m_largest, 5);
        run->run(Seconds { 60 });
        auto last = run->lastOpenOn(m_largest, 5) - fault;
        addAtMost("dead.fault_to_last_open", kind, std::max(0.0, last.count()), 3, "s");
        addQuality("dead", kind, run->takeFigures());
        finish(*run);
    }

    void drain()
    {
        auto run = traffic(PolicyKind::Controllers, 0.7);
        auto start = run->now();
        run->drain(m_largest, 3);
        run->run(Seconds { 30 });
        auto last = run->lastOpenOn(m_largest, 3) - start;
        addAtMost("drain.start_to_last_open", PolicyKind::Controllers, std::max(0.0, last.count()), 3, "s");
        finish(*run);
    }

    void balancerLost()
    {
        auto run = traffic(PolicyKind::Controllers, 0.7);
        run->fleet().crash(1);
        run->run(Seconds { 60 });
        addQuality("balancer_lost", PolicyKind::Controllers, run->takeFigures());
        run->run(Seconds { 180 });
        run->fleet().restart(1);
        run->run(Seconds { 60 });
        addQuality("balancer_back", PolicyKind::Controllers, run->takeFigures());
        finish(*run);
    }

    /// No end is confirmed for an hour; a balancer is lost and an upstream restarts meanwhile.
    void platformDown()
    {
        auto run = traffic(PolicyKind::Controllers, 0.7);
        run->fleet().setPlatformDown(true);
        run->run(Seconds { 600 });
        run->fleet().crash(2);
        run->run(Seconds { 1500 });
        run->restart(m_largest, 4);
        run->run(Seconds { 1500 });
        auto figures = run->takeFigures();
        addQuality("platform_down", PolicyKind::Controllers, figures);
        finish(*run);
    }

    SiteShape m_site;
    std::uint64_t m_seed;
    FigureReport m_report;
    double m_excess { 0 };
    std::size_t m_largest { 0 };
};

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    bool isWithinBounds = true;
    for (auto const& site : { accra(), centralGuatemala() }) {
        LoadBenchmark benchmark { site, absl::GetFlag(FLAGS_seed) };
        benchmark.run();
        isWithinBounds = isWithinBounds && benchmark.isWithinBounds();
    }
    return isWithinBounds ? 0 : 1;
}
