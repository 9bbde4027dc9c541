#include <LibBalancer/AdmissionFilter.h>

#include <absl/container/inlined_vector.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>

namespace Chicorytally::Balancer {

using Telemetry::Level;
using Telemetry::logEvent;

// Names of a service's routes in a log line or a label; a service can have thousands.
static constexpr std::size_t MaximumRouteNames = 4;
// Bounds the number of metrics.
static constexpr std::size_t MaximumObservedServices = 32;

AdmissionFilter::AdmissionFilter(Core::Clock const& clock, Load::AdmissionOptions options,
    Directory::UpstreamDirectory const& directory, Telemetry::Metrics& metrics)
    : m_clock(clock)
    , m_directory(directory)
    , m_metrics(metrics)
    , m_controller(clock, options, hooks())
{
    m_metrics.observeCounter("chicorytally_admission_callers_evicted_total",
        "Callers whose share was forgotten for lack of memory",
        [this] { return static_cast<double>(m_controller.evictedCallers()); });
    m_metrics.observeGauge("chicorytally_services_in_contention", "Services whose callers ask for more than they take",
        [this] { return static_cast<double>(m_controller.contendedCount()); });
}

Load::AdmissionHooks AdmissionFilter::hooks()
{
    return {
        .spreadOf = [this](Core::ServiceId service) { return spreadOf(service); },
        .contentionStarted = [this](auto const& contention) { logContention("contention_started", contention); },
        .contentionEnded = [this](auto const& contention) { logContention("contention_ended", contention); },
    };
}

Load::ServiceSpread AdmissionFilter::spreadOf(Core::ServiceId service) const
{
    Load::ServiceSpread spread;
    absl::InlinedVector<Core::ZoneId, 8> zones;
    for (auto const* record : m_directory.upstreamsOf(service)) {
        if (!m_directory.acceptsNewFlows(*record))
            continue;
        ++spread.upstreams;
        if (auto zone = record->entry.upstream.zone; std::ranges::find(zones, zone) == zones.end())
            zones.push_back(zone);
    }
    spread.zones = zones.size();
    return spread;
}

void AdmissionFilter::logContention(std::string_view event, Load::Contention const& contention) const
{
    auto priorities = absl::StrJoin(contention.refusedPriorities, ",");
    logEvent(Level::Warn, event,
        { { "routes", routesOf(contention.service) }, { "offered_per_s", std::llround(contention.offeredRate) },
            { "capacity_per_s", std::llround(contention.capacity) },
            { "priorities", priorities.empty() ? "none" : priorities } });
}

std::string AdmissionFilter::routesOf(Core::ServiceId service) const
{
    auto names = m_routeNames.find(service);
    return names == m_routeNames.end() ? std::to_string(service.value()) : names->second;
}

void AdmissionFilter::applyRoutes(Directory::RouteTable const& table)
{
    m_controller.configure(table);
    absl::flat_hash_map<Core::ServiceId, std::vector<std::string>> names;
    for (auto const& [address, route] : table.routes) {
        for (auto const& entry : route.services)
            names[entry.service].push_back(route.name);
    }
    for (auto& [service, list] : names) {
        std::ranges::sort(list);
        list.resize(std::min(list.size(), MaximumRouteNames));
        m_routeNames[service] = absl::StrJoin(list, ",");
    }
    for (auto const& [priority, counters] : m_controller.counters())
        observeCounters(priority ? std::to_string(*priority) : std::string { "other" }, counters);
    observeCapacities();
}

void AdmissionFilter::observeCounters(std::string const& priority, Load::AdmissionCounters const& counters)
{
    m_metrics.observeCounter("chicorytally_admission_offered_total", "Opens of services with several priorities",
        [&counters] { return static_cast<double>(counters.offered); }, { { "priority", priority } });
    for (std::size_t i = 0; i < Load::AdmissionCount; ++i) {
        std::string outcome { toString(static_cast<Load::Admission>(i)) };
        m_metrics.observeCounter("chicorytally_admission_total", "Opens of services with several priorities by outcome",
            [&counters, i] { return static_cast<double>(counters.outcomes[i]); },
            { { "priority", priority }, { "outcome", outcome } });
    }
}

void AdmissionFilter::observeCapacities()
{
    auto services = m_controller.services();
    std::ranges::sort(services);
    services.resize(std::min(services.size(), MaximumObservedServices));
    for (auto service : services) {
        m_metrics.observeGauge("chicorytally_admission_capacity",
            "Requests per second that a service in contention takes from here; else 0",
            [this, service] { return m_controller.capacityOf(service).value_or(0); },
            { { "routes", routesOf(service) } });
    }
}

std::string_view AdmissionFilter::refusalOf(Core::ServiceId service, Placement::TokenPacket const& packet)
{
    if (!m_controller.isEnabled())
        return {};
    auto admission = m_controller.admit(service, packet.flow, packet.sequence);
    return admission == Load::Admission::Admitted ? std::string_view {} : toString(admission);
}

void AdmissionFilter::noteRequest(Core::FlowKey const& key, Placement::TokenFlow const& flow)
{
    if (!m_controller.isEnabled())
        return;
    auto const* record = m_directory.find(flow.upstream);
    if (!record)
        return;
    std::optional<std::chrono::nanoseconds> age;
    if (flow.isOpenSeen)
        age = m_clock.now() - flow.openedAt;
    m_controller.noteRequest(record->entry.service, key, age);
}

void AdmissionFilter::noteResponse(Core::FlowKey const& key, Placement::TokenFlow const& flow,
    Placement::TokenResponse const& response, Load::ResponseSize size)
{
    if (!m_controller.isEnabled())
        return;
    auto const* record = m_directory.find(flow.upstream);
    if (!record)
        return;
    m_controller.noteResponse(record->entry.service, key.destination,
        { .upstream = flow.upstream,
            .zone = record->entry.upstream.zone,
            .duration = response.duration,
            .isShort = size != Load::ResponseSize::Usual });
}

}
