#include <LibMembership/Membership.h>

#include <boost/test/unit_test.hpp>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Membership::Controller;

BOOST_AUTO_TEST_SUITE(TestMembershipController)

static Core::Endpoint const SeedEndpoint { *Core::IpAddress::parse("10.0.0.2"), 700 };
static Core::VmId const PeerVm { 2 };
static Core::Incarnation const PeerIncarnation { 3 };

static Membership::Options makeOptions()
{
    Membership::Options options;
    options.self = Core::VmId { 1 };
    options.zone = Core::ZoneId { 1 };
    options.endpoint = { *Core::IpAddress::parse("10.0.0.1"), 700 };
    options.incarnation = Core::Incarnation { 5 };
    options.seeds = { SeedEndpoint };
    return options;
}

static Messages::MemberUpdate makeUpdate(
    Core::VmId vm, Core::Incarnation incarnation, Messages::MemberState::type state)
{
    Messages::MemberUpdate update;
    update.vm = static_cast<std::int64_t>(vm.value());
    update.incarnation = static_cast<std::int64_t>(incarnation.value());
    update.state = state;
    update.__set_zone(1);
    update.__set_address(std::string(16, '\2'));
    update.__set_port(700);
    return update;
}

/// Returns the sequence of the first ping among the messages.
static std::optional<std::int64_t> findPingSequence(std::vector<Membership::OutgoingMessage> const& messages)
{
    for (auto const& outgoing : messages) {
        if (outgoing.message.__isset.ping)
            return outgoing.message.ping.sequence;
    }
    return std::nullopt;
}

static void deliverAck(Controller& controller, std::int64_t sequence, std::uint64_t confirmed,
    std::vector<Messages::MemberUpdate> const& updates)
{
    Messages::Ack acknowledgement;
    acknowledgement.sequence = sequence;
    acknowledgement.__set_confirmedIncarnation(static_cast<std::int64_t>(confirmed));
    acknowledgement.__set_updates(updates);
    Messages::MembershipMessage message;
    message.__set_ack(acknowledgement);
    controller.receive(PeerVm, PeerIncarnation, message, SeedEndpoint);
}

static Messages::MemberUpdate makeAlivePeerUpdate()
{
    return makeUpdate(PeerVm, PeerIncarnation, Messages::MemberState::Alive);
}

BOOST_AUTO_TEST_CASE(OnlyAnAckAfterThePauseConfirms)
{
    // Guards against a resumed process that accepts an ack to a ping from before its pause as a confirmation.
    Core::ManualClock clock;
    Controller controller { clock, makeOptions(), {} };
    BOOST_TEST(!controller.isConfirmed());
    auto before = findPingSequence(controller.tick());
    BOOST_TEST_REQUIRE(before.has_value());
    deliverAck(controller, *before, 5, { makeAlivePeerUpdate() });
    BOOST_TEST(controller.isConfirmed());

    clock.advance(2100ms);
    BOOST_TEST(!controller.isConfirmed());
    auto after = findPingSequence(controller.tick());
    BOOST_TEST(!controller.isConfirmed());
    deliverAck(controller, *before, 5, {});
    BOOST_TEST(!controller.isConfirmed());
    BOOST_TEST_REQUIRE(after.has_value());
    deliverAck(controller, *after, 4, {});
    BOOST_TEST(!controller.isConfirmed());
    deliverAck(controller, *after, 5, {});
    BOOST_TEST(controller.isConfirmed());
}

BOOST_AUTO_TEST_CASE(PauseCausesNoSuspicion)
{
    // Guards against a resumed process that suspects a member because the pause kept it from receiving the ack in time.
    Core::ManualClock clock;
    Controller controller { clock, makeOptions(), {} };
    deliverAck(controller, *findPingSequence(controller.tick()), 5, { makeAlivePeerUpdate() });
    for (int i = 0; i < 6; ++i) {
        clock.advance(100ms);
        controller.tick();
    }
    clock.advance(2100ms);
    controller.tick();
    BOOST_TEST_REQUIRE(controller.members().size() == 2U);
    BOOST_TEST((controller.members()[1].state == Membership::MemberState::Alive));
}

BOOST_AUTO_TEST_CASE(DeclaredDeathIsAnsweredByAGreaterIncarnation)
{
    // Guards against a process that keeps using an incarnation that was declared dead.
    Core::ManualClock clock;
    std::vector<std::uint64_t> adoptedIncarnations;
    Membership::Hooks hooks { .incarnationChanged
        = [&](Core::Incarnation incarnation) { adoptedIncarnations.push_back(incarnation.value()); } };
    Controller controller { clock, makeOptions(), hooks };
    auto dead = makeUpdate(Core::VmId { 1 }, Core::Incarnation { 5 }, Messages::MemberState::Dead);
    auto sequence = *findPingSequence(controller.tick());
    deliverAck(controller, sequence, 0, { makeAlivePeerUpdate(), dead });
    BOOST_TEST(!controller.isConfirmed());
    controller.tick();
    BOOST_TEST((adoptedIncarnations == std::vector<std::uint64_t> { 6 }));
    BOOST_TEST((controller.incarnation() == Core::Incarnation { 6 }));
    // A repeated update has no effect.
    deliverAck(controller, sequence, 0, { dead });
    controller.tick();
    BOOST_TEST(adoptedIncarnations.size() == 1U);
}

BOOST_AUTO_TEST_CASE(SuspicionIsRefutedWithinTheIncarnation)
{
    // Guards against a refutation by a greater incarnation, which makes a lost message look like a restarted process.
    Core::ManualClock clock;
    Controller controller { clock, makeOptions(), {} };
    auto suspect = makeUpdate(Core::VmId { 1 }, Core::Incarnation { 5 }, Messages::MemberState::Suspect);
    deliverAck(controller, *findPingSequence(controller.tick()), 5, { makeAlivePeerUpdate(), suspect });
    clock.advance(100ms);
    bool isRefuted = false;
    for (auto const& outgoing : controller.tick()) {
        if (!outgoing.message.__isset.ping)
            continue;
        for (auto const& update : outgoing.message.ping.updates)
            isRefuted |= update.vm == 1 && update.state == Messages::MemberState::Alive && update.refutation == 1;
    }
    BOOST_TEST(isRefuted);
    BOOST_TEST((controller.incarnation() == Core::Incarnation { 5 }));
}

BOOST_AUTO_TEST_CASE(IsolatedProcessIsConfirmed)
{
    // Guards against an isolated process that waits forever for a confirmation that no member can give.
    Core::ManualClock clock;
    Controller controller { clock, makeOptions(), {} };
    for (int i = 0; i < 29; ++i) {
        controller.tick();
        clock.advance(100ms);
    }
    BOOST_TEST(!controller.isConfirmed());
    for (int i = 0; i < 3; ++i) {
        controller.tick();
        clock.advance(100ms);
    }
    BOOST_TEST(controller.isConfirmed());
}

BOOST_AUTO_TEST_SUITE_END()
