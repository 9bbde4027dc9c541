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
    /// Endpoint on which GUE packets from the fabric and from other balancers are received.
    Core::Endpoint dataAddress;
    std::size_t workers { 1 };
    Core::VmId self;
    Packet::HopKeyRing hopKeys;
    /// Key of the flow hash that selects the traced flows; must be the same on all balancers.
    std::uint64_t flowHashKey { 0 };
    /// Destination of refusals. If not set, a refusal returns to the endpoint that sent the packet, or to the last
    /// known fabric endpoint if another balancer forwarded it.
    std::optional<Core::Endpoint> fabricAddress;
    /// Maximum rate of refusals per worker (RFC 4443, section 2.4 f). High enough to terminate, within seconds, the
    /// flows of a zone that is taken out of service, and too low to be useful for a reflection attack.
    std::uint32_t maxRefusalsPerSecond { 10'000 };
    AdmissionOptions admission;
};

struct PipelineHooks {
    /// Decides each packet that is addressed to a service; called by all workers concurrently.
    DecideHook decide;
    /// Whether the balancer has no capacity for new flows. Optional; called once per batch.
    std::function<bool()> isRefusingOpens;
};

/// All workers of a balancer with their filters, counters and spans.
class Pipeline {
public:
    /// Binds the sockets. On failure, sets the error and returns null. The tracer may be null. The clock, the metrics
    /// and the tracer must outlive the pipeline; the tracer must also outlive the last rendering of the metrics.
    static std::unique_ptr<Pipeline> create(Core::Clock const&, PipelineOptions const&, PipelineHooks,
        Telemetry::Metrics&, Telemetry::Tracer*, std::string& error);
    Pipeline(Pipeline const&) = delete;
    Pipeline& operator=(Pipeline const&) = delete;
    ~Pipeline();

    /// Sets the services; takes effect with the next batch of each worker. Thread-safe.
    void applyConfiguration(Model::Configuration const&);
    /// Sets the endpoints of the other balancers; takes effect with the next batch of each worker. Thread-safe.
    void applyPeers(PeerTable);

    void start();
    /// Processes the datagrams that are already in the socket buffers, then joins the threads.
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
