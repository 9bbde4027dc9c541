#pragma once

#include <LibPlacement/MemberView.h>

#include <map>
#include <vector>

namespace Chicorytally::Placement {

/// The other members, including those that have left. Not thread-safe.
class PeerList {
public:
    struct Peer {
        Member member;
        Core::TimePoint joinedAt;
        bool isPresent { false };
        Core::TimePoint leftAt;
    };

    /// Returns the members that are new, reachable again or have a new incarnation.
    std::vector<Core::VmId> update(MemberView const&, Core::VmId self, Core::TimePoint now);

    /// In the view and not unreachable.
    bool isReachable(Core::VmId) const;
    bool isPresent(Core::VmId) const;
    bool isAnyUnreachable() const;
    /// Whether the member may still be forwarding packets. One that left the view may do so until its process notices
    /// its pause or ends; see PauseLimit.
    bool mayForward(Peer const&, Core::TimePoint now) const;
    std::map<Core::VmId, Peer> const& peers() const { return m_peers; }
    MemberView const& view() const { return m_view; }

private:
    std::map<Core::VmId, Peer> m_peers;
    MemberView m_view;
};

}
