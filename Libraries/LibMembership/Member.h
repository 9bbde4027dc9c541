#pragma once

#include <LibCore/Core.h>

#include <cstdint>
#include <string_view>

namespace Chicorytally::Membership {

enum class MemberState : std::uint8_t {
    Alive,
    /// A probe failed; the member has the suspicion timeout to refute it and still counts as a member.
    Suspect,
    /// Announced its own departure; still forwards packets.
    Leaving,
    /// The suspicion timeout passed, but the VM may still serve on the other side of a partition.
    Unreachable,
    /// Unreachable, and either it had announced its departure or the platform no longer lists its VM.
    Dead,
};

std::string_view toString(MemberState);

/// A balancer as this process sees it.
struct Member {
    Core::VmId vm;
    /// Where it receives peer messages.
    Core::Endpoint endpoint;
    /// Where it receives peer hops; the port is 0 when unknown.
    Core::Endpoint dataEndpoint;
    Core::ZoneId zone;
    Core::Incarnation incarnation;
    MemberState state { MemberState::Alive };
    /// Newest configuration revision known to be in force there; learnt from direct messages only.
    Core::Revision revision;
};

/// An entry of the platform's list of VMs, which lags.
struct PlatformVm {
    Core::VmId vm;
    Core::Endpoint endpoint;
    bool isLeaving { false };
};

}
