#include "AdminRoutes.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace Chicorytally::Daemon {

using nlohmann::json;
using Telemetry::AdminRequest;
using Telemetry::AdminResponse;

static constexpr int StatusUnavailable = 503;

static AdminResponse answer(json const& body, int status = 200)
{
    return { .status = status, .body = body.dump(2) + "\n" };
}

static json faultsOf(ConfigurationController const& configuration)
{
    auto list = json::array();
    for (auto const& fault : configuration.faults()) {
        list.push_back({ { "file", fault.file }, { "line", fault.line }, { "column", fault.column },
            { "cause", fault.cause }, { "remedy", fault.remedy } });
    }
    return list;
}

// As text, since many JSON readers keep numbers only to 53 bits.
static std::string idText(std::uint64_t id) { return absl::StrCat(absl::Hex(id, absl::kZeroPad16)); }

static json membersOf(AdminSources const& sources)
{
    auto configuration = sources.configuration.configuration();
    auto list = json::array();
    for (auto const& member : sources.membership.members()) {
        auto const* zone = configuration ? configuration->findZone(member.zone) : nullptr;
        list.push_back({ { "vm", idText(member.vm.value()) }, { "endpoint", member.endpoint.toString() },
            { "zone", zone ? zone->name : idText(member.zone.value()) }, { "incarnation", member.incarnation.value() },
            { "state", Membership::toString(member.state) }, { "revision", member.revision.value() } });
    }
    return list;
}

static json statusOf(AdminSources const& sources)
{
    auto configuration = sources.configuration.configuration();
    auto loadStatus = sources.load.controllerStatus();
    auto counters = sources.distribution.counters();
    return {
        { "vm", sources.vmName },
        { "zone", sources.zoneName },
        { "ready", sources.isReady() },
        { "confirmed", sources.membership.isConfirmed() },
        { "revision", sources.distribution.revision().value() },
        { "services", configuration ? configuration->services.size() : 0 },
        { "members", sources.membership.members().size() },
        { "overloaded", loadStatus.isOverloaded },
        { "unconfirmed_opens", loadStatus.unconfirmedOpens },
        { "older_revisions_ignored", counters.ignoredOlder },
        { "configurations_refused", counters.refused },
        { "configuration_faults", faultsOf(sources.configuration) },
    };
}

namespace {

    /// Names of services, upstreams and availability zones by id, for people.
    class Names {
    public:
        explicit Names(std::shared_ptr<Model::Configuration const> configuration)
            : m_configuration(std::move(configuration))
        {
        }

        std::string service(Core::ServiceId id) const
        {
            auto const* found = m_configuration ? m_configuration->findService(id) : nullptr;
            return found ? found->name : idText(id.value());
        }

        std::string upstream(Core::ServiceId serviceId, Core::UpstreamId id) const
        {
            auto const* found = find(serviceId, id);
            return found ? found->name : idText(id.value());
        }

        std::string zone(Core::ServiceId serviceId, Core::UpstreamId id) const
        {
            auto const* found = find(serviceId, id);
            auto const* availabilityZone = found ? m_configuration->findZone(found->zone) : nullptr;
            return availabilityZone ? availabilityZone->name : "";
        }

    private:
        Model::Upstream const* find(Core::ServiceId serviceId, Core::UpstreamId id) const
        {
            auto const* found = m_configuration ? m_configuration->findService(serviceId) : nullptr;
            return found ? found->findUpstream(id) : nullptr;
        }

        std::shared_ptr<Model::Configuration const> m_configuration;
    };

}

static json upstreamsOf(AdminSources const& sources)
{
    Names names { sources.configuration.configuration() };
    auto list = json::array();
    for (auto const& status : sources.load.status()) {
        json row {
            { "service", names.service(status.service) },
            { "upstream", names.upstream(status.service, status.upstream) },
            { "zone", names.zone(status.service, status.upstream) },
            { "condition", Load::toString(status.condition) },
            { "healthy", status.isHealthy },
            { "open_flows", status.openFlows },
            { "share", status.share },
            { "fleet_flows", status.fleetFlows },
            { "orphans", status.orphans },
            { "ramp", status.ramp },
            { "reason", status.lastReason },
        };
        if (status.estimate)
            row["utilization"] = *status.estimate;
        list.push_back(std::move(row));
    }
    return list;
}

void addAdminRoutes(Telemetry::AdminServer& server, AdminSources sources)
{
    server.addRoute("/metrics", [&metrics = sources.metrics](AdminRequest const&) {
        return AdminResponse { .body = metrics.renderText(), .contentType = "text/plain; version=0.0.4" };
    });
    server.addRoute("/healthz", [](AdminRequest const&) { return answer({ { "status", "ok" } }); });
    server.addRoute("/readyz", [isReady = sources.isReady](AdminRequest const&) {
        auto ready = isReady();
        return answer({ { "ready", ready } }, ready ? 200 : StatusUnavailable);
    });
    server.addRoute("/status", [sources](AdminRequest const&) { return answer(statusOf(sources)); });
    server.addRoute("/upstreams", [sources](AdminRequest const&) {
        return answer({ { "upstreams", upstreamsOf(sources) } });
    });
    server.addRoute("/members", [sources](AdminRequest const&) {
        return answer({ { "members", membersOf(sources) } });
    });
}

}
