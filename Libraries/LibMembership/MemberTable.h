#pragma once

#include <LibCore/Core.h>
#include <LibMembership/Member.h>
#include <LibMessages/Messages.h>

#include <absl/container/btree_map.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Membership {

/// What one incarnation of a member is known to be, in the order in which a later one replaces an earlier one.
enum class IncarnationState : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// What others say about the death of a member that this process still counts as alive.
enum class DeathReport : std::uint8_t {
    None,
    Dead,
    ConfirmedDead,
};

struct MemberEntry {
    Core::VmId vm;
    Core::Endpoint endpoint;
    std::uint16_t dataPort { 0 };
    Core::ZoneId zone;
    Core::Incarnation incarnation;
    std::uint32_t refutation { 0 };
    IncarnationState incarnationState { IncarnationState::Alive };
    bool isConfirmedDead { false };
    /// This process itself found the member silent and probes it until it answers.
    bool isLocallySuspected { false };
    DeathReport deathReport { DeathReport::None };
    Core::Revision revision;
    /// When the suspicion began; set for a suspect, and for a leaving member that is silent.
    std::optional<Core::TimePoint> suspectSince;
    Core::TimePoint changedAt;
    /// When the platform's list last held the VM.
    std::optional<Core::TimePoint> listedAt;

    bool isReachable() const { return incarnationState != IncarnationState::Dead; }
};

enum class MergeOutcome : std::uint8_t {
    Ignored,
    /// The update says what is known.
    AlreadyKnown,
    Changed,
    /// Others declared a member dead that this process counts as alive: it should be probed, and told by the probe.
    Disputed,
};

/// The other members and the rule by which updates replace each other. Not thread-safe.
class MemberTable {
public:
    using Entries = absl::btree_map<Core::VmId, MemberEntry>;
    static constexpr std::size_t GroupCount = 32;
    using GroupDigests = std::array<std::uint32_t, GroupCount>;

    MemberEntry const* find(Core::VmId) const;
    Entries const& entries() const { return m_entries; }

    /// An update replaces a lower incarnation, and within an incarnation an alive or suspect state with fewer
    /// refutations. Leaving and dead end an incarnation. The death of a member that counts as alive is never taken from
    /// hearsay: this process probes it and waits the suspicion timeout by itself. Otherwise two parts of a healed
    /// partition would count their own living members as dead for a while.
    MergeOutcome merge(Messages::MemberUpdate const&, Core::TimePoint now);

    void markSuspect(Core::VmId, Core::TimePoint now);
    /// Starts the suspicion timeouts again, after a pause of this process.
    void restartSuspicions(Core::TimePoint now);
    void clearLeavingSuspicion(Core::VmId);
    void declareDead(Core::VmId, Core::TimePoint now);
    void confirmDead(Core::VmId, Core::TimePoint now);
    void markListed(Core::VmId, Core::TimePoint now);
    /// True when the revision is new.
    bool recordRevision(Core::VmId, Core::Revision);
    void erase(Core::VmId);

    /// Hash over the reachable members and their incarnations, by group of VM ids.
    GroupDigests const& groupDigests() const { return m_groupDigests; }
    static std::size_t groupOf(Core::VmId);
    static std::uint32_t digestOf(Core::VmId, Core::Incarnation, bool isLeaving);

private:
    MemberEntry* findMutable(Core::VmId);
    /// Adds the entry's share to the digest, or takes it out; both are the same operation.
    void toggleDigest(MemberEntry const&);
    static MergeOutcome recordDeathReport(MemberEntry&, bool isConfirmedDead);

    Entries m_entries;
    GroupDigests m_groupDigests {};
};

/// The update that describes an entry.
Messages::MemberUpdate toUpdate(MemberEntry const&);
std::string toBytes(Core::IpAddress const&);
MemberState toMemberState(MemberEntry const&);

}
