#pragma once

#include <LibCore/Core.h>

#include <vector>

namespace Chicorytally::Placement {

enum class MemberStatus : std::uint8_t {
    Alive,
    /// Not heard from recently; still a member.
    Suspect,
    /// Is handing over its buckets and owns none.
    Leaving,
    /// Unreachable but not confirmed gone: may still be serving on the other side of a partition.
    Unreachable,
};

struct Member {
    Core::VmId vm;
    Core::Incarnation incarnation;
    Core::ZoneId zone;
    MemberStatus status { MemberStatus::Alive };
    /// Newest configuration revision that is known to be in force at the member.
    Core::Revision revision;
};

/// The balancers of the fleet as known to one of them, itself included. Sorted by VM id.
struct MemberView {
    std::vector<Member> members;
};

}
