#include <LibDataPath/Pipeline.h>

#include <LibDataPath/PacketCounters.h>

namespace Chicorytally::DataPath {

// Two clock reads cost about as much as a decision, so only one in this many decisions is timed.
static constexpr std::uint32_t TimedDecisionInterval = 64;

/// One worker with the state that its filters use.
class Pipeline::WorkerContext {
public:
    WorkerContext(Pipeline&, UdpSocket);

    Worker& worker() { return *m_worker; }

private:
    WorkerChains makeChains();
    WorkerHooks makeHooks();
    Placement::Decision decide(Placement::PacketInfo&);
    Placement::Decision decideTimed(Placement::PacketInfo const&);
    void trace(
        Placement::PacketInfo const&, Core::Hash128 const&, Placement::Decision const&, std::chrono::nanoseconds);
    std::optional<Core::Endpoint> peerEndpoint(Core::VmId) const;

    Pipeline& m_pipeline;
    PublishedValue<ServiceTable>::Reader m_services;
    PublishedValue<PeerTable>::Reader m_peers;
    AdmissionControl m_admission;
    RefusalRouter m_refusals;
    PacketCounters m_counters;
    Telemetry::Histogram& m_decisionTime;
    RecentFlowCache m_recentFlows;
    Core::TimePoint m_batchStart;
    std::uint32_t m_decisions { 0 };
    std::unique_ptr<Worker> m_worker;
};

Pipeline::WorkerContext::WorkerContext(Pipeline& pipeline, UdpSocket udpSocket)
    : m_pipeline(pipeline)
    , m_services(pipeline.m_services)
    , m_peers(pipeline.m_peers)
    , m_admission(pipeline.m_options.admission)
    , m_refusals(pipeline.m_fabric, pipeline.m_options.fabricAddress, pipeline.m_options.maxRefusalsPerSecond)
    , m_counters(pipeline.m_metrics)
    , m_decisionTime(pipeline.m_metrics.histogram("chicorytally_decision_seconds",
          "Time of a placement decision; one in 64 is measured.", Telemetry::exponentialBounds(100e-9, 2, 16)))
    , m_worker(std::make_unique<Worker>(m_pipeline.m_clock, std::move(udpSocket), makeChains(), makeHooks()))
{
}

WorkerChains Pipeline::WorkerContext::makeChains()
{
    auto const& options = m_pipeline.m_options;
    std::vector<Filter> classify {
        makeParseFilter(options.hopKeys, options.self),
        makeServiceFilter(m_services),
    };
    auto route = [this](PacketContext& context) { return m_refusals.route(context); };
    auto peers = [this](Core::VmId vm) { return peerEndpoint(vm); };
    std::vector<Filter> handle {
        makeAdmissionFilter(m_admission),
        makePlacementFilter([this](Placement::PacketInfo& info) { return decide(info); }),
        makeRefusalFilter(route),
        makeEncapsulationFilter(options.hopKeys.sealing, options.self, peers),
    };
    return { std::make_shared<FilterChain const>(std::move(classify)),
        std::make_shared<FilterChain const>(std::move(handle)) };
}

WorkerHooks Pipeline::WorkerContext::makeHooks()
{
    WorkerHooks hooks;
    hooks.batchStarted = [this](std::size_t received) {
        auto const& isRefusingOpens = m_pipeline.m_hooks.isRefusingOpens;
        m_services.refresh();
        m_peers.refresh();
        m_batchStart = m_pipeline.m_clock.now();
        m_refusals.startBatch(m_batchStart);
        m_admission.startBatch(received, BatchSize, isRefusingOpens && isRefusingOpens());
        m_counters.countBatch(received);
    };
    hooks.packetHandled = [this](PacketContext const& context) {
        m_refusals.learnFabricEndpoint(context);
        m_counters.count(context);
    };
    hooks.batchSent = [this](std::size_t failures) { m_counters.countSendFailures(failures); };
    return hooks;
}

Placement::Decision Pipeline::WorkerContext::decide(Placement::PacketInfo& info)
{
    if (info.flow.protocol != Core::Protocol::Udp || info.hopCount > 0)
        return decideTimed(info);
    auto flowHash = info.flow.hash(m_pipeline.m_options.flowHashKey);
    info.isKnownToSender = m_recentFlows.contains(flowHash, m_batchStart);
    auto decision = decideTimed(info);
    // Only a packet that was forwarded to the baseline upstream shows that the flow is established there; a packet that
    // was forwarded to a peer may have been dropped.
    if (decision.verdict == Placement::Verdict::Forward && decision.reason == Placement::Reason::Steady)
        m_recentFlows.insert(flowHash, m_batchStart);
    return decision;
}

Placement::Decision Pipeline::WorkerContext::decideTimed(Placement::PacketInfo const& info)
{
    auto const& decideHook = m_pipeline.m_hooks.decide;
    auto* tracer = m_pipeline.m_tracer;
    Core::Hash128 flowHash;
    bool isTraced = false;
    if (tracer && tracer->isEnabled()) {
        flowHash = info.flow.hash(m_pipeline.m_options.flowHashKey);
        isTraced = tracer->isSampled(flowHash);
    }
    bool isTimed = ++m_decisions % TimedDecisionInterval == 0;
    if (!isTraced && !isTimed)
        return decideHook(info);
    auto start = m_pipeline.m_clock.now();
    auto decision = decideHook(info);
    auto duration = m_pipeline.m_clock.now() - start;
    if (isTimed)
        m_decisionTime.record(std::chrono::duration<double> { duration }.count());
    if (isTraced)
        trace(info, flowHash, decision, duration);
    return decision;
}

static std::string_view toString(Placement::PacketKind kind)
{
    switch (kind) {
    case Placement::PacketKind::Open:
        return "open";
    case Placement::PacketKind::Data:
        return "data";
    case Placement::PacketKind::Close:
        return "close";
    }
    return "unknown";
}

void Pipeline::WorkerContext::trace(Placement::PacketInfo const& info, Core::Hash128 const& flowHash,
    Placement::Decision const& decision, std::chrono::nanoseconds duration)
{
    Telemetry::Span span { .flowHash = flowHash, .name = "packet", .duration = duration, .flow = info.flow };
    span.add("chicorytally.verdict", toString(decision.verdict));
    span.add("chicorytally.reason", toString(decision.reason));
    span.add("chicorytally.kind", toString(info.kind));
    span.add("chicorytally.hop_count", info.hopCount);
    span.add("chicorytally.service", Telemetry::HexNumber { info.service.value() });
    if (info.sender.isValid())
        span.add("chicorytally.sender", Telemetry::HexNumber { info.sender.value() });
    if (decision.verdict == Placement::Verdict::Forward)
        span.add("chicorytally.upstream", Telemetry::HexNumber { decision.upstream.value() });
    if (decision.verdict == Placement::Verdict::ForwardToPeer)
        span.add("chicorytally.peer", Telemetry::HexNumber { decision.peer.value() });
    m_pipeline.m_tracer->record(span);
}

std::optional<Core::Endpoint> Pipeline::WorkerContext::peerEndpoint(Core::VmId vm) const
{
    if (!m_peers.get())
        return std::nullopt;
    auto position = m_peers.get()->find(vm);
    return position != m_peers.get()->end() ? std::optional { position->second } : std::nullopt;
}

Pipeline::Pipeline(Core::Clock const& clock, PipelineOptions const& options, PipelineHooks hooks,
    Telemetry::Metrics& metrics, Telemetry::Tracer* tracer)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
    , m_metrics(metrics)
    , m_tracer(tracer)
{
}

Pipeline::~Pipeline() = default;

std::unique_ptr<Pipeline> Pipeline::create(Core::Clock const& clock, PipelineOptions const& options,
    PipelineHooks hooks, Telemetry::Metrics& metrics, Telemetry::Tracer* tracer, std::string& error)
{
    std::unique_ptr<Pipeline> pipeline { new Pipeline { clock, options, std::move(hooks), metrics, tracer } };
    pipeline->observeTracer();
    auto workers = pipeline->m_options.workers;
    for (std::size_t i = 0; i < workers; ++i) {
        SocketError socketError;
        auto udpSocket = UdpSocket::bind(pipeline->m_options.dataAddress, workers > 1, socketError);
        if (!udpSocket) {
            error = socketError.toString();
            return nullptr;
        }
        pipeline->m_workerContexts.push_back(std::make_unique<WorkerContext>(*pipeline, std::move(*udpSocket)));
    }
    return pipeline;
}

void Pipeline::observeTracer()
{
    if (!m_tracer)
        return;
    m_metrics.observeCounter("chicorytally_spans_recorded_total", "Trace spans taken for writing.",
        [tracer = m_tracer] { return static_cast<double>(tracer->recordedCount()); });
    m_metrics.observeCounter("chicorytally_spans_dropped_total", "Trace spans dropped as the queue was full or in use.",
        [tracer = m_tracer] { return static_cast<double>(tracer->droppedCount()); });
}

void Pipeline::applyConfiguration(Model::Configuration const& configuration)
{
    m_services.publish(std::make_shared<ServiceTable const>(configuration));
}

void Pipeline::applyPeers(PeerTable peers) { m_peers.publish(std::make_shared<PeerTable const>(std::move(peers))); }

void Pipeline::start()
{
    for (auto& workerContext : m_workerContexts)
        workerContext->worker().start();
}

void Pipeline::stop()
{
    for (auto& workerContext : m_workerContexts)
        workerContext->worker().stop();
}

std::uint64_t Pipeline::receivedCount() const
{
    std::uint64_t sum = 0;
    for (auto const& workerContext : m_workerContexts)
        sum += workerContext->worker().counters().received;
    return sum;
}

std::uint64_t Pipeline::forwardedCount() const
{
    std::uint64_t sum = 0;
    for (auto const& workerContext : m_workerContexts)
        sum += workerContext->worker().counters().forwarded;
    return sum;
}

std::size_t Pipeline::workerCount() const { return m_workerContexts.size(); }

Worker& Pipeline::worker(std::size_t index) { return m_workerContexts[index]->worker(); }

}
