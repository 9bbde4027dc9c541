#include <LibMembership/MemberTable.h>

#include <algorithm>
#include <tuple>

namespace Chicorytally::Membership {

static std::optional<Condition> conditionOf(Messages::MemberState::type state)
{
    switch (state) {
    case Messages::MemberState::Alive:
        return Condition::Alive;
    case Messages::MemberState::Suspect:
        return Condition::Suspect;
    case Messages::MemberState::Leaving:
        return Condition::Leaving;
    case Messages::MemberState::Dead:
        return Condition::Dead;
    }
    // A state of a newer version.
    return std::nullopt;
}

static Messages::MemberState::type wireStateOf(Condition condition)
{
    switch (condition) {
    case Condition::Alive:
        return Messages::MemberState::Alive;
    case Condition::Suspect:
        return Messages::MemberState::Suspect;
    case Condition::Leaving:
        return Messages::MemberState::Leaving;
    case Condition::Dead:
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

Messages::MemberUpdate toUpdate(Entry const& entry)
{
    Messages::MemberUpdate update;
    update.vm = static_cast<std::int64_t>(entry.vm.value());
    update.incarnation = static_cast<std::int64_t>(entry.incarnation.value());
    update.state = wireStateOf(entry.condition);
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

MemberState stateOf(Entry const& entry)
{
    switch (entry.condition) {
    case Condition::Alive:
        return MemberState::Alive;
    case Condition::Suspect:
        return MemberState::Suspect;
    case Condition::Leaving:
        return MemberState::Leaving;
    case Condition::Dead:
        return entry.isConfirmedDead ? MemberState::Dead : MemberState::Unreachable;
    }
    return MemberState::Dead;
}

Entry const* MemberTable::find(Core::VmId vm) const
{
    auto found = m_entries.find(vm);
    return found == m_entries.end() ? nullptr : &found->second;
}

Entry* MemberTable::findMutable(Core::VmId vm)
{
    auto found = m_entries.find(vm);
    return found == m_entries.end() ? nullptr : &found->second;
}

std::size_t MemberTable::groupOf(Core::VmId vm) { return Core::hashPair(vm.value(), 0) % GroupCount; }

std::uint32_t MemberTable::digestOf(Core::VmId vm, Core::Incarnation incarnation, bool isLeaving)
{
    return static_cast<std::uint32_t>(Core::hashPair(vm.value(), incarnation.value() * 2 + (isLeaving ? 1 : 0)));
}

void MemberTable::toggleDigest(Entry const& entry)
{
    if (!entry.isReachable())
        return;
    m_groupDigests[groupOf(entry.vm)] ^= digestOf(entry.vm, entry.incarnation, entry.condition == Condition::Leaving);
}

static bool isNewer(Messages::MemberUpdate const& update, Condition condition, Entry const& entry)
{
    auto rank = [](std::uint64_t incarnation, Condition state, std::uint32_t refutation, bool isConfirmed) {
        // Within Alive and Suspect the refutation decides first.
        bool isEnded = state >= Condition::Leaving;
        return std::tuple { incarnation, isEnded ? state : Condition::Alive, isEnded ? 0 : refutation,
            isEnded ? Condition::Alive : state, isConfirmed };
    };
    auto refutation = update.__isset.refutation ? static_cast<std::uint32_t>(update.refutation) : 0;
    bool isConfirmed = condition == Condition::Dead && update.__isset.confirmed && update.confirmed;
    return rank(static_cast<std::uint64_t>(update.incarnation), condition, refutation, isConfirmed)
        > rank(entry.incarnation.value(), entry.condition, entry.refutation, entry.isConfirmedDead);
}

MergeOutcome MemberTable::dispute(Entry& entry, bool isConfirmed)
{
    auto hearsay = isConfirmed ? Hearsay::ConfirmedDead : Hearsay::Dead;
    if (entry.hearsay >= hearsay)
        return MergeOutcome::Ignored;
    entry.hearsay = hearsay;
    // A suspect is probed anyway before its timeout ends.
    return entry.suspectSince ? MergeOutcome::Ignored : MergeOutcome::Disputed;
}

/// Takes over what the update says about the place of the member; a partial update leaves the rest as it is.
static void applyPlace(Entry& entry, Messages::MemberUpdate const& update)
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
    auto condition = conditionOf(update.state);
    Core::VmId vm { static_cast<std::uint64_t>(update.vm) };
    Core::Incarnation incarnation { static_cast<std::uint64_t>(update.incarnation) };
    if (!condition || !vm.isValid() || !incarnation.isValid())
        return MergeOutcome::Ignored;
    auto* entry = findMutable(vm);
    if (!entry && !(update.__isset.address && update.__isset.port))
        return MergeOutcome::Ignored;
    if (entry && !isNewer(update, *condition, *entry)) {
        bool isKnown = entry->incarnation == incarnation && entry->condition == *condition;
        return isKnown ? MergeOutcome::Known : MergeOutcome::Ignored;
    }
    bool isConfirmed = *condition == Condition::Dead && update.__isset.confirmed && update.confirmed;
    bool isSameLife = entry && entry->incarnation == incarnation;
    if (isSameLife && *condition == Condition::Dead && entry->isReachable())
        return dispute(*entry, isConfirmed);

    if (!entry) {
        entry = &m_entries[vm];
        entry->vm = vm;
    } else {
        toggleDigest(*entry);
    }
    // A member that was already suspected keeps the time at which the suspicion began.
    bool staysSuspect = isSameLife && *condition == Condition::Suspect && entry->condition == Condition::Suspect;
    if (!staysSuspect) {
        entry->suspectSince = std::nullopt;
        entry->isAccused = false;
        entry->hearsay = Hearsay::None;
        entry->changedAt = now;
        if (*condition == Condition::Suspect)
            entry->suspectSince = now;
    }
    if (!isSameLife)
        entry->revision = {};
    entry->incarnation = incarnation;
    entry->refutation = update.__isset.refutation ? static_cast<std::uint32_t>(update.refutation) : 0;
    entry->condition = *condition;
    entry->isConfirmedDead = isConfirmed;
    applyPlace(*entry, update);
    toggleDigest(*entry);
    return MergeOutcome::Changed;
}

void MemberTable::suspect(Core::VmId vm, Core::TimePoint now)
{
    auto* entry = findMutable(vm);
    if (!entry || !entry->isReachable())
        return;
    entry->isAccused = true;
    if (!entry->suspectSince)
        entry->suspectSince = now;
    if (entry->condition != Condition::Alive)
        return;
    entry->condition = Condition::Suspect;
    entry->changedAt = now;
}

void MemberTable::restartSuspicions(Core::TimePoint now)
{
    for (auto& [vm, entry] : m_entries) {
        if (entry.suspectSince)
            entry.suspectSince = now;
    }
}

void MemberTable::clearSilence(Core::VmId vm)
{
    auto* entry = findMutable(vm);
    if (!entry || entry->condition != Condition::Leaving)
        return;
    entry->isAccused = false;
    entry->suspectSince = std::nullopt;
}

void MemberTable::declareDead(Core::VmId vm, Core::TimePoint now)
{
    auto* entry = findMutable(vm);
    if (!entry || !entry->isReachable())
        return;
    toggleDigest(*entry);
    entry->isConfirmedDead = entry->condition == Condition::Leaving || entry->hearsay == Hearsay::ConfirmedDead;
    entry->condition = Condition::Dead;
    entry->suspectSince = std::nullopt;
    entry->isAccused = false;
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

bool MemberTable::noteRevision(Core::VmId vm, Core::Revision revision)
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
