#pragma once

#include <LibCore/Core.h>

#include <cstdint>
#include <string_view>

namespace Chicorytally::Membership {

enum class MemberState : std::uint8_t {
    Alive,
    /// A probe failed. The member can refute the suspicion until the suspicion timeout and still counts as a member.
    Suspect,
    /// Announced that it is about to stop; still forwards packets.
    Leaving,
    /// The suspicion timeout expired, but the VM may still serve on the other side of a partition.
    Unreachable,
    /// The suspicion timeout expired, and the member was leaving or the platform no longer lists its VM.
    Dead,
};

std::string_view toString(MemberState);

/// A balancer in the view of this process.
struct Member {
    Core::VmId vm;
    /// Address on which it receives peer messages.
    Core::Endpoint endpoint;
    /// Address on which it receives peer hops; the port is 0 if unknown.
    Core::Endpoint dataEndpoint;
    Core::ZoneId zone;
    Core::Incarnation incarnation;
    MemberState state { MemberState::Alive };
    /// Newest configuration revision known to be in force at the member; learned from direct messages only.
    Core::Revision revision;
};

/// An entry of the platform's list of VMs, which may be out of date.
struct PlatformVm {
    Core::VmId vm;
    Core::Endpoint endpoint;
    bool isLeaving { false };
};

}
