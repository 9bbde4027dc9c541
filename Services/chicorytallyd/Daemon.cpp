#include "Daemon.h"

namespace Chicorytally::Daemon {

using Telemetry::Level;
using Telemetry::logEvent;

static Placement::EngineOptions engineOptions(Settings const& settings)
{
    return { .self = Model::vmId(settings.vmName), .hashKey = settings.flowKey };
}

static Packet::HopKey hopKey(Settings const& settings) { return settings.keys.sealing.derive("peer hop"); }

Daemon::Daemon(Settings settings)
    : m_settings(std::move(settings))
    , m_engine(m_clock, engineOptions(m_settings), {})
{
}

std::unique_ptr<Daemon> Daemon::create(Settings settings, std::string& error)
{
    std::unique_ptr<Daemon> daemon { new Daemon { std::move(settings) } };
    if (!daemon->createWorkers(error))
        return nullptr;
    daemon->reload();
    return daemon;
}

bool Daemon::createWorkers(std::string& error)
{
    auto key = hopKey(m_settings);
    auto self = Model::vmId(m_settings.vmName);
    auto configurationSource = [this] { return configuration(); };
    auto peerAddressSource = [](Core::VmId) -> std::optional<Core::Endpoint> { return std::nullopt; };
    auto chain = std::make_shared<DataPath::FilterChain const>(std::vector<DataPath::Filter> {
        DataPath::makeParseFilter(key),
        DataPath::makeServiceFilter(configurationSource),
        DataPath::makePlacementFilter(m_engine),
        DataPath::makeEncapsulationFilter(key, self, peerAddressSource),
    });
    for (std::size_t i = 0; i < m_settings.workers; ++i) {
        DataPath::SocketError socketError;
        auto udpSocket = DataPath::UdpSocket::bind(m_settings.dataAddress, m_settings.workers > 1, socketError);
        if (!udpSocket) {
            error = "--data_address=" + m_settings.dataAddress.toString() + ": " + socketError.toString();
            return false;
        }
        m_workers.push_back(std::make_unique<DataPath::Worker>(std::move(*udpSocket), chain));
    }
    return true;
}

std::shared_ptr<Model::Configuration const> Daemon::configuration() const
{
    absl::MutexLock lock { &m_lock };
    return m_configuration;
}

void Daemon::reload()
{
    Config::FolderReader reader;
    auto read = reader.read(*m_settings.configurationFolder);
    if (!read) {
        for (auto const& fault : reader.faults())
            logEvent(Level::Error, "configuration_refused",
                { { "file", fault.file }, { "line", fault.line }, { "cause", fault.cause },
                    { "remedy", fault.remedy } });
        return;
    }
    auto next = std::make_shared<Model::Configuration const>(std::move(*read));
    m_engine.applyConfiguration(next);
    logEvent(Level::Info, "configuration_in_force",
        { { "revision", next->revision.value() }, { "services", next->services.size() },
            { "zones", next->zones.size() } });
    absl::MutexLock lock { &m_lock };
    m_configuration = std::move(next);
}

void Daemon::start()
{
    for (auto& worker : m_workers)
        worker->start();
    logEvent(Level::Info, "started",
        { { "vm", m_settings.vmName }, { "zone", m_settings.zoneName },
            { "data_address", m_settings.dataAddress.toString() }, { "workers", m_workers.size() } });
}

void Daemon::stop()
{
    std::uint64_t forwarded = 0;
    for (auto& worker : m_workers) {
        worker->stop();
        forwarded += worker->counters().forwarded;
    }
    logEvent(Level::Info, "stopped", { { "vm", m_settings.vmName }, { "forwarded", forwarded } });
}

}
