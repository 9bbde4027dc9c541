#include <LibModel/Configuration.h>

#include <algorithm>

namespace Chicorytally::Model {

template <typename Items, typename ItemId> static auto const* findById(Items const& items, ItemId id)
{
    auto isBefore = [](auto const& item, ItemId wanted) { return item.id < wanted; };
    auto position = std::lower_bound(items.begin(), items.end(), id, isBefore);
    return position != items.end() && position->id == id ? &*position : nullptr;
}

Upstream const* Service::findUpstream(Core::UpstreamId id) const { return findById(upstreams, id); }

Service const* Configuration::findService(Core::Endpoint const& address, Core::Protocol protocol) const
{
    auto matches = [&](Service const& service) { return service.address == address && service.protocol == protocol; };
    auto position = std::find_if(services.begin(), services.end(), matches);
    return position != services.end() ? &*position : nullptr;
}

Service const* Configuration::findService(Core::ServiceId id) const { return findById(services, id); }

AvailabilityZone const* Configuration::findZone(Core::ZoneId id) const { return findById(zones, id); }

bool Configuration::isZoneInService(Core::ZoneId id) const
{
    auto const* zone = findZone(id);
    return zone && zone->state == ZoneState::In;
}

// Zero means "none", so a name that hashes to zero gets the identifier 1.
static std::uint64_t nonZeroHash(std::string_view text, std::uint64_t seed)
{
    return std::max<std::uint64_t>(1, Core::hash64(text, seed));
}

Core::ServiceId serviceId(std::string_view name, Core::Endpoint const& address, Core::Protocol protocol)
{
    auto text = std::string { name } + "|" + address.toString() + "|" + std::to_string(static_cast<int>(protocol));
    return Core::ServiceId { nonZeroHash(text, 1) };
}

Core::UpstreamId upstreamId(Core::ServiceId service, std::string_view name, Core::Endpoint const& address)
{
    return Core::UpstreamId { nonZeroHash(std::string { name } + "|" + address.toString(), service.value()) };
}

Core::ZoneId zoneId(std::string_view name) { return Core::ZoneId { nonZeroHash(name, 2) }; }

Core::VmId vmId(std::string_view name) { return Core::VmId { nonZeroHash(name, 3) }; }

}
