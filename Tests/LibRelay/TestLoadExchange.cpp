#include "LoadExchangeScenario.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <limits>

using namespace Chicorytally;
using namespace std::chrono_literals;

namespace {

struct Traffic {
    double meanSent { 0 };
    double busiest { 0 };
    double middle { 0 };
    /// Mean number of observations a second and node that were new to the receiver.
    double entries { 0 };
    double messages { 0 };
};

std::vector<Relay::LoadExchangeCounters> countersOf(LoadExchangeFleet const& fleet)
{
    std::vector<Relay::LoadExchangeCounters> counters;
    for (auto const& node : fleet.nodes)
        counters.push_back(node.exchange->counters());
    return counters;
}

/// Bytes a second and node; busiest and middle count sent and received ones.
Traffic measureTraffic(LoadExchangeFleet& fleet, std::chrono::seconds time)
{
    auto before = countersOf(fleet);
    fleet.run(time);
    auto after = countersOf(fleet);
    Traffic traffic;
    std::vector<double> bytes;
    auto seconds = static_cast<double>(time.count());
    for (std::size_t node = 0; node < before.size(); ++node) {
        auto sent = static_cast<double>(after[node].bytesSent - before[node].bytesSent) / seconds;
        auto received = static_cast<double>(after[node].bytesReceived - before[node].bytesReceived) / seconds;
        traffic.meanSent += sent / static_cast<double>(before.size());
        bytes.push_back(sent + received);
        auto nodeSeconds = seconds * static_cast<double>(before.size());
        traffic.entries
            += static_cast<double>(after[node].entriesReceived - before[node].entriesReceived) / nodeSeconds;
        traffic.messages += static_cast<double>(after[node].messagesSent - before[node].messagesSent) / nodeSeconds;
    }
    std::ranges::sort(bytes);
    traffic.busiest = bytes.back();
    traffic.middle = bytes[bytes.size() / 2];
    return traffic;
}

struct Size {
    std::size_t balancers;
    /// docs/hard-load.md, section 3.4; interpolated for 83.
    double maximumBytesPerSecond;
};

std::ostream& operator<<(std::ostream& stream, Size const& size) { return stream << size.balancers; }

constexpr double Loss = 0.05;
std::uint64_t const RandomSeeds[] = { 1, 2, 3 };
Size const Sizes[] = { { 37, 1000 }, { 83, 1350 }, { 300, 3000 } };

}

namespace {

/// An exchange whose messages are written down.
struct Single {
    Core::ManualClock clock;
    std::vector<std::pair<Core::Endpoint, Messages::LoadReports>> sent;
    std::vector<Load::LoadReport> received;
    Load::LoadReport own;
    Relay::LoadExchange exchange { clock,
        { .self = LoadExchangeFleet::reporter(0),
            .address = LoadExchangeFleet::address(0),
            .incarnation = Core::Incarnation { 1'790'000'000'000 },
            .seeds = { LoadExchangeFleet::address(0), LoadExchangeFleet::address(1) } },
        { .send =
                [this](auto const& to, auto const& message) {
                    sent.emplace_back(to, message);
                    return std::size_t { 100 };
                },
            .makeReport = [this](auto) { return own; },
            .reportReceived = [this](auto const& report) { received.push_back(report); } } };

    void receive(Messages::LoadReports const& message)
    {
        exchange.receive(LoadExchangeFleet::address(2), message, 100);
    }

    void run(std::chrono::milliseconds time)
    {
        for (auto end = clock.now() + time; clock.now() < end; clock.advance(50ms))
            exchange.tick();
    }
};

Messages::LoadReports messageWith(std::vector<Relay::LoadRecord> const& records)
{
    Relay::LoadReportWriter writer { 1000 };
    for (auto const& record : records)
        writer.add(record);
    Messages::LoadReports message;
    message.__set_recordVersion(Relay::LoadRecordVersion);
    message.__set_records(writer.bytes());
    return message;
}

}

BOOST_AUTO_TEST_SUITE(LoadExchange)

BOOST_FIXTURE_TEST_CASE(RecordsAreDeliveredOnceAndNeverToTheirReporter, Single)
{
    // Guards against counting an observation twice, and against a balancer that takes its own load for that of others.
    auto message = messageWith(
        { { Core::VmId { 5 }, 3, observation(Marked) }, { Core::VmId { 5 }, 3, observation(Core::UpstreamId { 2 }) },
            { Core::VmId { 6 }, 3, observation(Marked) }, { LoadExchangeFleet::reporter(0), 3, observation(Marked) } });
    receive(message);
    receive(message);
    receive(messageWith({ { Core::VmId { 5 }, 2, observation(Marked) } }));
    BOOST_REQUIRE(received.size() == 2U);
    BOOST_CHECK(received[0].reporter == Core::VmId { 5 });
    BOOST_TEST(received[0].upstreams.size() == 2U);
    BOOST_CHECK(received[1].reporter == Core::VmId { 6 });
    BOOST_TEST(exchange.counters().entriesReceived == 3U);
    BOOST_TEST(exchange.counters().entriesOutdated == 4U);
    BOOST_TEST(exchange.counters().messagesRejected == 0U);
}

BOOST_FIXTURE_TEST_CASE(UnknownRecordVersionIsIgnored, Single)
{
    // Guards against misreading records of a later version, and against losing sight of its sender.
    auto later = messageWith({ { Core::VmId { 5 }, 3, observation(Marked) } });
    later.__set_recordVersion(Relay::LoadRecordVersion + 1);
    auto none = later;
    none.__isset.recordVersion = false;
    receive(later);
    receive(none);
    BOOST_TEST(received.empty());
    BOOST_TEST(exchange.counters().messagesOfOtherVersions == 2U);
    BOOST_TEST(exchange.counters().messagesRejected == 0U);
    BOOST_TEST(exchange.knownPeerCount() == 1U);
}

BOOST_FIXTURE_TEST_CASE(MalformedMessagesAreCounted, Single)
{
    // Guards against faults of a peer that nobody notices.
    auto truncated = messageWith({ { Core::VmId { 5 }, 3, observation(Marked) } });
    truncated.records.pop_back();
    Messages::LoadReports oddPeers;
    oddPeers.__set_peers("odd");
    receive(truncated);
    receive(oddPeers);
    receive({});
    BOOST_TEST(received.empty());
    BOOST_TEST(exchange.counters().messagesRejected == 2U);
    BOOST_TEST(exchange.counters().messagesReceived == 3U);
}

BOOST_FIXTURE_TEST_CASE(LargeReportIsCutOff, Single)
{
    // Guards against datagrams beyond the byte budget when the report has more entries than asked for.
    for (std::size_t index = 0; index < 1000; ++index)
        own.upstreams.push_back(observation(ordinaryUpstream(index)));
    receive({});
    run(2s);
    for (auto const& [to, message] : sent)
        BOOST_TEST(message.records.size() <= 288U);
    BOOST_TEST(exchange.counters().ownEntriesSent > 0U);
}

BOOST_FIXTURE_TEST_CASE(MisreportedFleetSizeIsBounded, Single)
{
    // Guards against a peer that lets the fleet send without limit.
    Messages::LoadReports message;
    message.__set_fleetSize(std::numeric_limits<std::int32_t>::max());
    receive(message);
    BOOST_TEST(exchange.byteBudget() <= 3000.0);
    message.__set_fleetSize(std::numeric_limits<std::int32_t>::min());
    receive(message);
    clock.advance(1h);
    BOOST_TEST(exchange.byteBudget() == 900.0);
}

BOOST_FIXTURE_TEST_CASE(ContactIsAnsweredOnce, Single)
{
    // Guards against two balancers that answer each other without end.
    Messages::LoadReports contact;
    contact.__set_wantsPeers(true);
    receive(contact);
    BOOST_REQUIRE(sent.size() == 1U);
    BOOST_CHECK(sent[0].first == LoadExchangeFleet::address(2));
    BOOST_TEST(!sent[0].second.__isset.wantsPeers);
    receive(sent[0].second);
    BOOST_TEST(sent.size() == 1U);
}

BOOST_DATA_TEST_CASE(FewObservationsReachAllWithinTwoSeconds,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against balancers that learn of a slow upstream only when they use it themselves.
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    Watch watch { fleet };
    fleet.run(15s);
    reportMarked(fleet, { 0, 7, 19 });
    fleet.run(2s);
    for (std::size_t reporter : { 0, 7, 19 })
        BOOST_TEST(watch.share(reporter) >= 0.99, "reporter " << reporter << ": " << watch.share(reporter));
}

BOOST_DATA_TEST_CASE(CommonObservationReachesAllInABusyFleet,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against news that get lost among the ordinary observations of a busy fleet.
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    Watch watch { fleet };
    reportMuch(fleet, [](auto) { return false; });
    fleet.run(15s);
    reportMuch(fleet, [](auto) { return true; });
    fleet.run(2s);
    BOOST_TEST(watch.shareOfAny() >= 0.99, watch.shareOfAny());
}

BOOST_DATA_TEST_CASE(ObservationOfOneReachesMostInABusyFleet,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against forwarding that doesn't spread an observation beyond the first receivers while all messages are
    // full.
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    Watch watch { fleet };
    reportMuch(fleet, [](auto) { return false; });
    fleet.run(15s);
    reportMuch(fleet, [](auto node) { return node == 7; });
    fleet.run(2s);
    BOOST_TEST(watch.share(7) >= 0.95, watch.share(7));
}

BOOST_DATA_TEST_CASE(BusyFleetStaysWithinItsBudget,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against control traffic that displaces packets of callers, and against seeds that carry that of the fleet.
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    reportMuch(fleet, [](auto) { return true; });
    fleet.run(30s);
    auto traffic = measureTraffic(fleet, 20s);
    BOOST_TEST_MESSAGE(size.balancers << " balancers, busy: " << traffic.meanSent << " B/s sent, middle "
                                      << traffic.middle << ", busiest " << traffic.busiest << ", " << traffic.messages
                                      << " messages and " << traffic.entries << " new entries/s");
    BOOST_TEST(traffic.meanSent <= size.maximumBytesPerSecond);
    BOOST_TEST(traffic.busiest <= 3 * traffic.middle);
}

BOOST_DATA_TEST_CASE(QuietFleetSendsLittle,
    boost::unit_test::data::make(Sizes) * boost::unit_test::data::make(RandomSeeds), size, randomSeed)
{
    // Guards against paying for bytes between zones while there is nothing to tell.
    constexpr double MaximumBytesPerSecond = 50;
    LoadExchangeFleet fleet { size.balancers, Loss, randomSeed };
    fleet.run(30s);
    auto traffic = measureTraffic(fleet, 300s);
    BOOST_TEST_MESSAGE(size.balancers << " balancers, quiet: " << traffic.meanSent << " B/s sent, middle "
                                      << traffic.middle << ", busiest " << traffic.busiest);
    BOOST_TEST(traffic.meanSent <= MaximumBytesPerSecond);
    BOOST_TEST(traffic.busiest <= 3 * traffic.middle);
}

BOOST_AUTO_TEST_SUITE_END()
