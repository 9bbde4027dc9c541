#include "AdminRoutes.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

namespace Chicorytally::Daemon {

using nlohmann::json;
using Telemetry::AdminRequest;
using Telemetry::AdminResponse;

static constexpr int StatusBadRequest = 400;
static constexpr int StatusNotFound = 404;
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

static json placementOf(Placement::Engine const& engine)
{
    auto counters = engine.counters();
    json reasons = json::object();
    for (std::size_t i = 0; i < Placement::ReasonCount; ++i)
        reasons[std::string { Placement::toString(static_cast<Placement::Reason>(i)) }] = counters.reasons[i];
    return {
        { "synchronised", engine.isSynchronised() },
        { "buckets", counters.buckets },
        { "tracked_buckets", counters.trackedBuckets },
        { "owned_buckets", counters.ownedBuckets },
        { "records", counters.records },
        { "copies", counters.copies },
        { "differing_records", counters.differingRecords },
        { "peer_hops", counters.peerHops },
        { "reasons", reasons },
    };
}

static json statusOf(AdminSources const& sources)
{
    auto configuration = sources.configuration.configuration();
    auto loadStatus = sources.load.controllerStatus();
    auto counters = sources.distribution.counters();
    auto unconfirmedBy = json::array();
    for (auto vm : loadStatus.unconfirmedBy)
        unconfirmedBy.push_back(idText(vm.value()));
    return {
        { "vm", sources.vmName },
        { "zone", sources.zoneName },
        { "ready", sources.isReady() },
        { "confirmed", sources.membership.isConfirmed() },
        { "revision", sources.distribution.revision().value() },
        { "services", configuration ? configuration->services.size() : 0 },
        { "members", sources.membership.members().size() },
        { "overloaded", loadStatus.isOverloaded },
        { "unconfirmed_by", unconfirmedBy },
        { "placement", placementOf(sources.engine) },
        { "older_revisions_ignored", counters.olderCopiesIgnored },
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

// A flow is written as PROTOCOL,CALLER,SERVICE, for example tcp,10.0.0.1:4000,198.51.100.10:7000.
static std::optional<Core::FlowKey> parseFlow(std::string const& text)
{
    std::vector<std::string> parts = absl::StrSplit(text, ',');
    if (parts.size() != 3 || (parts[0] != "tcp" && parts[0] != "udp"))
        return std::nullopt;
    auto source = Core::Endpoint::parse(parts[1]);
    auto destination = Core::Endpoint::parse(parts[2]);
    if (!source || !destination)
        return std::nullopt;
    return Core::FlowKey { *source, *destination, parts[0] == "tcp" ? Core::Protocol::Tcp : Core::Protocol::Udp };
}

static json explanationOf(Names const& names, Core::ServiceId service, Placement::Explanation const& explanation)
{
    json body {
        { "service", names.service(service) },
        { "bucket", explanation.bucket },
        { "state", explanation.isTracked ? "tracked" : "steady" },
        { "baseline", names.upstream(service, explanation.baseline) },
        { "target", names.upstream(service, explanation.target) },
        { "owner", idText(explanation.owner.value()) },
        { "backup", idText(explanation.backup.value()) },
        { "is_owner", explanation.isOwner },
        { "epoch", explanation.epoch },
        { "verdict", Placement::toString(explanation.decision.verdict) },
        { "reason", Placement::toString(explanation.decision.reason) },
    };
    if (explanation.decision.upstream.isValid())
        body["upstream"] = names.upstream(service, explanation.decision.upstream);
    if (explanation.decision.peer.isValid())
        body["peer"] = idText(explanation.decision.peer.value());
    if (explanation.record)
        body["record"] = names.upstream(service, *explanation.record);
    return body;
}

static AdminResponse explain(AdminSources const& sources, AdminRequest const& request)
{
    auto parameter = request.parameters.find("flow");
    auto flow = parameter != request.parameters.end() ? parseFlow(parameter->second) : std::nullopt;
    if (!flow)
        return answer({ { "error", "write flow=PROTOCOL,CALLER_IP:PORT,SERVICE_IP:PORT with protocol tcp or udp" } },
            StatusBadRequest);
    auto configuration = sources.configuration.configuration();
    auto const* service = configuration ? configuration->findService(flow->destination, flow->protocol) : nullptr;
    auto explanation = service ? sources.engine.explain(service->id, *flow) : std::nullopt;
    if (!explanation)
        return answer({ { "error", "no service has the address " + flow->destination.toString() } }, StatusNotFound);
    return answer(explanationOf(Names { configuration }, service->id, *explanation));
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
    server.addRoute("/explain", [sources](AdminRequest const& request) { return explain(sources, request); });
    server.addRoute("/members", [sources](AdminRequest const&) {
        return answer({ { "members", membersOf(sources) } });
    });
}

}
