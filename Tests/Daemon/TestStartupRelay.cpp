#include <chicorytallyd/ControlLoop.h>
#include <chicorytallyd/StartupRelay.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using Membership::MemberState;

BOOST_AUTO_TEST_SUITE(TestStartupRelay)

static Membership::Member memberOf(std::uint64_t vm, MemberState state)
{
    Membership::Member member;
    member.vm = Core::VmId { vm };
    member.state = state;
    return member;
}

static std::vector<Membership::Member> const Members {
    memberOf(1, MemberState::Alive),
    memberOf(2, MemberState::Suspect),
    memberOf(3, MemberState::Alive),
    memberOf(4, MemberState::Leaving),
    memberOf(5, MemberState::Unreachable),
    memberOf(6, MemberState::Dead),
};

BOOST_AUTO_TEST_CASE(StartingBalancerHandsPacketsToALiveMember)
{
    // Guards against a starting balancer that places flows by its own, empty view, and against loops between two.
    Daemon::StartupRelay relay { Core::VmId { 1 } };
    Placement::PacketInfo packet;
    BOOST_TEST((relay.decide(packet).verdict == Placement::Verdict::Drop));
    relay.applyMembers(Members);
    auto decision = relay.decide(packet);
    BOOST_TEST((decision.verdict == Placement::Verdict::ForwardToPeer));
    BOOST_TEST(decision.peer.value() == 3u);
    packet.hopCount = 1;
    BOOST_TEST((relay.decide(packet).verdict == Placement::Verdict::Drop));
}

BOOST_AUTO_TEST_CASE(EachPartSeesTheMembersThatConcernIt)
{
    // Guards against a dead member that owns buckets, and against a share that grows on suspicion alone.
    BOOST_TEST(Daemon::toMemberView(Members).members.size() == 5u);
    BOOST_TEST(Daemon::toPeers(Members).size() == 4u);
    auto loadMembers = Daemon::toLoadMembers(Members);
    BOOST_REQUIRE(loadMembers.size() == 6u);
    BOOST_TEST((loadMembers[1].status == Load::MemberStatus::Alive));
    BOOST_TEST((loadMembers[3].status == Load::MemberStatus::Left));
    BOOST_TEST((loadMembers[4].status == Load::MemberStatus::Unreachable));
    BOOST_TEST((loadMembers[5].status == Load::MemberStatus::Gone));
}

BOOST_AUTO_TEST_SUITE_END()
