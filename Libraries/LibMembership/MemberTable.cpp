#include <LibMembership/MemberTable.h>

#include <algorithm>
#include <tuple>

namespace Chicorytally::Membership {

static std::optional<IncarnationState> fromWireState(Messages::MemberState::type state)
{
    switch (state) {
    case Messages::MemberState::Alive:
        return IncarnationState::Alive;
    case Messages::MemberState::Suspect:
        return IncarnationState::Suspect;
    case Messages::MemberState::Leaving:
        return IncarnationState::Leaving;
    case Messages::MemberState::Dead:
        return IncarnationState::Dead;
    }
    // The sender runs a newer version with a state that this one doesn't have.
    return std::nullopt;
}

static Messages::MemberState::type toWireState(IncarnationState incarnationState)
{
    switch (incarnationState) {
    case IncarnationState::Alive:
        return Messages::MemberState::Alive;
    case IncarnationState::Suspect:
        return Messages::MemberState::Suspect;
    case IncarnationState::Leaving:
        return Messages::MemberState::Leaving;
    case IncarnationState::Dead:
        return Messages::MemberState::Dead;
    }
    return Messages::MemberState::Dead;
}

std::string toBytes(Core::IpAddress const& address) { return { address.bytes().begin(), address.bytes().end() }; }

static std::optional<Core::IpAddress> addressFrom(std::string const& bytes)
{
    std::array<std::uint8_t, 16> copy {};
    if (bytes.size() != copy.size())
        return std::nullopt;
    std::copy(bytes.begin(), bytes.end(), copy.begin());
    return Core::IpAddress::fromV6(copy);
}

Messages::MemberUpdate toUpdate(MemberEntry const& entry)
{
    Messages::MemberUpdate update;
    update.vm = static_cast<std::int64_t>(entry.vm.value());
    update.incarnation = static_cast<std::int64_t>(entry.incarnation.value());
    update.state = toWireState(entry.incarnationState);
    if (entry.refutation > 0)
        update.__set_refutation(static_cast<std::int32_t>(entry.refutation));
    if (entry.isConfirmedDead)
        update.__set_confirmed(true);
    update.__set_zone(static_cast<std::int64_t>(entry.zone.value()));
    update.__set_address(toBytes(entry.endpoint.address));
    update.__set_port(entry.endpoint.port);
    if (entry.dataPort != 0)
        update.__set_dataPort(entry.dataPort);
    return update;
}

MemberState toMemberState(MemberEntry const& entry)
{
    switch (entry.incarnationState) {
    case IncarnationState::Alive:
        return MemberState::Alive;
    case IncarnationState::Suspect:
        return MemberState::Suspect;
    case IncarnationState::Leaving:
        return MemberState::Leaving;
    case IncarnationState::Dead:
        return entry.isConfirmedDead ? MemberState::Dead : MemberState::Unreachable;
    }
    return MemberState::Dead;
}

MemberEntry const* MemberTable::find(Core::VmId vm) const
{
    auto found = m_entries.find(vm);
    return found == m_entries.end() ? nullptr : &found->second;
}

MemberEntry* MemberTable::findMutable(Core::VmId vm)
{
    auto found = m_entries.find(vm);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::size_t MemberTable::groupOf(Core::VmId vm) { return Core::hashPair(vm.value(), 0) % GroupCount; }

std::uint32_t MemberTable::digestOf(Core::VmId vm, Core::Incarnation incarnation, bool isLeaving)
{
    return static_cast<std::uint32_t>(Core::hashPair(vm.value(), incarnation.value() * 2 + (isLeaving ? 1 : 0)));
}

void MemberTable::toggleDigest(MemberEntry const& entry)
{
    if (!entry.isReachable())
        return;
    m_groupDigests[groupOf(entry.vm)]
        ^= digestOf(entry.vm, entry.incarnation, entry.incarnationState == IncarnationState::Leaving);
}

static bool isNewer(Messages::MemberUpdate const& update, IncarnationState incarnationState, MemberEntry const& entry)
{
    auto rank = [](std::uint64_t incarnation, IncarnationState state, std::uint32_t refutation, bool isConfirmedDead) {
        // Alive and Suspect are ordered by refutation first.
        bool endsIncarnation = state >= IncarnationState::Leaving;
        return std::tuple { incarnation, endsIncarnation ? state : IncarnationState::Alive,
            endsIncarnation ? 0 : refutation, endsIncarnation ? IncarnationState::Alive : state, isConfirmedDead };
    };
    auto refutation = update.__isset.refutation ? static_cast<std::uint32_t>(update.refutation) : 0;
    bool isConfirmedDead = incarnationState == IncarnationState::Dead && update.__isset.confirmed && update.confirmed;
    return rank(static_cast<std::uint64_t>(update.incarnation), incarnationState, refutation, isConfirmedDead)
        > rank(entry.incarnation.value(), entry.incarnationState, entry.refutation, entry.isConfirmedDead);
}

MergeOutcome MemberTable::recordDeathReport(MemberEntry& entry, bool isConfirmedDead)
{
    auto deathReport = isConfirmedDead ? DeathReport::ConfirmedDead : DeathReport::Dead;
    if (entry.deathReport >= deathReport)
        return MergeOutcome::Ignored;
    entry.deathReport = deathReport;
    // A suspect is probed anyway before its timeout expires.
    return entry.suspectSince ? MergeOutcome::Ignored : MergeOutcome::Disputed;
}

/// Copies the zone, endpoint and data port of the update; fields that the update lacks keep their values.
static void applyLocation(MemberEntry& entry, Messages::MemberUpdate const& update)
{
    if (update.__isset.zone)
        entry.zone = Core::ZoneId { static_cast<std::uint64_t>(update.zone) };
    auto address = update.__isset.address ? addressFrom(update.address) : std::nullopt;
    if (address && update.__isset.port)
        entry.endpoint = { *address, static_cast<std::uint16_t>(update.port) };
    if (update.__isset.dataPort)
        entry.dataPort = static_cast<std::uint16_t>(update.dataPort);
}

MergeOutcome MemberTable::merge(Messages::MemberUpdate const& update, Core::TimePoint now)
{
    auto incarnationState = fromWireState(update.state);
    Core::VmId vm { static_cast<std::uint64_t>(update.vm) };
    Core::Incarnation incarnation { static_cast<std::uint64_t>(update.incarnation) };
    if (!incarnationState || !vm.isValid() || !incarnation.isValid())
        return MergeOutcome::Ignored;
    auto* entry = findMutable(vm);
    if (!entry && !(update.__isset.address && update.__isset.port))
        return MergeOutcome::Ignored;
    if (entry && !isNewer(update, *incarnationState, *entry)) {
        bool isKnown = entry->incarnation == incarnation && entry->incarnationState == *incarnationState;
        return isKnown ? MergeOutcome::AlreadyKnown : MergeOutcome::Ignored;
    }
    bool isConfirmedDead = *incarnationState == IncarnationState::Dead && update.__isset.confirmed && update.confirmed;
    bool isSameIncarnation = entry && entry->incarnation == incarnation;
    if (isSameIncarnation && *incarnationState == IncarnationState::Dead && entry->isReachable())
        return recordDeathReport(*entry, isConfirmedDead);

    if (!entry) {
        entry = &m_entries[vm];
        entry->vm = vm;
    } else {
        toggleDigest(*entry);
    }
    // A member that is already suspected keeps the start of its suspicion.
    bool remainsSuspect = isSameIncarnation && *incarnationState == IncarnationState::Suspect
        && entry->incarnationState == IncarnationState::Suspect;
    if (!remainsSuspect) {
        entry->suspectSince = std::nullopt;
        entry->isLocallySuspected = false;
        entry->deathReport = DeathReport::None;
        entry->changedAt = now;
        if (*incarnationState == IncarnationState::Suspect)
            entry->suspectSince = now;
    }
    if (!isSameIncarnation)
        entry->revision = {};
    entry->incarnation = incarnation;
    entry->refutation = update.__isset.refutation ? static_cast<std::uint32_t>(update.refutation) : 0;
    entry->incarnationState = *incarnationState;
    entry->isConfirmedDead = isConfirmedDead;
    applyLocation(*entry, update);
    toggleDigest(*entry);
    return MergeOutcome::Changed;
}

void MemberTable::markSuspect(Core::VmId vm, Core::TimePoint now)
{
    auto* entry = findMutable(vm);
    if (!entry || !entry->isReachable())
        return;
    entry->isLocallySuspected = true;
    if (!entry->suspectSince)
        entry->suspectSince = now;
    if (entry->incarnationState != IncarnationState::Alive)
        return;
    entry->incarnationState = IncarnationState::Suspect;
    entry->changedAt = now;
}

void MemberTable::restartSuspicions(Core::TimePoint now)
{
    for (auto& [vm, entry] : m_entries) {
        if (entry.suspectSince)
            entry.suspectSince = now;
    }
}

void MemberTable::clearLeavingSuspicion(Core::VmId vm)
{
    auto* entry = findMutable(vm);
    if (!entry || entry->incarnationState != IncarnationState::Leaving)
        return;
    entry->isLocallySuspected = false;
    entry->suspectSince = std::nullopt;
}

void MemberTable::declareDead(Core::VmId vm, Core::TimePoint now)
{
    auto* entry = findMutable(vm);
    if (!entry || !entry->isReachable())
        return;
    toggleDigest(*entry);
    entry->isConfirmedDead
        = entry->incarnationState == IncarnationState::Leaving || entry->deathReport == DeathReport::ConfirmedDead;
    entry->incarnationState = IncarnationState::Dead;
    entry->suspectSince = std::nullopt;
    entry->isLocallySuspected = false;
    entry->changedAt = now;
}

void MemberTable::confirmDead(Core::VmId vm, Core::TimePoint now)
{
    auto* entry = findMutable(vm);
    if (!entry || entry->isReachable())
        return;
    entry->isConfirmedDead = true;
    entry->changedAt = now;
}

void MemberTable::markListed(Core::VmId vm, Core::TimePoint now)
{
    if (auto* entry = findMutable(vm))
        entry->listedAt = now;
}

bool MemberTable::recordRevision(Core::VmId vm, Core::Revision revision)
{
    auto* entry = findMutable(vm);
    if (!entry || revision <= entry->revision)
        return false;
    entry->revision = revision;
    return true;
}

void MemberTable::erase(Core::VmId vm)
{
    auto* entry = findMutable(vm);
    if (!entry)
        return;
    toggleDigest(*entry);
    m_entries.erase(vm);
}

}
