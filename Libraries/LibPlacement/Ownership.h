#pragma once

#include <LibPlacement/MemberView.h>

#include <cstddef>

namespace Chicorytally::Placement {

/// Owner and backup of a bucket group: the first two members by rendezvous hash that are alive or suspect.
struct Ownership {
    Core::VmId owner;
    Core::VmId backup;

    /// `self` is left out when it is leaving. An empty view means that `self` is alone.
    static Ownership of(MemberView const&, Core::VmId self, bool isSelfLeaving, Core::ServiceId, std::size_t group);
};

}
