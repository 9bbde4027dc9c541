#include <LibDirectory/Directory.h>

#include <boost/test/unit_test.hpp>

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

struct Fixture {
    Core::ManualClock clock;
    std::vector<std::string> events;
    Directory::UpstreamDirectory directory { clock, { .zoneReturnSlowStart = 2s },
        { .restarted = [this](auto const& record) { events.push_back("restarted " + record.entry.upstream.name); },
            .unlisted = [this](auto const& record) { events.push_back("unlisted " + record.entry.upstream.name); },
            .listedAgain = [this](auto const& record) { events.push_back("listed " + record.entry.upstream.name); } } };

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
    // Guards against a late answer that takes a drain back.
    auto draining = makeEntry(1, 5);
    draining.upstream.state = Model::UpstreamState::Draining;
    BOOST_TEST(directory.applyUpstream(draining));
    BOOST_TEST(!directory.applyUpstream(makeEntry(1, 4)));
    BOOST_TEST(!acceptsNewFlows(1));
    BOOST_TEST(!directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 5 }));
    BOOST_TEST(events.empty());
}

BOOST_AUTO_TEST_CASE(OlderRouteVersionIsIgnored)
{
    // Guards against a configuration that reverts.
    Directory::RouteTable table;
    table.version = 7;
    BOOST_TEST(directory.applyRoutes(table));
    table.version = 6;
    BOOST_TEST(!directory.applyRoutes(table));
    BOOST_TEST(directory.version() == 7U);
}

BOOST_AUTO_TEST_CASE(RemovedUpstreamKeepsItsToken)
{
    // Guards against flows of an upstream whose entry lapsed while the store was away.
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
    // Guards against packets for an upstream whose address belongs to another service now.
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
    // Guards against entries that arrive in another order than they were written in.
    directory.applyUpstream(makeEntry(2, 2, "10.0.0.1:80"));
    directory.applyUpstream(makeEntry(1, 1));
    BOOST_TEST(acceptsNewFlows(2));
    BOOST_TEST(!acceptsNewFlows(1));
}

BOOST_AUTO_TEST_CASE(EntryOfAnUndeclaredServiceDoesNotTakeAnAddress)
{
    // Guards against a foreign entry that ends the flows of the upstream whose address it names.
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

    // A later version may declare the service; the address then belongs to the process that started last.
    table.version = 2;
    table.services.emplace(foreign.service, Directory::ServiceLimits {});
    directory.applyRoutes(table);
    BOOST_TEST(!acceptsNewFlows(1));
    BOOST_TEST(acceptsNewFlows(2));
}

BOOST_AUTO_TEST_CASE(RestartUnderTheSameIdIsReported)
{
    // Guards against flows that wait for a process that has ended.
    directory.applyUpstream(makeEntry(1, 1));
    directory.applyUpstream(makeEntry(1, 2));
    BOOST_TEST(events.back() == "restarted u1");
}

BOOST_AUTO_TEST_CASE(SlowStartCountsDownFromReceipt)
{
    // Guards against full load on an upstream that has just started.
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
    // Guards against full load on upstreams that turned starting while their zone was out.
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
    // Guards against memory that grows with each replaced upstream.
    directory.applyUpstream(makeEntry(1, 1));
    directory.removeUpstream(Core::UpstreamId { 1 }, Core::Revision { 2 });
    clock.advance(121s);
    directory.sweep();
    BOOST_TEST(directory.upstreamCount() == 0U);
    BOOST_TEST(directory.upstreamsOf(RegisterService).empty());
}

BOOST_AUTO_TEST_CASE(SplitFollowsTheWeights)
{
    // Guards against a route that sends a service more than its share.
    auto other = Directory::serviceId("packs");
    Directory::Route route { "r", {}, { { RegisterService, 90 }, { other, 10 } } };
    std::size_t packsFlows = 0;
    for (std::uint64_t hash = 0; hash < 1000; ++hash)
        packsFlows += route.serviceFor(hash) == other ? 1 : 0;
    BOOST_TEST(packsFlows == 100U);
}

BOOST_AUTO_TEST_SUITE_END()
