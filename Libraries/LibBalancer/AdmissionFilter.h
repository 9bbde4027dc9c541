#pragma once

#include <LibCore/Core.h>
#include <LibDirectory/Directory.h>
#include <LibLoad/Load.h>
#include <LibPlacement/Placement.h>
#include <LibTelemetry/Telemetry.h>

#include <string>
#include <string_view>

namespace Chicorytally::Balancer {

/// Connects admission control to the directory, the flow table's hooks, the log and the metrics of one balancer. Not
/// thread-safe.
class AdmissionFilter {
public:
    AdmissionFilter(
        Core::Clock const&, Load::AdmissionOptions, Directory::UpstreamDirectory const&, Telemetry::Metrics&);
    AdmissionFilter(AdmissionFilter const&) = delete;
    AdmissionFilter& operator=(AdmissionFilter const&) = delete;

    void applyRoutes(Directory::RouteTable const&);
    /// Why the open is refused; empty if it is admitted.
    std::string_view refusalOf(Core::ServiceId, Placement::TokenPacket const&);
    void noteRequest(Core::FlowKey const&, Placement::TokenFlow const&);
    void noteResponse(
        Core::FlowKey const&, Placement::TokenFlow const&, Placement::TokenResponse const&, Load::ResponseSize);
    void tick() { m_controller.tick(); }

private:
    Load::AdmissionHooks hooks();
    Load::ServiceSpread spreadOf(Core::ServiceId) const;
    void logContention(std::string_view event, Load::Contention const&) const;
    std::string routesOf(Core::ServiceId) const;
    void observeCounters(std::string const& priority, Load::AdmissionCounters const&);
    void observeCapacities();

    Core::Clock const& m_clock;
    Directory::UpstreamDirectory const& m_directory;
    Telemetry::Metrics& m_metrics;
    /// Names of the routes of each service, for log lines and metrics.
    absl::flat_hash_map<Core::ServiceId, std::string> m_routeNames;
    Load::AdmissionController m_controller;
};

}
