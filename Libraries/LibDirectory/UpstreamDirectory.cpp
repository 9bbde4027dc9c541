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
    // Before the first routes, every service counts as declared.
    bool declarationsChanged = m_routes.version == 0 || table.services != m_routes.services;
    m_routes = std::move(table);
    if (!declarationsChanged)
        return true;
    for (auto const& [address, records] : m_byAddress) {
        if (records.size() > 1)
            resolveAddress(address);
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
    m_byToken[record.token].push_back(&record);
    resolveToken(record.token);
    m_byService[record.entry.service].push_back(&record);
    addToAddress(record);
}

void UpstreamDirectory::updateRecord(UpstreamRecord& record, UpstreamEntry entry)
{
    bool isRestarted = entry.incarnation > record.entry.incarnation;
    if (entry.service != record.entry.service) {
        std::erase(m_byService[record.entry.service], &record);
        m_byService[entry.service].push_back(&record);
    }
    bool hasMoved = entry.upstream.address != record.entry.upstream.address;
    if (hasMoved)
        removeFromAddress(record);
    record.entry = std::move(entry);
    record.slowStartEnd = m_clock.now() + record.entry.slowStartRemaining;
    record.isRegistered = true;
    resolveToken(record.token);
    if (isRestarted && m_hooks.restarted)
        m_hooks.restarted(record);
    if (hasMoved)
        addToAddress(record);
    else
        resolveAddress(record.entry.upstream.address);
    listIfRegistered(record);
}

void UpstreamDirectory::resolveToken(RoutingToken token)
{
    auto& records = m_byToken.at(token);
    std::ranges::sort(records, {}, [](auto const* record) {
        return std::pair { record->entry.incarnation, record->entry.upstream.id };
    });
    for (auto* record : records)
        record->hasTokenCollision = record != records.front();
}

void UpstreamDirectory::removeFromToken(UpstreamRecord& record)
{
    auto position = m_byToken.find(record.token);
    auto& records = position->second;
    records.erase(std::ranges::find(records, &record));
    if (records.empty())
        m_byToken.erase(position);
    else
        resolveToken(record.token);
}

void UpstreamDirectory::addToAddress(UpstreamRecord& record)
{
    auto const& address = record.entry.upstream.address;
    m_byAddress[address].push_back(&record);
    resolveAddress(address);
}

void UpstreamDirectory::removeFromAddress(UpstreamRecord& record)
{
    auto position = m_byAddress.find(record.entry.upstream.address);
    auto& records = position->second;
    records.erase(std::ranges::find(records, &record));
    if (records.empty())
        m_byAddress.erase(position);
    else
        resolveAddress(record.entry.upstream.address);
}

void UpstreamDirectory::resolveAddress(Core::Endpoint const& address)
{
    auto const& records = m_byAddress.at(address);
    // An entry of an undeclared service must not abort the flows of the upstream at the same address.
    auto holdingIncarnation = Core::Incarnation {};
    for (auto const* record : records) {
        if (isDeclared(record->entry.service))
            holdingIncarnation = std::max(holdingIncarnation, record->entry.incarnation);
    }
    for (auto* record : records)
        setSuperseded(*record, record->entry.incarnation < holdingIncarnation);
}

void UpstreamDirectory::setSuperseded(UpstreamRecord& record, bool isSuperseded)
{
    if (std::exchange(record.isSuperseded, isSuperseded) == isSuperseded)
        return;
    if (isSuperseded)
        unlist(record);
    else
        listIfRegistered(record);
}

void UpstreamDirectory::listIfRegistered(UpstreamRecord& record)
{
    if (record.isListed || !record.isRegistered || record.isSuperseded)
        return;
    record.isListed = true;
    if (m_hooks.listedAgain)
        m_hooks.listedAgain(record);
}

bool UpstreamDirectory::removeUpstream(Core::UpstreamId id, Core::Revision revision)
{
    auto record = m_records.find(id);
    if (record == m_records.end() || revision <= record->second->entry.revision)
        return false;
    record->second->entry.revision = revision;
    record->second->isRegistered = false;
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
        if (!record->isRegistered && m_clock.now() - record->unlistedSince > m_options.retention)
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
    removeFromToken(*pointer);
    removeFromAddress(*pointer);
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
    auto records = m_byToken.find(token);
    return records == m_byToken.end() ? nullptr : records->second.front();
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
    return slowStartRemaining(record) > std::chrono::milliseconds { 0 };
}

std::chrono::milliseconds UpstreamDirectory::slowStartRemaining(UpstreamRecord const& record) const
{
    auto end = record.slowStartEnd;
    auto returned = m_zoneReturnTimes.find(record.entry.upstream.zone);
    if (returned != m_zoneReturnTimes.end())
        end = std::max(end, returned->second + m_options.zoneReturnSlowStart);
    auto remaining = std::max(end - m_clock.now(), Core::TimePoint::duration { 0 });
    return std::chrono::ceil<std::chrono::milliseconds>(remaining);
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
