#pragma once

#include <LibDataPath/Filters.h>
#include <LibDataPath/RecentFlowCache.h>
#include <LibDataPath/RefusalRouter.h>
#include <LibDataPath/Worker.h>
#include <LibTelemetry/Telemetry.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::DataPath {

struct PipelineOptions {
    /// Receives packets in GUE, from the fabric and from other balancers.
    Core::Endpoint dataAddress;
    std::size_t workers { 1 };
    Core::VmId self;
    Packet::HopKeyRing hopKeys;
    /// Key of the flow hash by which traces are sampled; the same on all balancers.
    std::uint64_t flowHashKey { 0 };
    /// Where refusals go; without it, to where the packet came from.
    std::optional<Core::Endpoint> fabricAddress;
    /// Refusals that a worker sends per second at most (RFC 4443, section 2.4 f). Enough to end the flows of a zone
    /// that is taken out within seconds, and too few to be of use for reflection.
    std::uint32_t maxRefusalsPerSecond { 10'000 };
    AdmissionOptions admission;
};

struct PipelineHooks {
    /// Decides each packet that is for a service; called by all workers.
    DecideHook decide;
    /// Optional, asked once per batch: the balancer has no room for new flows.
    std::function<bool()> isRefusingOpens;
};

/// All workers of a balancer with their filters, counters and spans.
class Pipeline {
public:
    /// Binds the sockets; nothing and the error when that fails. The clock, the metrics and the tracer, which may be
    /// null, must outlive the pipeline, and the tracer also the last rendering of the metrics.
    static std::unique_ptr<Pipeline> create(Core::Clock const&, PipelineOptions const&, PipelineHooks,
        Telemetry::Metrics&, Telemetry::Tracer*, std::string& error);
    Pipeline(Pipeline const&) = delete;
    Pipeline& operator=(Pipeline const&) = delete;
    ~Pipeline();

    /// The next batch of each worker uses the services of this configuration. Thread-safe.
    void applyConfiguration(Model::Configuration const&);
    /// The next batch of each worker uses these endpoints of the other balancers. Thread-safe.
    void applyPeers(PeerTable);

    void start();
    /// Handles what was already received, then ends the threads.
    void stop();

    std::uint64_t receivedCount() const;
    std::uint64_t forwardedCount() const;

    std::size_t workerCount() const;
    /// For tests and benchmarks that drive a worker without its thread.
    Worker& worker(std::size_t index);

private:
    class WorkerContext;

    Pipeline(Core::Clock const&, PipelineOptions const&, PipelineHooks, Telemetry::Metrics&, Telemetry::Tracer*);

    void observeTracer();

    Core::Clock const& m_clock;
    PipelineOptions m_options;
    PipelineHooks m_hooks;
    Telemetry::Metrics& m_metrics;
    Telemetry::Tracer* m_tracer;
    PublishedValue<ServiceTable> m_services;
    PublishedValue<PeerTable> m_peers;
    FabricEndpoint m_fabric;
    std::vector<std::unique_ptr<WorkerContext>> m_workerContexts;
};

}
