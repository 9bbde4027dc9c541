#include "StartupRelay.h"

namespace Chicorytally::Daemon {

void StartupRelay::applyMembers(std::vector<Membership::Member> const& members)
{
    absl::MutexLock lock { &m_lock };
    m_peers.clear();
    for (auto const& member : members) {
        if (member.vm != m_self && member.state == Membership::MemberState::Alive)
            m_peers.push_back(member.vm);
    }
}

Placement::Decision StartupRelay::decide(Placement::PacketInfo const& packet) const
{
    Placement::Decision dropped { .verdict = Placement::Verdict::Drop, .reason = Placement::Reason::NotSynchronised };
    if (packet.hopCount > 0)
        return dropped;
    absl::MutexLock lock { &m_lock };
    if (m_peers.empty())
        return dropped;
    // All packets of a flow take the same way, so that they stay in order.
    auto index = packet.flow.hash(m_self.value()).low % m_peers.size();
    return { .verdict = Placement::Verdict::ForwardToPeer,
        .reason = Placement::Reason::NotSynchronised,
        .peer = m_peers[index] };
}

}
