#pragma once

#include "ConfigurationController.h"
#include "ControlLoop.h"
#include "PlatformWatcher.h"
#include "ProbeRunner.h"
#include "Settings.h"
#include "StartupRelay.h"

#include <LibConfig/Config.h>
#include <LibDataPath/DataPath.h>
#include <LibDistribution/Distribution.h>
#include <LibLoad/Load.h>
#include <LibMembership/Membership.h>
#include <LibPlacement/Placement.h>
#include <LibTelemetry/Telemetry.h>

#include <atomic>
#include <memory>
#include <vector>

namespace Chicorytally::Daemon {

/// Builds the parts of the daemon from its settings and connects them.
class Daemon {
public:
    /// Nothing when a part can't be made; the error says why.
    static std::unique_ptr<Daemon> create(Settings, std::string& error);
    ~Daemon();

    void start();
    /// Reads the configuration folder now; a faulty one is refused as a whole.
    void reload();
    /// Graceful shutdown: announces the departure, hands flow records over and forwards until no more packets arrive or
    /// the deadline passes.
    void stop();

private:
    explicit Daemon(Settings);

    Placement::EngineHooks engineHooks();
    bool createControl(std::string& error);
    bool createTracer(std::string& error);
    bool createPipeline(std::string& error);
    bool createAdminServer(std::string& error);
    void createSources();
    void startSources();
    void stopSources();
    void applyVmList(Config::VmList const&);
    void createMetrics();
    bool isReady() const;
    void waitUntilDrained();

    Settings m_settings;
    Core::SystemClock m_clock;
    Core::VmId m_self;
    Core::Incarnation m_incarnation;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_areMembersKnown { false };

    Load::LoadController m_load;
    Placement::Engine m_engine;
    ConfigurationController m_configuration;
    StartupRelay m_startupRelay;
    Membership::Controller m_membership;
    Distribution::Controller m_distribution;
    ProbeRunner m_probes;
    Telemetry::Metrics m_metrics;
    std::unique_ptr<ControlLoop> m_control;
    /// Set when the configuration comes from a folder.
    std::unique_ptr<Config::FolderSource> m_folder;
    /// Set when it comes from the platform.
    std::unique_ptr<PlatformWatcher> m_platformWatcher;
    std::unique_ptr<Config::VmListSource> m_vmList;
    std::unique_ptr<Telemetry::Tracer> m_tracer;
    std::unique_ptr<DataPath::Pipeline> m_pipeline;
    std::unique_ptr<Telemetry::AdminServer> m_adminServer;
};

}
