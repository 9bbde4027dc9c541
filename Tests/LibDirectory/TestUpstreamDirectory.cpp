#include <LibDirectory/Directory.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

Core::ServiceId const RegisterService = Directory::serviceId("register");
Core::ZoneId const ZoneA { 1 };

Directory::UpstreamEntry makeEntry(std::uint64_t id, std::uint64_t revision, std::string const& address = {})
{
    Directory::UpstreamEntry entry;
    entry.upstream.id = Core::UpstreamId { id };
    entry.upstream.name = "u" + std::to_string(id);
    entry.upstream.address = *Core::Endpoint::parse(address.empty() ? "10.0.0." + std::to_string(id) + ":80" : address);
    entry.upstream.zone = ZoneA;
    entry.service = RegisterService;
    entry.incarnation = Core::Incarnation { revision };
    entry.revision = Core::Revision { revision };
    return entry;
}

Directory::UpstreamEntry makeEntryOf(
    std::uint64_t incarnation, Core::Revision revision, Model::UpstreamState state = Model::UpstreamState::Active)
{
    auto entry = makeEntry(1, revision.value());
    entry.incarnation = Core::Incarnation { incarnation };
    entry.revision = revision;
    entry.upstream.state = state;
    return entry;
}

/// What a restored store lists for an upstream that was known, and whether it gets new flows then.
struct RestoredEntryCase {
    char const* name;
    std::uint64_t knownIncarnation;
    Model::UpstreamState knownState;
    bool wasRemoved;
    std::uint64_t listedIncarnation;
    Model::UpstreamState listedState;
    bool acceptsNewFlows;
};

std::ostream& operator<<(std::ostream& stream, RestoredEntryCase const& testCase) { return stream << testCase.name; }

constexpr auto Active = Model::UpstreamState::Active;
constexpr auto Draining = Model::UpstreamState::Draining;
RestoredEntryCase const RestoredEntryCases[] {
    { "drained after the copy was made", 7, Draining, false, 7, Active, false },
    { "drained and left after the copy was made", 7, Draining, true, 7, Active, false },
    { "drained before the copy was made", 7, Draining, false, 7, Draining, false },
    { "lapsed after the copy was made", 7, Active, true, 7, Active, true },
    { "restarted after the copy was made", 8, Active, false, 7, Draining, true },
    { "restarted while the store was away", 7, Draining, false, 8, Active, true },
    { "incarnation unknown", 0, Draining, false, 0, Active, false },
};

/// Orders in which the routes (r), the upstream's entry (u) and another writer's entry for its address (f) arrive.
char const* const Arrivals[] { "ruf", "rfu", "urf", "ufr", "fru", "fur" };

std::pair<std::uint64_t, std::uint64_t> idsWithEqualTokens()
{
    // Among 2^20 tokens of 32 bits, about 128 pairs are expected to be equal.
    static constexpr std::uint64_t MaximumId = 1U << 20U;
    std::map<Directory::RoutingToken, std::uint64_t> ids;
    for (std::uint64_t id = 1; id < MaximumId; ++id) {
        auto [known, isNew] = ids.emplace(Directory::routingToken(Core::UpstreamId { id }), id);
        if (!isNew)
            return { known->second, id };
    }
    BOOST_FAIL("no two IDs have the same token");
    return {};
}

struct Fixture {
    Core::ManualClock clock;
    std::vector<std::string> events;
    Directory::UpstreamDirectory directory { clock, { .zoneReturnSlowStart = 2s },
        { .restarted = [this](auto const& record) { events.push_back("restarted " + record.entry.upstream.name); },
            .unlisted = [this](auto const& record) { events.push_back("unlisted " + record.entry.upstream.name); },
            .listedAgain = [this](auto const& record) { events.push_back("listed " + record.entry.upstream.name); } } };

    /// Applies routes that declare only the register service.
    void declareRegisterService(std::uint64_t version)
    {
        Directory::RouteTable table;
        table.version = version;
        table.services.emplace(RegisterService, Directory::ServiceLimits {});
        directory.applyRoutes(table);
    }

    bool acceptsNewFlows(std::uint64_t id)
    {
        return directory.acceptsNewFlows(*directory.find(Core::UpstreamId { id }));
    }
    bool isInSlowStart(std::uint64_t id) { return directory.isInSlowStart(*directory.find(Core::UpstreamId { id })); }
};

}

BOOST_FIXTURE_TEST_SUITE(UpstreamDirectory, Fixture)

BOOST_AUTO_TEST_CASE(OlderRevisionIsIgnored)
{
    // Guards against a delayed, older entry that cancels a drain.
    auto draining = makeEntry(1, 5);
    draining.upstream.state = Model::UpstreamState::Draining;
    BOOST_TEST(directory.applyUpstream(draining));
    BOOST_TEST(!directory.applyUpstream(makeEntry(1, 4)));
    BOOST_TEST(!acceptsNewFlows(1));
    BOOST_TEST(!directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 5 }));
    BOOST_TEST(events.empty());
}

BOOST_DATA_TEST_CASE(RestoredEntryDoesNotUndoWhatIsKnown, boost::unit_test::data::make(RestoredEntryCases), testCase)
{
    // Guards against opens to an upstream that drains or has left, because a store that was restored from a copy lists
    // it as it was before.
    Core::Epoch former { 1 };
    Core::Epoch restored { 2 };
    directory.applyUpstream(makeEntryOf(testCase.knownIncarnation, Core::Revision { 40, former }, testCase.knownState));
    if (testCase.wasRemoved)
        directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 41, former });
    directory.applyUpstream(
        makeEntryOf(testCase.listedIncarnation, Core::Revision { 30, restored }, testCase.listedState));
    BOOST_TEST(acceptsNewFlows(1) == testCase.acceptsNewFlows);
    // What the upstream writes after the restore is in force in any case.
    directory.applyUpstream(makeEntryOf(testCase.listedIncarnation, Core::Revision { 31, restored }));
    BOOST_TEST(acceptsNewFlows(1));
}

BOOST_AUTO_TEST_CASE(RestoredEntryOfAFormerProcessIsNoRestart)
{
    // Guards against resets of an upstream's open flows when it restarted under its ID after the copy was made, and
    // writes its entry again after the restore.
    directory.applyUpstream(makeEntryOf(7, Core::Revision { 30, Core::Epoch { 1 } }));
    directory.applyUpstream(makeEntryOf(8, Core::Revision { 40, Core::Epoch { 1 } }));
    BOOST_TEST(events == std::vector<std::string> { "restarted u1" }, boost::test_tools::per_element());
    events.clear();
    directory.applyUpstream(makeEntryOf(7, Core::Revision { 30, Core::Epoch { 2 } }));
    directory.applyUpstream(makeEntryOf(8, Core::Revision { 31, Core::Epoch { 2 } }));
    BOOST_TEST(events.empty());
}

BOOST_AUTO_TEST_CASE(OlderRouteVersionIsIgnored)
{
    // Guards against reverting to an older configuration.
    Directory::RouteTable table;
    table.version = 7;
    BOOST_TEST(directory.applyRoutes(table));
    table.version = 6;
    BOOST_TEST(!directory.applyRoutes(table));
    BOOST_TEST(directory.version() == 7U);
}

BOOST_AUTO_TEST_CASE(RemovedUpstreamKeepsItsToken)
{
    // Guards against losing flows of an upstream whose entry expired while the store was unavailable.
    directory.applyUpstream(makeEntry(1, 1));
    auto token = directory.find(Core::UpstreamId { 1 })->token;
    directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 2 });
    BOOST_TEST(!acceptsNewFlows(1));
    BOOST_REQUIRE(directory.findByToken(token));
    directory.applyUpstream(makeEntry(1, 3));
    BOOST_TEST(acceptsNewFlows(1));
    BOOST_TEST(events.back() == "listed u1");
}

BOOST_AUTO_TEST_CASE(ReusedAddressSupersedesThePreviousUpstream)
{
    // Guards against sending packets for a previous upstream to an address that now belongs to another service.
    directory.applyUpstream(makeEntry(1, 1));
    auto other = makeEntry(2, 2, "10.0.0.1:80");
    other.service = Directory::serviceId("packs");
    directory.applyUpstream(other);
    auto const& former = *directory.find(Core::UpstreamId { 1 });
    BOOST_TEST(former.isSuperseded);
    BOOST_TEST(!former.isListed);
    BOOST_TEST(acceptsNewFlows(2));
    BOOST_TEST(events.back() == "unlisted u1");
}

BOOST_AUTO_TEST_CASE(LateEntryOfAnEarlierProcessDoesNotTakeTheAddress)
{
    // Guards against giving an address to the wrong process when entries arrive out of order.
    directory.applyUpstream(makeEntry(2, 2, "10.0.0.1:80"));
    directory.applyUpstream(makeEntry(1, 1));
    BOOST_TEST(acceptsNewFlows(2));
    BOOST_TEST(!acceptsNewFlows(1));
}

BOOST_AUTO_TEST_CASE(EntryOfAnUndeclaredServiceDoesNotTakeAnAddress)
{
    // Guards against an entry of an undeclared service that aborts the flows of the upstream at the same address.
    Directory::RouteTable table;
    table.version = 1;
    table.services.emplace(RegisterService, Directory::ServiceLimits {});
    directory.applyRoutes(table);
    directory.applyUpstream(makeEntry(1, 1));
    auto foreign = makeEntry(2, 2, "10.0.0.1:80");
    foreign.service = Directory::serviceId("packs");
    directory.applyUpstream(foreign);
    BOOST_TEST(acceptsNewFlows(1));
    BOOST_TEST(!acceptsNewFlows(2));
    BOOST_TEST(events.empty());

    // Once a later version declares the service, the address belongs to the process that started last.
    table.version = 2;
    table.services.emplace(foreign.service, Directory::ServiceLimits {});
    directory.applyRoutes(table);
    BOOST_TEST(!acceptsNewFlows(1));
    BOOST_TEST(acceptsNewFlows(2));
}

BOOST_DATA_TEST_CASE(AddressBelongsToTheSameUpstreamInAnyOrder,
    boost::unit_test::data::make(Arrivals) * boost::unit_test::data::make({ false, true }), arrivals, isForeignRemoved)
{
    // Guards against a balancer that resets the flows of a living upstream, and avoids it for good, because an entry of
    // an undeclared service arrived before the routes.
    auto foreign = makeEntry(2, 2, "10.0.0.1:80");
    foreign.service = Directory::serviceId("packs");
    for (char arrival : std::string_view { arrivals }) {
        if (arrival == 'r')
            declareRegisterService(1);
        else
            directory.applyUpstream(arrival == 'f' ? foreign : makeEntry(1, 1));
    }
    if (isForeignRemoved)
        directory.removeUpstream(Core::UpstreamId { 2 }, Core::Revision { 3 });
    BOOST_TEST(acceptsNewFlows(1));
    BOOST_TEST(!directory.find(Core::UpstreamId { 1 })->isSuperseded);
    BOOST_TEST(!acceptsNewFlows(2));
    // The upstream's next entry and its removal find it as usual.
    clock.advance(200s);
    directory.sweep();
    directory.applyUpstream(makeEntryOf(1, Core::Revision { 4 }));
    BOOST_TEST(acceptsNewFlows(1));
    directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 5 });
    BOOST_TEST(events.back() == "unlisted u1");
}

BOOST_AUTO_TEST_CASE(ServiceThatIsNoLongerDeclaredHoldsNoAddress)
{
    // Guards against avoiding a living upstream for good, after the routes have withdrawn the service of the entry that
    // superseded it.
    Directory::RouteTable table;
    table.version = 1;
    table.services.emplace(RegisterService, Directory::ServiceLimits {});
    auto foreign = makeEntry(2, 2, "10.0.0.1:80");
    foreign.service = Directory::serviceId("packs");
    table.services.emplace(foreign.service, Directory::ServiceLimits {});
    directory.applyRoutes(table);
    directory.applyUpstream(makeEntry(1, 1));
    directory.applyUpstream(foreign);
    BOOST_TEST(!acceptsNewFlows(1));
    declareRegisterService(2);
    BOOST_TEST(acceptsNewFlows(1));
    BOOST_TEST(events.back() == "listed u1");
}

BOOST_AUTO_TEST_CASE(SupersededUpstreamThatMovesLeavesTheAddressToItsHolder)
{
    // Guards against packets for a former upstream at an address that was reused once more.
    directory.applyUpstream(makeEntry(1, 1));
    directory.applyUpstream(makeEntry(2, 2, "10.0.0.1:80"));
    directory.applyUpstream(makeEntry(1, 3, "10.0.0.9:80"));
    BOOST_TEST(acceptsNewFlows(1));
    directory.applyUpstream(makeEntry(3, 4, "10.0.0.1:80"));
    BOOST_TEST(directory.find(Core::UpstreamId { 2 })->isSuperseded);
    BOOST_TEST(acceptsNewFlows(3));
}

BOOST_AUTO_TEST_CASE(SupersededUpstreamWithAnEntryOutlivesItsSuccessor)
{
    // Guards against avoiding a living upstream for good, after another writer's entry for its address was removed.
    directory.applyUpstream(makeEntry(1, 1));
    directory.applyUpstream(makeEntry(2, 2, "10.0.0.1:80"));
    directory.removeUpstream(Core::UpstreamId { 2 }, Core::Revision { 3 });
    // The process at the address has ended if the later one was real, so its end proves nothing about the former.
    BOOST_TEST(!acceptsNewFlows(1));
    clock.advance(121s);
    directory.sweep();
    BOOST_TEST(!directory.find(Core::UpstreamId { 2 }));
    BOOST_REQUIRE(directory.find(Core::UpstreamId { 1 }));
    BOOST_TEST(acceptsNewFlows(1));
}

BOOST_AUTO_TEST_CASE(UpdateOfTheHolderIsNoNewConflict)
{
    // Guards against listing a former upstream for a moment with each report of its successor.
    directory.applyUpstream(makeEntry(1, 1));
    auto successor = makeEntry(2, 2, "10.0.0.1:80");
    directory.applyUpstream(successor);
    events.clear();
    successor.upstream.state = Draining;
    successor.revision = Core::Revision { 3 };
    directory.applyUpstream(successor);
    BOOST_TEST(events.empty());
    BOOST_TEST(!acceptsNewFlows(1));
}

BOOST_AUTO_TEST_CASE(EqualStartTimesSupersedeNothing)
{
    // Guards against resets of a living upstream's flows because of a copy of its entry under another key.
    directory.applyUpstream(makeEntry(1, 1));
    auto copy = makeEntry(2, 2, "10.0.0.1:80");
    copy.incarnation = Core::Incarnation { 1 };
    directory.applyUpstream(copy);
    BOOST_TEST(acceptsNewFlows(1));
    BOOST_TEST(events.empty());
}

BOOST_DATA_TEST_CASE(
    CollidingTokenBelongsToTheSameUpstreamInAnyOrder, boost::unit_test::data::make({ false, true }), isLaterFirst)
{
    // Guards against balancers that send packets with the same token to different upstreams, because the entries
    // reached them in different order.
    auto [earlierId, laterId] = idsWithEqualTokens();
    auto earlier = makeEntry(earlierId, 1, "10.0.0.1:80");
    auto later = makeEntry(laterId, 2, "10.0.0.2:80");
    directory.applyUpstream(isLaterFirst ? later : earlier);
    directory.applyUpstream(isLaterFirst ? earlier : later);
    auto token = Directory::routingToken(Core::UpstreamId { earlierId });
    BOOST_REQUIRE(directory.findByToken(token));
    BOOST_TEST(directory.findByToken(token)->entry.upstream.id.value() == earlierId);
    BOOST_TEST(acceptsNewFlows(earlierId));
    BOOST_TEST(!acceptsNewFlows(laterId));

    // Once the earlier one is forgotten, the later one can be used.
    directory.removeUpstream(Core::UpstreamId { earlierId }, Core::Revision { 3 });
    BOOST_TEST(!acceptsNewFlows(laterId));
    clock.advance(121s);
    directory.sweep();
    BOOST_REQUIRE(directory.findByToken(token));
    BOOST_TEST(directory.findByToken(token)->entry.upstream.id.value() == laterId);
    BOOST_TEST(acceptsNewFlows(laterId));
}

BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdIsReported)
{
    // Guards against keeping flows of a process that has ended.
    directory.applyUpstream(makeEntry(1, 1));
    directory.applyUpstream(makeEntry(1, 2));
    BOOST_TEST(events.back() == "restarted u1");
}

BOOST_AUTO_TEST_CASE(SlowStartCountsDownFromReceipt)
{
    // Guards against sending full load to an upstream that has just started.
    auto starting = makeEntry(1, 1);
    starting.slowStartRemaining = 1500ms;
    directory.applyUpstream(starting);
    BOOST_TEST(isInSlowStart(1));
    clock.advance(1499ms);
    BOOST_TEST(isInSlowStart(1));
    clock.advance(1ms);
    BOOST_TEST(!isInSlowStart(1));
}

BOOST_AUTO_TEST_CASE(ReturningZoneIsInSlowStart)
{
    // Guards against sending full load to upstreams that restarted while their zone was out of service.
    directory.applyUpstream(makeEntry(1, 1));
    directory.setZoneOutOfService(ZoneA, true);
    BOOST_TEST(!acceptsNewFlows(1));
    directory.setZoneOutOfService(ZoneA, false);
    BOOST_TEST(acceptsNewFlows(1));
    BOOST_TEST(isInSlowStart(1));
    clock.advance(2s);
    BOOST_TEST(!isInSlowStart(1));
}

BOOST_AUTO_TEST_CASE(UnlistedRecordsAreRemoved)
{
    // Guards against memory use that grows with each replaced upstream.
    directory.applyUpstream(makeEntry(1, 1));
    directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 2 });
    clock.advance(121s);
    directory.sweep();
    BOOST_TEST(directory.upstreamCount() == 0U);
    BOOST_TEST(directory.upstreamsOf(RegisterService).empty());
}

BOOST_AUTO_TEST_CASE(SplitFollowsTheWeights)
{
    // Guards against sending a service more than its share of the flows.
    auto other = Directory::serviceId("packs");
    Directory::Route route { "r", {}, { { RegisterService, 90 }, { other, 10 } } };
    std::size_t packsFlows = 0;
    for (std::uint64_t hash = 0; hash < 1000; ++hash)
        packsFlows += route.serviceFor(hash) == other ? 1 : 0;
    BOOST_TEST(packsFlows == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
