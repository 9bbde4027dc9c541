#include <LibPlacement/PeerList.h>

#include <LibPlacement/Options.h>

#include <algorithm>

namespace Chicorytally::Placement {

std::vector<Core::VmId> PeerList::update(MemberView const& view, Core::VmId self, Core::TimePoint now)
{
    std::vector<Core::VmId> joinedOrRestarted;
    m_view = view;
    for (auto& [vm, peer] : m_peers) {
        auto isSame = [vm = vm](Member const& member) { return member.vm == vm; };
        if (peer.isPresent && std::ranges::none_of(view.members, isSame)) {
            peer.isPresent = false;
            peer.leftAt = now;
        }
    }
    for (auto const& member : view.members) {
        if (member.vm == self)
            continue;
        auto& peer = m_peers[member.vm];
        bool wasUnreachable = peer.member.status == MemberStatus::Unreachable;
        bool isBack = wasUnreachable && member.status != MemberStatus::Unreachable;
        if (!peer.isPresent || isBack || peer.member.incarnation != member.incarnation) {
            peer.joinedAt = now;
            joinedOrRestarted.push_back(member.vm);
        }
        peer.member = member;
        peer.isPresent = true;
    }
    return joinedOrRestarted;
}

bool PeerList::isPresent(Core::VmId vm) const
{
    auto position = m_peers.find(vm);
    return position != m_peers.end() && position->second.isPresent;
}

bool PeerList::isReachable(Core::VmId vm) const
{
    auto position = m_peers.find(vm);
    return position != m_peers.end() && position->second.isPresent
        && position->second.member.status != MemberStatus::Unreachable;
}

bool PeerList::isAnyUnreachable() const
{
    return std::ranges::any_of(
        m_view.members, [](Member const& member) { return member.status == MemberStatus::Unreachable; });
}

bool PeerList::mayForward(Peer const& peer, Core::TimePoint now) const
{
    if (peer.isPresent)
        return true;
    bool hasLeft = peer.member.status == MemberStatus::Leaving;
    return !hasLeft && now - peer.leftAt < AcknowledgementTimeout;
}

}
