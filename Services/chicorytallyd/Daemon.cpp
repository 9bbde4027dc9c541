#include "Daemon.h"

#include "AdminRoutes.h"

namespace Chicorytally::Daemon {

using Telemetry::Level;
using Telemetry::logEvent;

// After the departure was announced, a fabric needs up to this long to send its packets elsewhere.
static constexpr std::chrono::milliseconds QuietTime { 2000 };
static constexpr std::chrono::milliseconds DrainPollInterval { 100 };
// The list is a hint that lags anyway. At 2,100 balancers this is 70 of the 2,000 reads per second that all may make.
static constexpr std::chrono::seconds VmListInterval { 30 };

static Load::LoadOptions loadOptions(Settings const& settings, Core::Incarnation incarnation)
{
    return {
        .self = Model::vmId(settings.vmName), .zone = Model::zoneId(settings.zoneName), .incarnation = incarnation
    };
}

static Placement::EngineOptions engineOptions(Settings const& settings, Core::Incarnation incarnation)
{
    return { .self = Model::vmId(settings.vmName),
        .incarnation = incarnation,
        .hashKey = settings.flowKey,
        .maximumRecords = settings.maxFlows };
}

static Membership::Options membershipOptions(Settings const& settings, Core::Incarnation incarnation)
{
    return { .self = Model::vmId(settings.vmName),
        .zone = Model::zoneId(settings.zoneName),
        .endpoint = settings.peerAddress,
        .dataPort = settings.dataAddress.port,
        .incarnation = incarnation,
        .seeds = settings.seeds,
        .randomSeed = incarnation.value() };
}

static Distribution::Options distributionOptions(Settings const& settings, Core::Incarnation incarnation)
{
    Distribution::Options options;
    options.self = Model::vmId(settings.vmName);
    options.zone = Model::zoneId(settings.zoneName);
    options.randomSeed = incarnation.value();
    // A balancer that was told of no other one has nobody to ask for a newer copy.
    if (settings.seeds.empty() && settings.configurationFolder)
        options.peerTimeout = std::chrono::milliseconds { 0 };
    return options;
}

static Packet::HopKeyRing hopKeys(Settings const& settings)
{
    Packet::HopKeyRing ring { .sealing = settings.keys.sealing.derive("peer hop") };
    for (auto const& key : settings.keys.accepted)
        ring.accepted.push_back(key.derive("peer hop"));
    return ring;
}

Placement::EngineHooks Daemon::engineHooks()
{
    return {
        .select = [this](Placement::SelectionRequest const& request) { return m_load.select(request); },
        .flowOpened
        = [this](Core::ServiceId service, Core::UpstreamId upstream) { m_load.flowOpened(service, upstream); },
        .flowClosed
        = [this](Core::ServiceId service, Core::UpstreamId upstream) { m_load.flowClosed(service, upstream); },
        .tickRequested = [this] { m_control->wake(); },
    };
}

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings))
    , m_self(Model::vmId(m_settings.vmName))
    , m_incarnation(Messages::makeIncarnation())
    , m_load(m_clock, loadOptions(m_settings, m_incarnation))
    , m_engine(m_clock, engineOptions(m_settings, m_incarnation), engineHooks())
    , m_configuration([this](auto const& configuration) {
        m_load.applyConfiguration(configuration);
        m_pipeline->applyConfiguration(*configuration);
        if (m_areMembersKnown)
            m_engine.applyConfiguration(configuration);
    })
    , m_startupRelay(m_self)
    , m_membership(m_clock, membershipOptions(m_settings, m_incarnation),
          { .membersChanged =
                  [this] {
                      if (m_control)
                          m_control->noteMembersChanged();
                  },
              .incarnationChanged =
                  [this](Core::Incarnation incarnation) {
                      m_control->noteIncarnation(incarnation);
                      m_load.setIncarnation(incarnation);
                  } })
    , m_distribution(m_clock, distributionOptions(m_settings, m_incarnation),
          { .accept = [this](Core::Revision revision, Distribution::FileSet const& files,
                          std::string& reason) { return m_configuration.accept(revision, files, reason); } })
    , m_probes([this](Core::UpstreamId upstream, Load::UpstreamReport const& report) {
        m_load.recordReport(upstream, report);
    })
{
}

Daemon::~Daemon() = default;

std::unique_ptr<Daemon> Daemon::create(Settings settings, std::string& error)
{
    std::unique_ptr<Daemon> daemon { new Daemon { std::move(settings) } };
    if (!daemon->createControl(error) || !daemon->createTracer(error) || !daemon->createPipeline(error)
        || !daemon->createAdminServer(error))
        return nullptr;
    daemon->createSources();
    daemon->createMetrics();
    return daemon;
}

bool Daemon::createControl(std::string& error)
{
    auto channel = PeerChannel::create(m_settings.peerAddress, m_settings.keys, m_self, m_incarnation, error);
    if (!channel)
        return false;
    Controllers controllers { m_membership, m_distribution, m_engine, m_load, m_probes,
        [this](std::vector<Membership::Member> const& members) {
            m_pipeline->applyPeers(toPeerTable(members));
            m_startupRelay.applyMembers(members);
        } };
    auto membersKnown = [this] {
        // An older revision than one that was applied in between is ignored by the engine.
        if (auto configuration = m_configuration.configuration())
            m_engine.applyConfiguration(configuration);
        m_areMembersKnown = true;
    };
    m_control = std::make_unique<ControlLoop>(m_clock, controllers, std::move(channel), membersKnown);
    return true;
}

static DataPath::PipelineOptions pipelineOptions(Settings const& settings)
{
    DataPath::PipelineOptions options;
    options.dataAddress = settings.dataAddress;
    options.workers = settings.workers;
    options.self = Model::vmId(settings.vmName);
    options.hopKeys = hopKeys(settings);
    options.flowHashKey = settings.flowKey;
    return options;
}

bool Daemon::createTracer(std::string& error)
{
    if (!m_settings.traceFile)
        return true;
    auto sink = Telemetry::makeFileSink(m_settings.traceFile->string(), error);
    if (!sink) {
        error = "--trace_file=" + m_settings.traceFile->string() + ": " + error;
        return false;
    }
    Telemetry::TracerOptions options {
        .vmName = m_settings.vmName, .key = m_settings.flowKey, .sampledShare = 1.0 / m_settings.traceSampling
    };
    m_tracer = std::make_unique<Telemetry::Tracer>(options, std::move(*sink));
    return true;
}

bool Daemon::createPipeline(std::string& error)
{
    DataPath::PipelineHooks hooks { .decide = [this](Placement::PacketInfo const& packet) {
        return m_areMembersKnown ? m_engine.decide(packet) : m_startupRelay.decide(packet);
    } };
    m_pipeline = DataPath::Pipeline::create(
        m_clock, pipelineOptions(m_settings), std::move(hooks), m_metrics, m_tracer.get(), error);
    if (m_pipeline)
        return true;
    error = "--data_address=" + m_settings.dataAddress.toString() + ": " + error;
    return false;
}

bool Daemon::createAdminServer(std::string& error)
{
    if (!m_settings.adminAddress)
        return true;
    m_adminServer = Telemetry::AdminServer::create(*m_settings.adminAddress, error);
    if (!m_adminServer) {
        error = "--admin_address=" + m_settings.adminAddress->toString() + ": " + error;
        return false;
    }
    addAdminRoutes(*m_adminServer,
        { m_settings.vmName, m_settings.zoneName, m_metrics, m_configuration, m_membership, m_distribution, m_engine,
            m_load, [this] { return isReady(); } });
    return true;
}

void Daemon::createMetrics()
{
    auto const& control = m_control->counters();
    auto observe = [this](char const* name, char const* help, std::atomic<std::uint64_t> const& counter) {
        m_metrics.observeCounter(name, help, [&counter] { return static_cast<double>(counter.load()); });
    };
    observe("chicorytally_control_sent_bytes_total", "Bytes of messages sent to balancers", control.bytesSent);
    observe("chicorytally_control_received_bytes_total", "Bytes of messages received", control.bytesReceived);
    observe("chicorytally_control_sent_datagrams_total", "Datagrams sent to balancers", control.datagramsSent);
    observe(
        "chicorytally_control_rejected_total", "Datagrams that were not authentic, new or decodable", control.rejected);
    m_metrics.observeGauge("chicorytally_revision", "Configuration revision in force",
        [this] { return static_cast<double>(m_distribution.revision().value()); });
    auto observeEngine = [this](char const* name, char const* help, std::size_t Placement::EngineCounters::*counter) {
        m_metrics.observeGauge(
            name, help, [this, counter] { return static_cast<double>(m_engine.counters().*counter); });
    };
    observeEngine("chicorytally_tracked_buckets", "Buckets whose flows are looked up by their owner",
        &Placement::EngineCounters::trackedBuckets);
    observeEngine("chicorytally_owned_buckets", "Buckets whose opens this balancer decides",
        &Placement::EngineCounters::ownedBuckets);
    observeEngine("chicorytally_flow_records", "Flow records held as owner", &Placement::EngineCounters::records);
    observeEngine("chicorytally_flow_copies", "Flow records held as backup", &Placement::EngineCounters::copies);
    m_metrics.observeGauge(
        "chicorytally_ready", "1 when packets may be sent to this balancer", [this] { return isReady() ? 1 : 0; });
}

bool Daemon::isReady() const
{
    return !m_isStopping && m_engine.isSynchronised() && m_membership.isConfirmed() && m_load.isReady();
}

void Daemon::reload()
{
    if (m_folder)
        m_folder->wake();
}

static void logSourceError(Config::SourceError const& error)
{
    logEvent(Level::Error, "configuration_source_error",
        { { "source", error.source }, { "kind", Config::toString(error.kind) }, { "cause", error.cause } });
    logFaults(error.source, error.faults);
}

void Daemon::createSources()
{
    if (m_settings.configurationFolder) {
        m_folder = std::make_unique<Config::FolderSource>(
            Config::FolderSourceOptions { .folder = *m_settings.configurationFolder });
        return;
    }
    m_platformWatcher = std::make_unique<PlatformWatcher>(*m_settings.platform, m_distribution);
    m_vmList = std::make_unique<Config::VmListSource>(Config::VmListSourceOptions {
        .platform = *m_settings.platform, .schedule = { .interval = VmListInterval }, .seed = m_incarnation.value() });
}

void Daemon::applyVmList(Config::VmList const& list)
{
    std::vector<Membership::PlatformVm> vms;
    for (auto const& vm : list.vms) {
        Core::Endpoint endpoint { vm.address, m_settings.peerAddress.port };
        vms.push_back({ Model::vmId(vm.name), endpoint, vm.state == Config::VmState::Leaving });
    }
    m_membership.applyVmList(vms);
}

void Daemon::startSources()
{
    if (m_folder) {
        auto offer = [this](Config::Update const& update) {
            m_distribution.offerPlatformCopy(update.configuration->revision, toFileSet(update.files));
        };
        auto reject = [this](Config::SourceError const& error) {
            logSourceError(error);
            m_configuration.noteFaults(error.faults);
        };
        m_folder->start(offer, reject);
        return;
    }
    m_platformWatcher->start();
    m_vmList->start([this](Config::VmList const& list) { applyVmList(list); }, logSourceError);
    m_vmList->setActive(true);
}

void Daemon::stopSources()
{
    if (m_folder)
        m_folder->stop();
    if (m_platformWatcher)
        m_platformWatcher->stop();
    if (m_vmList)
        m_vmList->stop();
}

void Daemon::start()
{
    startSources();
    m_control->start();
    if (m_tracer)
        m_tracer->start();
    m_pipeline->start();
    if (m_adminServer)
        m_adminServer->start();
    logEvent(Level::Info, "started",
        { { "vm", m_settings.vmName }, { "zone", m_settings.zoneName },
            { "data_address", m_settings.dataAddress.toString() },
            { "peer_address", m_settings.peerAddress.toString() }, { "workers", m_settings.workers },
            { "incarnation", m_incarnation.value() } });
}

void Daemon::waitUntilDrained()
{
    auto deadline = m_clock.now() + m_settings.shutdownDeadline;
    auto quietSince = m_clock.now();
    auto received = m_pipeline->receivedCount();
    while (m_clock.now() < deadline) {
        if (m_engine.isDrained() && m_clock.now() - quietSince >= QuietTime)
            return;
        std::this_thread::sleep_for(DrainPollInterval);
        if (m_pipeline->receivedCount() == received)
            continue;
        received = m_pipeline->receivedCount();
        quietSince = m_clock.now();
    }
    logEvent(Level::Warn, "shutdown_deadline_passed", { { "drained", m_engine.isDrained() } });
}

void Daemon::stop()
{
    m_isStopping = true;
    stopSources();
    logEvent(Level::Info, "shutdown_started", { { "vm", m_settings.vmName } });
    m_membership.announceLeave();
    m_engine.prepareShutdown();
    waitUntilDrained();
    m_pipeline->stop();
    if (m_tracer)
        m_tracer->stop();
    m_control->stop();
    m_probes.stop();
    if (m_adminServer)
        m_adminServer->stop();
    logEvent(Level::Info, "stopped", { { "vm", m_settings.vmName }, { "received", m_pipeline->receivedCount() } });
}

}
