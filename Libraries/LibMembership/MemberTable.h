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

/// State of one incarnation of a member, in order of precedence: a later state overrides an earlier one, but Alive and
/// Suspect are ordered by refutation first.
enum class IncarnationState : std::uint8_t {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// Whether other members declared a member dead that is reachable for this process.
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
    /// A probe by this process failed. The process keeps probing the member while the suspicion lasts.
    bool isLocallySuspected { false };
    DeathReport deathReport { DeathReport::None };
    Core::Revision revision;
    /// Start of the suspicion; set for a suspect, and for a leaving member that doesn't answer probes.
    std::optional<Core::TimePoint> suspectSince;
    Core::TimePoint changedAt;
    /// When the VM was last seen in the platform's list.
    std::optional<Core::TimePoint> listedAt;

    bool isReachable() const { return incarnationState != IncarnationState::Dead; }
};

enum class MergeOutcome : std::uint8_t {
    Ignored,
    /// The entry already has the incarnation and state of the update.
    AlreadyKnown,
    Changed,
    /// Another member declared a member dead that is reachable for this process. It should be probed; the probe also
    /// tells it that it was declared dead.
    Disputed,
};

/// The other members, and the precedence of updates about them. Not thread-safe.
class MemberTable {
public:
    using Entries = absl::btree_map<Core::VmId, MemberEntry>;
    static constexpr std::size_t GroupCount = 32;
    using GroupDigests = std::array<std::uint32_t, GroupCount>;

    MemberEntry const* find(Core::VmId) const;
    Entries const& entries() const { return m_entries; }

    /// An update overrides a lower incarnation, and within an incarnation an alive or suspect state with fewer
    /// refutations. Leaving and dead end an incarnation. A reachable member never becomes dead because of an update for
    /// the same incarnation: this process probes it and waits for its own suspicion timeout. Otherwise, after a
    /// partition heals, members would count live members of their own part as dead for a while.
    MergeOutcome merge(Messages::MemberUpdate const&, Core::TimePoint now);

    void markSuspect(Core::VmId, Core::TimePoint now);
    /// Restarts all suspicion timeouts, after a pause of this process.
    void restartSuspicions(Core::TimePoint now);
    /// Ends the suspicion of a leaving member that answered. A suspect is cleared by a refutation instead.
    void clearLeavingSuspicion(Core::VmId);
    void declareDead(Core::VmId, Core::TimePoint now);
    void confirmDead(Core::VmId, Core::TimePoint now);
    void markListed(Core::VmId, Core::TimePoint now);
    /// Returns whether the revision is newer than the recorded one.
    bool recordRevision(Core::VmId, Core::Revision);
    void erase(Core::VmId);

    /// Hashes over the reachable members, their incarnations and whether they are leaving, one for each group of VM
    /// ids.
    GroupDigests const& groupDigests() const { return m_groupDigests; }
    static std::size_t groupOf(Core::VmId);
    static std::uint32_t digestOf(Core::VmId, Core::Incarnation, bool isLeaving);

private:
    MemberEntry* findMutable(Core::VmId);
    /// Adds the entry to the digest or removes it; the digest is an XOR, so both are the same operation.
    void toggleDigest(MemberEntry const&);
    static MergeOutcome recordDeathReport(MemberEntry&, bool isConfirmedDead);

    Entries m_entries;
    GroupDigests m_groupDigests {};
};

Messages::MemberUpdate toUpdate(MemberEntry const&);
std::string toBytes(Core::IpAddress const&);
MemberState toMemberState(MemberEntry const&);

}
