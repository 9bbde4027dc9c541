#include "LoadDriver.h"

#include <LibPlacement/TargetTable.h>
#include <Report/FigureReport.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the deliveries and of the flows");

namespace Chicorytally::Benchmarks {

using Harness::Fleet;
using Harness::Sites;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

    struct Site {
        char const* name;
        char const* service;
        std::function<Model::Configuration()> make;
    };

    struct Method {
        char const* name;
        Harness::MethodFactory factory;
    };

    struct Event {
        char const* name;
        std::function<void(Fleet&, Model::Configuration&, Site const&)> act;
        /// Greatest share of flows that may break with the engine.
        std::optional<double> bound { 0 };
        /// A drain comes first, so that some buckets are tracked.
        bool isAfterDrain { false };
        /// One upstream changes.
        bool isOneUpstream { false };
    };

    /// One fleet with its load.
    struct Run {
        Run(Site const& site, std::size_t balancers, Harness::MethodFactory method, LoadOptions load)
            : configuration(site.make())
            , fleet({ .seed = absl::GetFlag(FLAGS_seed),
                  .balancers = balancers,
                  .method = std::move(method),
                  .hasImmediateHops = true })
        {
            fleet.start(Sites::commit(configuration));
            std::vector<Core::ServiceId> services;
            for (auto const& service : configuration.services)
                services.push_back(service.id);
            driver = std::make_unique<LoadDriver>(fleet, load, services);
            driver->fill();
            // Owners that just started treat unknown opens as possible repeats for 10 s.
            fleet.advance(seconds { 10 });
        }

        std::uint64_t controlBytes()
        {
            std::uint64_t sum = 0;
            for (auto const& balancer : fleet.balancers())
                sum += balancer.controlBytes;
            return sum;
        }

        Model::Configuration configuration;
        Fleet fleet;
        std::unique_ptr<LoadDriver> driver;
    };

    void drain(Fleet& fleet, Model::Configuration& configuration, Site const& site, std::size_t index)
    {
        Sites::upstream(configuration, site.service, index).state = Model::UpstreamState::Draining;
        fleet.spread(Sites::commit(configuration), seconds { 12 });
    }

    std::vector<Event> events()
    {
        return {
            { "drain", [](Fleet& f, Model::Configuration& c, Site const& s) { drain(f, c, s, 3); }, 0.0, false, true },
            { "add",
                [](Fleet& f, Model::Configuration& c, Site const& s) {
                    Sites::addUpstream(c, s.service, 0);
                    f.spread(Sites::commit(c), seconds { 12 });
                },
                0.0, false, true },
            { "remove",
                [](Fleet& f, Model::Configuration& c, Site const& s) {
                    Sites::removeUpstream(c, s.service, 3);
                    f.spread(Sites::commit(c), seconds { 12 });
                },
                0.0, false, true },
            { "reweight",
                [](Fleet& f, Model::Configuration& c, Site const& s) {
                    Sites::upstream(c, s.service, 3).weight = 50;
                    f.spread(Sites::commit(c), seconds { 12 });
                },
                0.0, false, true },
            { "zone_out",
                [](Fleet& f, Model::Configuration& c, Site const&) {
                    Sites::setZone(c, 1, Model::ZoneState::Out);
                    f.spread(Sites::commit(c), seconds { 12 });
                } },
            { "join", [](Fleet& f, Model::Configuration&, Site const&) { f.join(); }, 0.0, true },
            { "leave", [](Fleet& f, Model::Configuration&, Site const&) { f.leave(1); }, 0.0, true },
            { "crash_steady", [](Fleet& f, Model::Configuration&, Site const&) { f.crash(1, seconds { 3 }); } },
            { "crash", [](Fleet& f, Model::Configuration&, Site const&) { f.crash(1, seconds { 3 }); }, 0.001, true },
            { "two_crash",
                [](Fleet& f, Model::Configuration&, Site const&) {
                    f.crash(1, seconds { 3 });
                    f.crash(2, seconds { 3 });
                },
                std::nullopt, true },
        };
    }

    std::string figure(Site const& site, std::size_t balancers, std::string const& name)
    {
        return std::string { "placement_" } + site.name + "_" + std::to_string(balancers) + "_" + name;
    }

    void measureSteady(FigureReport& report, Site const& site, std::size_t balancers)
    {
        Run run { site, balancers, Harness::engineMethod(), {} };
        auto packets = run.fleet.packets();
        auto hops = run.fleet.peerHops();
        auto bytes = run.controlBytes();
        run.driver->resetBusiest();
        run.driver->run(seconds { 5 });
        auto sent = static_cast<double>(run.fleet.packets() - packets);
        auto nodes = static_cast<double>(balancers);
        report.add(figure(site, balancers, "assumed_packet_rate"), sent / 5, "packets/s");
        report.addAtMost(figure(site, balancers, "peer_hop_share"),
            100 * static_cast<double>(run.fleet.peerHops() - hops) / sent, 5, "percent");
        report.addAtMost(figure(site, balancers, "steady_control"),
            static_cast<double>(run.controlBytes() - bytes) / 5 / nodes, 5000, "bytes/s/node");

        auto const& service = Sites::service(run.configuration, site.service);
        std::vector<double> counts;
        double total = 0;
        for (auto const& [upstream, count] : run.driver->flowsByUpstream(service.id)) {
            counts.push_back(static_cast<double>(count));
            total += static_cast<double>(count);
        }
        std::vector<double> randomCounts(counts.size(), 0);
        for (std::size_t i = 0; i < static_cast<std::size_t>(total); ++i)
            ++randomCounts[run.fleet.random()() % randomCounts.size()];
        auto mean = total / static_cast<double>(counts.size());
        auto randomSpread = *std::ranges::max_element(randomCounts) / mean;
        report.add(figure(site, balancers, "random_max_to_mean"), randomSpread, "ratio");
        report.addAtMost(figure(site, balancers, "max_to_mean_flows"), *std::ranges::max_element(counts) / mean,
            randomSpread + 0.05, "ratio");
    }

    void measureEvent(
        FigureReport& report, Site const& site, std::size_t balancers, Event const& event, Method const& method)
    {
        bool isEngine = std::string { method.name } == "engine";
        Run run { site, balancers, method.factory, { .packetsPerSecond = 0.2 } };
        if (event.isAfterDrain) {
            drain(run.fleet, run.configuration, site, 3);
            run.driver->run(seconds { 16 });
        }
        auto brokenBefore = run.fleet.model().brokenFlows();
        auto violationsBefore = run.fleet.model().violationCount();
        run.driver->resetBusiest();
        auto bytes = run.controlBytes();
        event.act(run.fleet, run.configuration, site);
        run.driver->run(seconds { 18 });
        auto rate = static_cast<double>(run.controlBytes() - bytes) / 18 / static_cast<double>(balancers);
        run.driver->sendOnAll();

        auto broken = static_cast<double>(run.fleet.model().brokenFlows() - brokenBefore);
        auto name = figure(site, balancers, std::string { method.name } + "_" + event.name);
        auto share = 100 * broken / static_cast<double>(run.driver->establishedFlows());
        if (!isEngine || !event.bound) {
            report.add(name + "_broken_share", share, "percent");
        } else {
            report.addAtMost(name + "_broken_share", share, 100 * *event.bound, "percent");
        }
        report.add(name + "_broken_flows", broken, "flows");
        if (!isEngine) {
            report.add(name + "_control", rate, "bytes/s/node");
            return;
        }
        // Opens on upstreams that drain or are out, false refusals and loops.
        auto other = static_cast<double>(run.fleet.model().violationCount() - violationsBefore);
        if (event.bound && *event.bound == 0)
            report.addAtMost(name + "_violations", other, 0, "packets");
        report.add(name + "_dropped_data",
            1e6 * static_cast<double>(run.driver->droppedData()) / static_cast<double>(run.driver->sentData()), "ppm");
        report.addAtMost(name + "_control", rate, 5000, "bytes/s/node");
        report.add(name + "_busiest_second", static_cast<double>(run.driver->busiestSecond()), "bytes/node");
        std::size_t tracked = 0;
        std::size_t buckets = 0;
        std::size_t differing = 0;
        for (auto& balancer : run.fleet.balancers()) {
            if (!balancer.isAlive)
                continue;
            auto counters = balancer.method->engine()->counters();
            differing += counters.differingRecords;
            tracked = std::max(tracked, counters.trackedBuckets);
            buckets = counters.buckets;
        }
        report.add(
            name + "_tracked_buckets", 100 * static_cast<double>(tracked) / static_cast<double>(buckets), "percent");
        report.add(name + "_tracked_flows", static_cast<double>(differing), "flows");
        if (event.isOneUpstream && differing > 0) {
            auto perFlow = rate * 18 * static_cast<double>(balancers) / static_cast<double>(differing);
            report.add(name + "_control_per_tracked_flow", perFlow, "bytes");
        }
    }

    /// Virtual time until a newcomer decides everything itself.
    void measureRebuild(FigureReport& report, Site const& site, std::size_t balancers)
    {
        Run run { site, balancers, Harness::engineMethod(), {} };
        drain(run.fleet, run.configuration, site, 3);
        run.driver->run(seconds { 14 });
        auto start = run.fleet.now();
        auto bytes = run.controlBytes();
        auto index = run.fleet.join();
        auto* engine = run.fleet.balancers()[index].method->engine();
        while (!engine->isSynchronised() && run.fleet.now() - start < seconds { 60 })
            run.fleet.advance(milliseconds { 10 });
        report.add(figure(site, balancers, "time_to_rebuild"),
            std::chrono::duration<double>(run.fleet.now() - start).count(), "s");
        report.add(
            figure(site, balancers, "bytes_to_rebuild"), static_cast<double>(run.controlBytes() - bytes), "bytes");
    }

    void measureTable(FigureReport& report, Site const& site)
    {
        auto configuration = site.make();
        auto moved = [&](Model::Configuration const& after) {
            auto first = Sites::commit(configuration);
            auto copy = after;
            auto second = Sites::commit(copy);
            auto id = Sites::service(configuration, site.service).id;
            Placement::TargetTable before { *first, *first->findService(id) };
            Placement::TargetTable next { *second, *second->findService(id) };
            std::size_t count = 0;
            for (std::size_t bucket = 0; bucket < before.bucketCount(); ++bucket)
                count += before.target(bucket)->id != next.target(bucket)->id ? 1 : 0;
            return 100 * static_cast<double>(count) / static_cast<double>(before.bucketCount());
        };
        auto prefix = std::string { "placement_" } + site.name;
        auto added = configuration;
        Sites::addUpstream(added, site.service, 0);
        report.add(prefix + "_buckets_moved_by_add", moved(added), "percent");
        auto drained = configuration;
        Sites::upstream(drained, site.service, 3).state = Model::UpstreamState::Draining;
        report.add(prefix + "_buckets_moved_by_drain", moved(drained), "percent");
        auto committed = Sites::commit(configuration);
        auto start = std::chrono::steady_clock::now();
        Placement::TargetTable table { *committed,
            *committed->findService(Sites::service(configuration, site.service).id) };
        auto elapsed = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
        report.add(prefix + "_table_build", elapsed, "ms");
    }

    int run()
    {
        FigureReport report;
        std::vector<Site> sites {
            { "accra", "register", Sites::accra },
            { "guatemala", "intake", Sites::centralGuatemala },
        };
        std::vector<Method> references {
            { "stateless", Harness::statelessMethod() },
            { "maglev", Harness::maglevMethod() },
            { "owner_per_flow", Harness::ownerPerFlowMethod() },
        };
        Method engine { "engine", Harness::engineMethod() };
        auto all = events();
        for (auto const& site : sites) {
            measureTable(report, site);
            for (std::size_t balancers : { 4, 5, 16 }) {
                measureSteady(report, site, balancers);
                for (auto const& event : all) {
                    bool isForEachSize = std::string { event.name } == "drain" || std::string { event.name } == "crash";
                    if (balancers == 5 || isForEachSize)
                        measureEvent(report, site, balancers, event, engine);
                }
            }
            measureRebuild(report, site, 5);
            for (auto const& method : references) {
                for (auto const& event : all) {
                    auto name = std::string { event.name };
                    if (name == "drain" || name == "add" || name == "leave" || name == "crash")
                        measureEvent(report, site, 5, event, method);
                }
            }
        }
        return report.exitCode();
    }

}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return Chicorytally::Benchmarks::run();
}
