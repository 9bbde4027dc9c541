#pragma once

#include "PeerChannel.h"
#include "ProbeRunner.h"

#include <LibDataPath/DataPath.h>
#include <LibDistribution/Distribution.h>
#include <LibLoad/Load.h>
#include <LibMembership/Membership.h>
#include <LibPlacement/Placement.h>

#include <atomic>
#include <functional>
#include <thread>

namespace Chicorytally::Daemon {

/// The controllers that the control thread drives. They must outlive it.
struct Controllers {
    Membership::Controller& membership;
    Distribution::Controller& distribution;
    Placement::Engine& engine;
    Load::LoadController& load;
    ProbeRunner& probes;
    /// Takes the members for the packet path.
    std::function<void(std::vector<Membership::Member> const&)> applyPeers;
};

/// The control thread: carries messages between balancers and the controllers, and calls their ticks.
class ControlLoop {
public:
    /// The hook is called once, when the members are known: this process is confirmed by one of them, or none can be
    /// reached, and it has its shares of the limits. Before that, the placement engine must have no configuration, as
    /// it would take itself to be alone.
    ControlLoop(Core::Clock const&, Controllers, std::unique_ptr<PeerChannel>, std::function<void()> membersKnown);
    ControlLoop(ControlLoop const&) = delete;
    ControlLoop& operator=(ControlLoop const&) = delete;
    ~ControlLoop();

    void start();
    void stop();
    /// To be called when the member list or a member's state has changed; takes effect before the next tick.
    void noteMembersChanged() { m_areMembersChanged = true; }
    /// To be called on the control thread when this process took a greater incarnation: the messages of the tick that
    /// took it must carry it.
    void noteIncarnation(Core::Incarnation incarnation) { m_channel->setIncarnation(incarnation); }
    /// Ends the wait of the control thread; callable from any thread.
    void wake() { m_wakeEvent.notify(); }
    PeerChannelCounters const& counters() const { return m_channel->counters(); }

private:
    void run();
    void tick();
    void applyMembers();
    void dispatch(Messages::Envelope const&, Core::Endpoint const& from);
    void queueMembership();
    void queuePlacement();
    void queueTo(Core::VmId receiver, Messages::PeerMessage);

    Core::Clock const& m_clock;
    Controllers m_controllers;
    std::unique_ptr<PeerChannel> m_channel;
    std::function<void()> m_membersKnown;
    bool m_areMembersKnown { false };
    std::atomic<bool> m_areMembersChanged { true };
    WakeEvent m_wakeEvent;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/// The members as LibPlacement sees them; dead ones are left out.
Placement::MemberView toMemberView(std::vector<Membership::Member> const&);
/// The members as LibLoad sees them.
std::vector<Load::LoadMember> toLoadMembers(std::vector<Membership::Member> const&);
/// Where the members receive peer hops.
DataPath::PeerTable toPeerTable(std::vector<Membership::Member> const&);
/// The members that LibDistribution can reach.
std::vector<Distribution::Peer> toPeers(std::vector<Membership::Member> const&);

}
