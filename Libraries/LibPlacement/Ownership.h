#pragma once

#include <LibPlacement/MemberView.h>

#include <cstddef>

namespace Chicorytally::Placement {

/// Owner and backup of a bucket group: the two members with the highest rendezvous hashes among those that are alive or
/// suspect.
struct Ownership {
    Core::VmId owner;
    Core::VmId backup;

    /// `self` is excluded while it is leaving. With an empty view, `self` is the only member.
    static Ownership of(MemberView const&, Core::VmId self, bool isSelfLeaving, Core::ServiceId, std::size_t group);
};

}
