#include <LibConfig/Suggestion.h>
#include <LibConfig/Validator.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>

namespace Chicorytally::Config {

namespace {

    // One use of an address, in the order in which the files are read.
    struct AddressUse {
        Position position;
        std::string path;
        Core::Endpoint endpoint;
        Core::Protocol protocol { Core::Protocol::Udp };
    };

}

static void sortByPosition(std::vector<AddressUse>& uses)
{
    std::ranges::sort(uses, [](AddressUse const& first, AddressUse const& second) {
        return std::tie(first.position, first.path) < std::tie(second.position, second.path);
    });
}

// Reports each use of an endpoint and protocol after the first one.
static void rejectRepeated(std::vector<AddressUse>& uses, std::string const& remedy, FaultList& faults)
{
    sortByPosition(uses);
    absl::flat_hash_map<std::pair<Core::Endpoint, Core::Protocol>, AddressUse const*> seen;
    for (auto const& use : uses) {
        auto [position, isNew] = seen.try_emplace({ use.endpoint, use.protocol }, &use);
        if (isNew)
            continue;
        auto const& first = *position->second;
        faults.add(use.position,
            absl::StrCat("address ", use.endpoint.toString(), " of ", use.path, " is also that of ", first.path, " (",
                first.position.toString(), ")"),
            remedy);
    }
}

void Validator::checkZones(Declaration const& declaration)
{
    if (m_faults.isIncomplete)
        return;
    std::vector<std::string> names;
    absl::flat_hash_set<std::string> known;
    for (auto const& zone : declaration.zones) {
        names.push_back(zone.name);
        known.insert(zone.name);
    }
    for (auto const& service : declaration.services) {
        for (auto const& upstream : service.upstreams) {
            if (!upstream.zoneName || known.contains(*upstream.zoneName))
                continue;
            auto nearest = nearestWord(*upstream.zoneName, names);
            m_faults.add(upstream.zonePosition,
                absl::StrCat("zone ", quoted(*upstream.zoneName), " of ", upstream.path, " is not declared"),
                nearest ? absl::StrCat("did you mean ", *nearest, "?")
                        : "declare it in a table [zone.NAME], or correct the name");
        }
    }
}

void Validator::checkServiceAddresses(Declaration const& declaration)
{
    std::vector<AddressUse> uses;
    for (auto const& service : declaration.services) {
        if (service.address && service.values.address.port)
            uses.push_back({ service.addressPosition, service.path, { *service.address, service.values.address.port },
                service.values.protocol });
    }
    rejectRepeated(uses, "give each service its own address, port or protocol", m_faults);
}

void Validator::checkUpstreamAddresses(Declaration const& declaration)
{
    std::vector<AddressUse> uses;
    for (auto const& service : declaration.services) {
        for (auto const& upstream : service.upstreams) {
            if (upstream.address && upstream.values.address.port)
                uses.push_back(
                    { upstream.addressPosition, upstream.path, { *upstream.address, upstream.values.address.port } });
        }
    }
    rejectRepeated(uses, "give each upstream its own address and port, and each upstream to one service", m_faults);
}

// Packets to such an upstream would come back through the fabric to a balancer.
void Validator::checkUpstreamsAgainstServices(Declaration const& declaration)
{
    absl::flat_hash_map<Core::IpAddress, DeclaredService const*> services;
    for (auto const& service : declaration.services) {
        if (service.address)
            services.try_emplace(*service.address, &service);
    }
    for (auto const& service : declaration.services) {
        for (auto const& upstream : service.upstreams) {
            auto position = upstream.address ? services.find(*upstream.address) : services.end();
            if (position == services.end())
                continue;
            auto const& other = *position->second;
            m_faults.add(upstream.addressPosition,
                absl::StrCat("address ", upstream.address->toString(), " of ", upstream.path, " is that of ",
                    other.path, " (", other.addressPosition.toString(), ")"),
                "write the upstream's own address; the address of a service leads back to the balancers");
        }
    }
}

void Validator::checkFamilies(DeclaredService const& service)
{
    if (!service.address)
        return;
    auto familyOf = [](Core::IpAddress const& address) { return address.isV4() ? "IPv4" : "IPv6"; };
    for (auto const& upstream : service.upstreams) {
        if (!upstream.address || upstream.address->isV4() == service.address->isV4())
            continue;
        m_faults.add(upstream.addressPosition,
            absl::StrCat("address ", upstream.address->toString(), " of ", upstream.path, " is ",
                familyOf(*upstream.address), ", but ", service.path, " is ", familyOf(*service.address)),
            "use one address family within a service; declare a second service for the other one");
    }
}

void Validator::checkCount(DeclaredService const& service)
{
    if (service.upstreams.size() > MaxUpstreamsPerService)
        m_faults.add(service.position,
            absl::StrCat(service.path, " has ", service.upstreams.size(), " upstreams, which is more than ",
                MaxUpstreamsPerService),
            "divide the upstreams between several services");
}

void Validator::check(Declaration const& declaration)
{
    checkZones(declaration);
    checkServiceAddresses(declaration);
    checkUpstreamAddresses(declaration);
    checkUpstreamsAgainstServices(declaration);
    for (auto const& service : declaration.services) {
        checkFamilies(service);
        checkCount(service);
    }
}

}
