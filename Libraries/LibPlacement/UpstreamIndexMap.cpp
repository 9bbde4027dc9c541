#include <LibPlacement/UpstreamIndexMap.h>

#include <LibPlacement/TargetTable.h>

#include <algorithm>

namespace Chicorytally::Placement {

IndexedUpstream& UpstreamIndexMap::entryOf(Core::UpstreamId id)
{
    auto [position, isNew] = m_indexes.try_emplace(id, static_cast<UpstreamIndex>(m_entries.size()));
    if (isNew)
        m_entries.push_back({ .id = id });
    return m_entries[position->second];
}

UpstreamIndex UpstreamIndexMap::indexOf(Core::UpstreamId id) const
{
    auto position = m_indexes.find(id);
    return position != m_indexes.end() ? position->second : NoUpstreamIndex;
}

static bool isAddressReused(Model::Configuration const& configuration, IndexedUpstream const& entry)
{
    for (auto const& service : configuration.services) {
        for (auto const& upstream : service.upstreams) {
            if (upstream.address == entry.destination && upstream.id != entry.id)
                return true;
        }
    }
    return false;
}

static UpstreamAvailability availabilityOf(Model::Configuration const& configuration, IndexedUpstream const& entry)
{
    auto const* zone = configuration.findZone(entry.zone);
    if (zone && zone->state == Model::ZoneState::Out)
        return UpstreamAvailability::ZoneOut;
    if (!entry.isConfigured && isAddressReused(configuration, entry))
        return UpstreamAvailability::Gone;
    return UpstreamAvailability::Usable;
}

void UpstreamIndexMap::update(
    Model::Configuration const& configuration, Model::Service const& service, Core::TimePoint now)
{
    for (auto const& upstream : service.upstreams) {
        auto& entry = entryOf(upstream.id);
        entry.destination = upstream.address;
        entry.zone = upstream.zone;
        entry.isConfigured = true;
        entry.takesNewFlows = TargetTable::takesNewFlows(configuration, upstream);
        if (!upstream.isDraining())
            entry.deadline.reset();
        else if (upstream.drainDeadline && !entry.deadline)
            entry.deadline = now + *upstream.drainDeadline;
    }
    for (auto& entry : m_entries) {
        if (entry.isConfigured && !service.findUpstream(entry.id)) {
            entry.isConfigured = false;
            entry.takesNewFlows = false;
            entry.deadline = std::min(entry.deadline.value_or(Core::TimePoint::max()), now + RemovedUpstreamTimeout);
        }
        if (entry.isConfigured || entry.availability != UpstreamAvailability::Unknown)
            entry.availability = availabilityOf(configuration, entry);
    }
    expire(now);
}

bool UpstreamIndexMap::expire(Core::TimePoint now)
{
    bool hasExpiredUpstream = false;
    for (auto& entry : m_entries) {
        if (entry.availability != UpstreamAvailability::Usable || !entry.deadline || now < *entry.deadline)
            continue;
        entry.availability = UpstreamAvailability::Gone;
        hasExpiredUpstream = true;
    }
    return hasExpiredUpstream;
}

UpstreamIndex UpstreamIndexMap::intern(
    Messages::UpstreamReference const& reference, Model::Configuration const& configuration)
{
    auto& entry = entryOf(Core::UpstreamId { static_cast<std::uint64_t>(reference.id) });
    if (entry.availability == UpstreamAvailability::Unknown && reference.__isset.address
        && reference.address.size() == 16) {
        std::array<std::uint8_t, 16> bytes;
        std::ranges::copy(reference.address, bytes.begin());
        entry.destination = { Core::IpAddress::fromV6(bytes), static_cast<std::uint16_t>(reference.port) };
        entry.zone = Core::ZoneId { static_cast<std::uint64_t>(reference.zoneId) };
        entry.availability = availabilityOf(configuration, entry);
    }
    return m_indexes.at(entry.id);
}

Messages::UpstreamReference toReference(IndexedUpstream const& entry)
{
    Messages::UpstreamReference reference;
    reference.__set_id(static_cast<std::int64_t>(entry.id.value()));
    if (!entry.isConfigured && entry.availability != UpstreamAvailability::Unknown) {
        auto const& bytes = entry.destination.address.bytes();
        reference.__set_address(std::string { bytes.begin(), bytes.end() });
        reference.__set_port(entry.destination.port);
        reference.__set_zoneId(static_cast<std::int64_t>(entry.zone.value()));
    }
    return reference;
}

}
