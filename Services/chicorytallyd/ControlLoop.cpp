#include "ControlLoop.h"

namespace Chicorytally::Daemon {

using Membership::MemberState;

static constexpr std::chrono::milliseconds TickInterval { 100 };

static Placement::MemberStatus toMemberStatus(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return Placement::MemberStatus::Alive;
    case MemberState::Suspect:
        return Placement::MemberStatus::Suspect;
    case MemberState::Leaving:
        return Placement::MemberStatus::Leaving;
    case MemberState::Unreachable:
    case MemberState::Dead:
        break;
    }
    return Placement::MemberStatus::Unreachable;
}

Placement::MemberView toMemberView(std::vector<Membership::Member> const& members)
{
    Placement::MemberView view;
    for (auto const& member : members) {
        if (member.state == MemberState::Dead)
            continue;
        view.members.push_back(
            { member.vm, member.incarnation, member.zone, toMemberStatus(member.state), member.revision });
    }
    return view;
}

static Load::MemberStatus toLoadStatus(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
    case MemberState::Suspect:
        return Load::MemberStatus::Alive;
    case MemberState::Leaving:
        return Load::MemberStatus::Left;
    case MemberState::Unreachable:
        return Load::MemberStatus::Unreachable;
    case MemberState::Dead:
        break;
    }
    return Load::MemberStatus::Gone;
}

std::vector<Load::LoadMember> toLoadMembers(std::vector<Membership::Member> const& members)
{
    std::vector<Load::LoadMember> loadMembers;
    loadMembers.reserve(members.size());
    for (auto const& member : members)
        loadMembers.push_back({ member.vm, toLoadStatus(member.state), member.incarnation });
    return loadMembers;
}

DataPath::PeerTable toPeerTable(std::vector<Membership::Member> const& members)
{
    DataPath::PeerTable table;
    for (auto const& member : members) {
        if (member.dataEndpoint.port)
            table.emplace(member.vm, member.dataEndpoint);
    }
    return table;
}

std::vector<Distribution::Peer> toPeers(std::vector<Membership::Member> const& members)
{
    std::vector<Distribution::Peer> peers;
    for (auto const& member : members) {
        if (member.state == MemberState::Dead || member.state == MemberState::Unreachable)
            continue;
        peers.push_back({ member.vm, member.zone, member.state == MemberState::Alive });
    }
    return peers;
}

ControlLoop::ControlLoop(Core::Clock const& clock, Controllers controllers, std::unique_ptr<PeerChannel> channel,
    std::function<void()> membersKnown)
    : m_clock(clock)
    , m_controllers(std::move(controllers))
    , m_channel(std::move(channel))
    , m_membersKnown(std::move(membersKnown))
{
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::start()
{
    m_thread = std::thread { [this] { run(); } };
}

void ControlLoop::stop()
{
    m_isStopping = true;
    if (m_thread.joinable())
        m_thread.join();
}

void ControlLoop::run()
{
    auto nextTick = m_clock.now();
    auto handler = [this](Messages::Envelope const& envelope, Core::Endpoint const& from) { dispatch(envelope, from); };
    while (!m_isStopping) {
        auto remaining = std::chrono::ceil<std::chrono::milliseconds>(nextTick - m_clock.now());
        m_channel->receive(std::max(remaining, std::chrono::milliseconds { 0 }), m_wakeEvent, handler);
        if (m_clock.now() >= nextTick) {
            tick();
            nextTick = m_clock.now() + TickInterval;
        } else if (m_controllers.engine.hasUrgentMessages()) {
            queuePlacement();
        }
        // Answers to probes must not wait for the next tick, as the prober measures their delay.
        queueMembership();
        m_channel->flush();
    }
}

void ControlLoop::applyMembers()
{
    auto members = m_controllers.membership.members();
    // First, so that a decision for a new peer finds its endpoint.
    m_controllers.applyPeers(members);
    m_controllers.engine.applyMembers(toMemberView(members));
    m_controllers.load.applyMembers(toLoadMembers(members));
    m_controllers.distribution.applyMembers(toPeers(members));
}

void ControlLoop::tick()
{
    m_controllers.membership.setRevision(m_controllers.distribution.revision());
    queueMembership();
    if (m_areMembersChanged.exchange(false))
        applyMembers();
    // Without shares of the limits, the process would refuse the opens of the buckets that it owned.
    if (!m_areMembersKnown && m_controllers.membership.isConfirmed() && m_controllers.load.isReady()) {
        m_areMembersKnown = true;
        m_membersKnown();
    }

    for (auto const& outgoing : m_controllers.distribution.tick()) {
        Messages::PeerMessage message;
        message.__set_distribution(outgoing.message);
        queueTo(outgoing.receiver, std::move(message));
    }
    queuePlacement();
    for (auto const& outgoing : m_controllers.load.tick()) {
        Messages::PeerMessage message;
        message.__set_load(outgoing.message);
        queueTo(outgoing.receiver, std::move(message));
    }
    m_controllers.probes.run(m_controllers.load.probesDue());
}

void ControlLoop::queueMembership()
{
    for (auto const& outgoing : m_controllers.membership.tick()) {
        Messages::PeerMessage message;
        message.__set_membership(outgoing.message);
        m_channel->queue(outgoing.receiverEndpoint, std::move(message));
    }
}

void ControlLoop::queuePlacement()
{
    for (auto const& outgoing : m_controllers.engine.tick()) {
        Messages::PeerMessage message;
        message.__set_placement(outgoing.message);
        queueTo(outgoing.receiver, std::move(message));
    }
}

void ControlLoop::queueTo(Core::VmId receiver, Messages::PeerMessage message)
{
    if (auto endpoint = m_controllers.membership.endpointOf(receiver))
        m_channel->queue(*endpoint, std::move(message));
}

void ControlLoop::dispatch(Messages::Envelope const& envelope, Core::Endpoint const& from)
{
    Core::VmId sender { static_cast<std::uint64_t>(envelope.sender) };
    Core::Incarnation incarnation { static_cast<std::uint64_t>(envelope.incarnation) };
    for (auto const& message : envelope.messages) {
        if (message.__isset.membership)
            m_controllers.membership.receive(sender, incarnation, message.membership, from);
        if (message.__isset.placement)
            m_controllers.engine.receive(sender, message.placement);
        if (message.__isset.distribution)
            m_controllers.distribution.receive(sender, message.distribution);
        if (message.__isset.load)
            m_controllers.load.receive(sender, message.load);
    }
}

}
