#include <LibDistribution/Distribution.h>

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Distribution::BatchEncoding;
using Distribution::Item;
using Distribution::ItemBatch;

namespace {

constexpr std::size_t Followers = 118;
constexpr double RelayLinkBitsPerSecond = 200e6;

std::string const ConfigurationKey = "op/config";

/// A configuration as operators write it: one JSON object per route, with names and addresses that don't repeat.
std::string configuration(std::size_t routes, int timeout, std::uint64_t seed)
{
    std::mt19937_64 random { seed };
    auto name = [&random] {
        std::string text;
        for (int i = 0; i < 7; ++i)
            text += "0123456789abcdefghijklmnopqrstuvwxyz"[random() % 36];
        return text;
    };
    std::string text = R"({"version":7,"routes":[)";
    for (std::size_t i = 0; i < routes; ++i) {
        text += R"({"name":"r-)" + name() + R"(","host":"198.18.)" + std::to_string(i / 250) + "."
            + std::to_string(i % 250) + R"(","prefix":"/)" + std::to_string(1024 + random() % 60000)
            + R"(/","kind":"safe","timeout_ms":)" + std::to_string(timeout)
            + R"(,"slo_ms":500,"priority":2,"service":"huvo11a","max_attempts":2},)";
    }
    return text + "]}";
}

struct Fixture {
    Core::ManualClock clock;
    Messages::PeerKey key { *Messages::PeerKey::fromHex(std::string(64, 'a')) };
    Distribution::ItemReplica relay { [](Item const&) {} };
    Distribution::ReplicaFeed feed { clock, relay, [] { return 10ms; },
        [this] { return !allowance || !allowance->isOverdrawn(clock.now()); } };
    /// Limits the replies of the relay if set.
    std::optional<Distribution::TokenBucket> allowance;
    Distribution::ItemReplica follower { [this](Item const& item) { followerValue = *item.value; } };
    std::string followerValue;

    Fixture()
    {
        for (auto* replica : { &relay, &follower })
            replica->applyListing(
                { { ConfigurationKey, configuration(120, 4000, 1), Core::Revision { 5 } } }, Core::Revision { 5 });
    }

    void write(std::string const& value, std::uint64_t revision)
    {
        relay.apply({ ConfigurationKey, value, Core::Revision { revision } });
        relay.markCompleteUpTo(Core::Revision { revision });
    }

    /// The sealed batch of the changes after the revision.
    std::string answer(std::uint64_t after, BatchEncoding encoding = BatchEncoding::Compressed)
    {
        std::string sealed;
        feed.request(Core::Revision { after }, 0ms, encoding,
            [&](auto const& batch) { sealed = Distribution::sealBatch(*batch, key); });
        return sealed;
    }

    /// Returns false if a patch didn't apply.
    bool apply(std::string const& sealed)
    {
        auto batch = Distribution::openBatch(sealed, { .sealing = key });
        BOOST_REQUIRE(batch.has_value());
        for (auto const& item : batch->items)
            follower.apply(item);
        return std::ranges::all_of(batch->patches, [this](auto const& patch) { return follower.applyPatch(patch); });
    }

    static double secondsOnLink(std::string const& sealed)
    {
        return static_cast<double>(sealed.size() * Followers * 8) / RelayLinkBitsPerSecond;
    }
};

}

BOOST_FIXTURE_TEST_SUITE(LargeConfiguration, Fixture)

BOOST_AUTO_TEST_CASE(ManyNewRoutesLeaveTheLinkOfTheRelayFree)
{
    // Guards against a relay whose link is full for a second, so that its probes are late and it resets the flows of
    // responsive upstreams.
    auto value = configuration(1744, 4000, 1);
    write(value, 6);
    auto sealed = answer(5);
    BOOST_TEST(secondsOnLink(sealed) < 0.2);
    BOOST_TEST(secondsOnLink(answer(5, BatchEncoding::Plain)) > 1.0);
    BOOST_TEST(apply(sealed));
    BOOST_TEST((followerValue == value));
}

BOOST_AUTO_TEST_CASE(StormOfChangesOfALargeConfigurationSendsDifferences)
{
    // Guards against a full link for as long as a large configuration changes ten times a second.
    write(configuration(1744, 4000, 1), 6);
    BOOST_TEST(apply(answer(5)));
    double seconds = 0;
    for (std::uint64_t revision = 7; revision < 17; ++revision) {
        auto value = configuration(1744, 4000 + static_cast<int>(revision), 1);
        write(value, revision);
        auto sealed = answer(revision - 1);
        seconds += secondsOnLink(sealed);
        BOOST_TEST(apply(sealed));
        BOOST_TEST((followerValue == value));
    }
    BOOST_TEST(seconds < 0.2);
}

BOOST_AUTO_TEST_CASE(RelayBehindAThinLinkLeavesHalfOfItFree)
{
    // Guards against a relay with a link of 20 Mbit/s whose probes and packets wait behind a large configuration.
    constexpr double BytesPerSecond = 20e6 / 8;
    allowance.emplace(BytesPerSecond / 2, 50ms);
    write(configuration(1744, 4000, 1), 6);
    std::size_t answered = 0;
    double sentBytes = 0;
    for (std::size_t i = 0; i < Followers; ++i) {
        feed.request(Core::Revision { 5 }, 1s, BatchEncoding::Compressed, [&](auto const& batch) {
            auto size = static_cast<double>(Distribution::sealBatch(*batch, key).size());
            allowance->overdraw(size, clock.now());
            sentBytes += size;
            ++answered;
        });
    }
    auto largest = sentBytes / static_cast<double>(answered);
    auto start = clock.now();
    while (answered < Followers && clock.now() - start < 6s) {
        clock.advance(50ms);
        feed.tick();
        std::chrono::duration<double> elapsed = clock.now() - start;
        BOOST_TEST(sentBytes <= BytesPerSecond / 2 * (elapsed.count() + 0.05) + largest);
    }
    BOOST_TEST(answered == Followers);
}

BOOST_AUTO_TEST_CASE(FollowerThatMissedAVersionGetsTheWholeValue)
{
    // Guards against a patch for a value that the follower never had.
    write(configuration(1744, 4000, 1), 6);
    auto value = configuration(1744, 5000, 1);
    write(value, 7);
    auto sealed = answer(5);
    auto batch = Distribution::openBatch(sealed, { .sealing = key });
    BOOST_TEST(batch->patches.empty());
    BOOST_TEST(apply(sealed));
    BOOST_TEST((followerValue == value));
}

BOOST_AUTO_TEST_CASE(PatchForAnotherValueIsRejected)
{
    // Guards against a configuration that is put together from a patch and a value that it wasn't made for.
    write(configuration(1744, 4000, 1), 6);
    auto sealed = answer(5);
    Distribution::ItemReplica other { [](Item const&) {} };
    other.applyListing(
        { { ConfigurationKey, configuration(120, 4000, 2), Core::Revision { 4 } } }, Core::Revision { 4 });
    auto batch = Distribution::openBatch(sealed, { .sealing = key });
    BOOST_REQUIRE(batch->patches.size() == 1U);
    BOOST_TEST(!other.applyPatch(batch->patches.front()));
    // The checksum rejects it even if the revisions match.
    auto altered = batch->patches.front();
    altered.baseRevision = Core::Revision { 4 };
    BOOST_TEST(!other.applyPatch(altered));
}

BOOST_AUTO_TEST_CASE(FollowerReadsTheStoreAfterAPatchThatDoesNotApply)
{
    // Guards against a follower that stays without a change because its relay sends a patch that it can't apply.
    auto relayAddress = *Core::Endpoint::parse("10.0.0.1:7000");
    Distribution::FollowerOptions options;
    options.preferredPeers = { relayAddress };
    Distribution::StoreFollower storeFollower { clock, options, follower, {} };
    storeFollower.nextRequest();
    storeFollower.handleAnswer({ .items = { { ConfigurationKey, configuration(120, 4000, 2), Core::Revision { 4 } } },
        .asOf = Core::Revision { 5 } });
    clock.advance(200ms);
    BOOST_REQUIRE(storeFollower.nextRequest()->peer == relayAddress);
    storeFollower.handleAnswer({ .patches = { { ConfigurationKey, Core::Revision { 9 }, Core::Revision { 8 }, "" } },
        .asOf = Core::Revision { 9 } });
    BOOST_TEST(follower.completeUpTo().value() == 5U);
    auto next = storeFollower.nextRequest();
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST(!next->peer.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
