#include <LibDirectory/UpstreamDirectory.h>

#include <algorithm>

namespace Chicorytally::Directory {

UpstreamDirectory::UpstreamDirectory(Core::Clock const& clock, DirectoryOptions options, DirectoryHooks hooks)
    : m_clock(clock)
    , m_options(options)
    , m_hooks(std::move(hooks))
{
}

bool UpstreamDirectory::applyRoutes(RouteTable table)
{
    if (table.version <= m_routes.version)
        return false;
    bool servicesChanged = table.services != m_routes.services;
    m_routes = std::move(table);
    if (!servicesChanged)
        return true;
    // An entry may arrive before the route version that declares its service.
    for (auto& [id, record] : m_records) {
        if (record->isListed)
            resolveAddressConflict(*record);
    }
    return true;
}

// A store that was restored from a copy lists upstreams as they were when the copy was made. An upstream that drains
// doesn't become active again in the same incarnation.
static bool isEarlierState(UpstreamEntry const& entry, UpstreamEntry const& known)
{
    if (entry.revision.epoch() == known.revision.epoch())
        return false;
    if (entry.incarnation != known.incarnation)
        return entry.incarnation < known.incarnation;
    return known.upstream.isDraining() && !entry.upstream.isDraining();
}

bool UpstreamDirectory::applyUpstream(UpstreamEntry entry)
{
    auto record = m_records.find(entry.upstream.id);
    if (record == m_records.end()) {
        addRecord(std::move(entry));
        return true;
    }
    if (entry.revision <= record->second->entry.revision)
        return false;
    if (isEarlierState(entry, record->second->entry)) {
        record->second->entry.revision = entry.revision;
        return false;
    }
    updateRecord(*record->second, std::move(entry));
    return true;
}

void UpstreamDirectory::addRecord(UpstreamEntry entry)
{
    auto id = entry.upstream.id;
    auto& record = *(m_records[id] = std::make_unique<UpstreamRecord>());
    record.entry = std::move(entry);
    record.token = routingToken(id);
    record.slowStartEnd = m_clock.now() + record.entry.slowStartRemaining;
    record.hasTokenCollision = !m_byToken.try_emplace(record.token, &record).second;
    m_byService[record.entry.service].push_back(&record);
    resolveAddressConflict(record);
}

void UpstreamDirectory::updateRecord(UpstreamRecord& record, UpstreamEntry entry)
{
    bool wasListed = record.isListed;
    bool isRestarted = entry.incarnation > record.entry.incarnation;
    if (entry.service != record.entry.service) {
        std::erase(m_byService[record.entry.service], &record);
        m_byService[entry.service].push_back(&record);
    }
    if (entry.upstream.address != record.entry.upstream.address)
        m_byAddress.erase(record.entry.upstream.address);
    record.entry = std::move(entry);
    record.slowStartEnd = m_clock.now() + record.entry.slowStartRemaining;
    record.isListed = true;
    record.isSuperseded = false;
    resolveAddressConflict(record);
    if (isRestarted && m_hooks.restarted)
        m_hooks.restarted(record);
    if (!wasListed && m_hooks.listedAgain)
        m_hooks.listedAgain(record);
}

void UpstreamDirectory::resolveAddressConflict(UpstreamRecord& record)
{
    // An entry of an undeclared service must not abort the flows of the upstream at the same address.
    if (!isDeclared(record.entry.service))
        return;
    auto& holder = m_byAddress[record.entry.upstream.address];
    auto* previous = holder;
    // Entries may arrive out of order, so the address belongs to the process that started last.
    if (previous && previous != &record && previous->entry.incarnation > record.entry.incarnation) {
        record.isSuperseded = true;
        unlist(record);
        return;
    }
    holder = &record;
    if (!previous || previous == &record || previous->isSuperseded)
        return;
    previous->isSuperseded = true;
    unlist(*previous);
}

bool UpstreamDirectory::removeUpstream(Core::UpstreamId id, Core::Revision revision)
{
    auto record = m_records.find(id);
    if (record == m_records.end() || revision <= record->second->entry.revision)
        return false;
    record->second->entry.revision = revision;
    if (record->second->isListed)
        unlist(*record->second);
    return true;
}

void UpstreamDirectory::unlist(UpstreamRecord& record)
{
    record.isListed = false;
    record.unlistedSince = m_clock.now();
    if (m_hooks.unlisted)
        m_hooks.unlisted(record);
}

void UpstreamDirectory::setZoneOutOfService(Core::ZoneId zone, bool isOutOfService)
{
    if (isOutOfService) {
        m_zonesOutOfService.insert(zone);
        return;
    }
    if (m_zonesOutOfService.erase(zone) != 0)
        m_zoneReturnTimes[zone] = m_clock.now();
}

void UpstreamDirectory::sweep()
{
    std::vector<Core::UpstreamId> expired;
    for (auto const& [id, record] : m_records) {
        if (!record->isListed && m_clock.now() - record->unlistedSince > m_options.retention)
            expired.push_back(id);
    }
    for (auto id : expired)
        removeRecord(id);
}

void UpstreamDirectory::removeRecord(Core::UpstreamId id)
{
    auto record = m_records.find(id);
    auto* pointer = record->second.get();
    std::erase(m_byService[pointer->entry.service], pointer);
    if (auto holder = m_byToken.find(pointer->token); holder != m_byToken.end() && holder->second == pointer)
        m_byToken.erase(holder);
    auto const& address = pointer->entry.upstream.address;
    if (auto holder = m_byAddress.find(address); holder != m_byAddress.end() && holder->second == pointer)
        m_byAddress.erase(holder);
    m_records.erase(record);
}

Route const* UpstreamDirectory::findRoute(Core::Endpoint const& address) const
{
    auto route = m_routes.routes.find(address);
    return route == m_routes.routes.end() ? nullptr : &route->second;
}

ServiceLimits UpstreamDirectory::limitsOf(Core::ServiceId service) const
{
    auto limits = m_routes.services.find(service);
    return limits == m_routes.services.end() ? ServiceLimits {} : limits->second;
}

UpstreamRecord const* UpstreamDirectory::find(Core::UpstreamId id) const
{
    auto record = m_records.find(id);
    return record == m_records.end() ? nullptr : record->second.get();
}

UpstreamRecord const* UpstreamDirectory::findByToken(RoutingToken token) const
{
    auto record = m_byToken.find(token);
    return record == m_byToken.end() ? nullptr : record->second;
}

std::vector<UpstreamRecord const*> const& UpstreamDirectory::upstreamsOf(Core::ServiceId service) const
{
    static std::vector<UpstreamRecord const*> const None;
    auto records = m_byService.find(service);
    return records == m_byService.end() ? None : records->second;
}

bool UpstreamDirectory::any(std::function<bool(UpstreamRecord const&)> const& predicate) const
{
    return std::ranges::any_of(m_records, [&](auto const& entry) { return predicate(*entry.second); });
}

std::vector<UpstreamRecord const*> UpstreamDirectory::upstreamsIn(Core::ZoneId zone) const
{
    std::vector<UpstreamRecord const*> result;
    for (auto const& [id, record] : m_records) {
        if (record->isListed && record->entry.upstream.zone == zone)
            result.push_back(record.get());
    }
    return result;
}

bool UpstreamDirectory::isInSlowStart(UpstreamRecord const& record) const
{
    return m_clock.now() < record.slowStartEnd || hasRecentlyReturned(record.entry.upstream.zone);
}

bool UpstreamDirectory::hasRecentlyReturned(Core::ZoneId zone) const
{
    auto returned = m_zoneReturnTimes.find(zone);
    return returned != m_zoneReturnTimes.end() && m_clock.now() - returned->second < m_options.zoneReturnSlowStart;
}

bool UpstreamDirectory::isDeclared(Core::ServiceId service) const
{
    return m_routes.version == 0 || m_routes.services.contains(service);
}

bool UpstreamDirectory::acceptsNewFlows(UpstreamRecord const& record) const
{
    return record.isListed && !record.hasTokenCollision && isDeclared(record.entry.service)
        && !record.entry.upstream.isDraining() && !isZoneOutOfService(record.entry.upstream.zone);
}

bool UpstreamDirectory::isZoneOutOfService(Core::ZoneId zone) const { return m_zonesOutOfService.contains(zone); }

}
