#pragma once

#include "ConfigurationController.h"

#include <LibDistribution/Distribution.h>
#include <LibLoad/Load.h>
#include <LibMembership/Membership.h>
#include <LibPlacement/Placement.h>
#include <LibTelemetry/Telemetry.h>

#include <functional>
#include <string>

namespace Chicorytally::Daemon {

/// What the routes for operators read. Everything must outlive the server.
struct AdminSources {
    std::string vmName;
    std::string zoneName;
    Telemetry::Metrics const& metrics;
    ConfigurationController const& configuration;
    Membership::Controller const& membership;
    Distribution::Controller const& distribution;
    Placement::Engine& engine;
    Load::LoadController const& load;
    /// False while the process starts or stops: the fabric should send its packets elsewhere.
    std::function<bool()> isReady;
};

/// Adds /metrics, /healthz, /readyz, /status, /upstreams, /members and /explain.
void addAdminRoutes(Telemetry::AdminServer&, AdminSources);

}
