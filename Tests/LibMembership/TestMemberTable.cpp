#include <LibMembership/MemberTable.h>
#include <LibMembership/ProbeOrder.h>
#include <LibMembership/UpdateQueue.h>

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <set>

using namespace Chicorytally;
using namespace Chicorytally::Membership;

BOOST_AUTO_TEST_SUITE(TestMemberTable)

static Messages::MemberUpdate makeUpdate(
    std::uint64_t vm, std::uint64_t incarnation, Messages::MemberState::type state, int refutation)
{
    Messages::MemberUpdate update;
    update.vm = static_cast<std::int64_t>(vm);
    update.incarnation = static_cast<std::int64_t>(incarnation);
    update.state = state;
    update.__set_refutation(refutation);
    update.__set_address(std::string(16, '\1'));
    update.__set_port(7);
    return update;
}

static Core::TimePoint const StartTime { std::chrono::hours { 1 } };

BOOST_AUTO_TEST_CASE(UpdatesAreMonotonic)
{
    // Guards against a sequence of delayed and repeated updates that returns a member to an earlier state.
    rc::detail::TestMetadata metadata;
    metadata.id = "UpdatesAreMonotonic";
    auto property = [] {
        MemberTable table;
        auto count = *rc::gen::inRange(1, 40);
        for (int i = 0; i < count; ++i) {
            auto state = static_cast<Messages::MemberState::type>(*rc::gen::inRange(1, 5));
            auto update
                = makeUpdate(1, static_cast<std::uint64_t>(*rc::gen::inRange(1, 4)), state, *rc::gen::inRange(0, 4));
            std::optional<MemberEntry> before;
            if (auto const* entry = table.find(Core::VmId { 1 }))
                before = *entry;
            table.merge(update, StartTime);
            auto const& after = *table.find(Core::VmId { 1 });
            if (!before)
                continue;
            RC_ASSERT(after.incarnation >= before->incarnation);
            if (after.incarnation != before->incarnation)
                continue;
            RC_ASSERT(after.refutation >= before->refutation || after.incarnationState >= IncarnationState::Leaving);
            RC_ASSERT(before->incarnationState < IncarnationState::Leaving
                || after.incarnationState >= before->incarnationState);
            // A merged update alone never makes a member dead within its incarnation.
            RC_ASSERT(
                after.incarnationState != IncarnationState::Dead || before->incarnationState == IncarnationState::Dead);
        }
    };
    rc::detail::TestParams parameters;
    parameters.seed = 4711;
    parameters.maxSuccess = 300;
    auto result = rc::detail::checkTestable(property, metadata, parameters);
    BOOST_TEST(result.template is<rc::detail::SuccessResult>());
}

BOOST_AUTO_TEST_CASE(DigestDependsOnTheReachableMembers)
{
    // Guards against equal lists with different digests, which would synchronise forever, and against different lists
    // with equal digests.
    MemberTable first;
    MemberTable second;
    for (std::uint64_t vm = 1; vm <= 50; ++vm) {
        first.merge(makeUpdate(vm, 1, Messages::MemberState::Alive, 0), StartTime);
        second.merge(makeUpdate(51 - vm, 1, Messages::MemberState::Alive, 0), StartTime);
    }
    BOOST_TEST(first.groupDigests() == second.groupDigests());
    first.merge(makeUpdate(3, 1, Messages::MemberState::Suspect, 0), StartTime);
    BOOST_TEST(first.groupDigests() == second.groupDigests());
    first.declareDead(Core::VmId { 3 }, StartTime);
    BOOST_TEST(first.groupDigests() != second.groupDigests());
    second.erase(Core::VmId { 3 });
    BOOST_TEST(first.groupDigests() == second.groupDigests());
    second.merge(makeUpdate(4, 2, Messages::MemberState::Alive, 0), StartTime);
    BOOST_TEST(first.groupDigests() != second.groupDigests());
}

BOOST_AUTO_TEST_CASE(RoundVisitsEachMemberOnce)
{
    // Guards against a member that a random choice doesn't probe for a long time.
    ProbeOrder order { 5 };
    std::vector<Core::VmId> members;
    for (std::uint64_t vm = 1; vm <= 20; ++vm)
        members.emplace_back(vm);
    order.assign(members);
    for (int i = 0; i < 7; ++i)
        order.next();
    // A change in the middle of a round keeps the ranks.
    order.assign(members);
    for (int round = 0; round < 3; ++round) {
        std::set<Core::VmId> visited;
        for (std::size_t i = 0; i < 2 * members.size(); ++i)
            visited.insert(*order.next());
        BOOST_TEST(visited.size() == members.size());
    }
    order.assign({});
    BOOST_TEST(!order.next().has_value());
}

BOOST_AUTO_TEST_CASE(UpdateIsSentABoundedNumberOfTimes)
{
    // Guards against updates that are sent forever, and against a new update that waits behind old ones.
    UpdateQueue queue;
    for (std::uint64_t vm = 1; vm <= 8; ++vm)
        queue.add(Core::VmId { vm });
    std::size_t taken = 0;
    queue.take(8, 3);
    taken += 8;
    queue.add(Core::VmId { 9 });
    BOOST_TEST((queue.take(1, 3).front() == Core::VmId { 9 }));
    ++taken;
    while (queue.size() > 0)
        taken += queue.take(5, 3).size();
    BOOST_TEST(taken == 9U * 3U);
}

BOOST_AUTO_TEST_SUITE_END()
