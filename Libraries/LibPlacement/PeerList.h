#pragma once

#include <LibPlacement/MemberView.h>

#include <map>
#include <vector>

namespace Chicorytally::Placement {

/// The other members, also those that departed a short while ago. Not thread-safe.
class PeerList {
public:
    struct Peer {
        Member member;
        Core::TimePoint joinedAt;
        bool isPresent { false };
        Core::TimePoint leftAt;
    };

    /// Members that are new or have a new incarnation.
    std::vector<Core::VmId> update(MemberView const&, Core::VmId self, Core::TimePoint now);

    /// In the view and not unreachable.
    bool isReachable(Core::VmId) const;
    bool isPresent(Core::VmId) const;
    bool isAnyUnreachable() const;
    /// A departed member may still forward until its process notices the pause or ends; see PauseLimit.
    bool mayForward(Peer const&, Core::TimePoint now) const;
    std::map<Core::VmId, Peer> const& peers() const { return m_peers; }
    MemberView const& view() const { return m_view; }

private:
    std::map<Core::VmId, Peer> m_peers;
    MemberView m_view;
};

}
