#include <LibRelay/Relay.h>

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Distribution::Item;
using Distribution::StoreFailure;

namespace {

Core::Endpoint freePort()
{
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    BOOST_REQUIRE(bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    close(descriptor);
    return *Core::Endpoint::parse("127.0.0.1:" + std::to_string(ntohs(address.sin_port)));
}

/// An in-process store. It answers listings immediately, and watches at the next change.
class FakeStore {
public:
    void call(Distribution::StoreRequest const& request, Distribution::StoreCallback callback)
    {
        ++calls;
        if (isRefusing) {
            callback(std::nullopt, StoreFailure::Refused, "status 503");
            return;
        }
        auto const* watch = std::get_if<Distribution::WatchRequest>(&request.call);
        if (!watch || watch->after < items.back().revision)
            callback(answer(), StoreFailure::Unreachable, {});
        else
            m_waiting.push_back(std::move(callback));
    }

    void write(std::string const& key, std::uint64_t revision)
    {
        items.push_back({ key, "value", Core::Revision { revision } });
        for (auto const& callback : std::exchange(m_waiting, {}))
            callback(answer(), StoreFailure::Unreachable, {});
    }

    std::vector<Item> items { { "a", "value", Core::Revision { 1 } } };
    unsigned calls { 0 };
    bool isRefusing { false };

private:
    Distribution::StoreAnswer answer() const { return { .items = items, .asOf = items.back().revision }; }

    std::vector<Distribution::StoreCallback> m_waiting;
};

/// A balancer that keeps a replica of the store.
struct Node {
    Node(EventLoop::Loop& loop, Core::Clock const& clock, FakeStore& store, Core::Endpoint const& address,
        std::vector<Core::Endpoint> seeds, bool exchangesLoad = false)
    {
        std::string error;
        Relay::SubscriptionOptions options { .address = address, .seeds = std::move(seeds) };
        options.self = self = Core::VmId { address.port };
        options.incarnation = Core::Incarnation { 1 };
        options.keys.sealing = *Messages::PeerKey::fromHex(std::string(64, 'a'));
        Relay::SubscriptionHooks hooks { .callStore
            = [&store](auto const& request, auto callback) { store.call(request, std::move(callback)); },
            .itemChanged =
                [this, &loop](auto const&) {
                    ++items;
                    loop.stop();
                },
            .requestFinished = [] {},
            .reportReceived =
                [this, &loop](auto const& report) {
                    reported.push_back(report);
                    loop.stop();
                } };
        if (exchangesLoad) {
            hooks.loadReport = [this](auto) { return loadReport; };
            hooks.loadReportReceived = [this, &loop](auto const& report) {
                loadReports.push_back(report);
                loop.stop();
            };
        }
        subscription = Relay::Subscription::create(loop, clock, options, std::move(hooks), error);
        BOOST_REQUIRE_MESSAGE(subscription, error);
    }

    std::unique_ptr<Relay::Subscription> subscription;
    Core::VmId self;
    unsigned items { 0 };
    Relay::Reports reported;
    Load::LoadReport loadReport;
    std::vector<Load::LoadReport> loadReports;
};

}

BOOST_AUTO_TEST_SUITE(Subscription)

BOOST_AUTO_TEST_CASE(SeedsAreFollowedInAddressOrder)
{
    // Guards against two seeds that follow each other.
    auto endpoint = [](int number) { return *Core::Endpoint::parse("10.0.0." + std::to_string(number) + ":7000"); };
    std::vector<Core::Endpoint> seeds { endpoint(5), endpoint(1), endpoint(3) };
    auto middle = Relay::orderSources(endpoint(3), seeds);
    BOOST_CHECK(middle.preferred == std::vector { endpoint(1) });
    BOOST_CHECK(middle.fallback == std::vector { endpoint(5) });
    auto first = Relay::orderSources(endpoint(1), seeds);
    BOOST_TEST(first.preferred.empty());
    auto other = Relay::orderSources(endpoint(2), seeds);
    BOOST_CHECK((other.preferred == std::vector { endpoint(1), endpoint(3), endpoint(5) }));
    BOOST_TEST(other.fallback.empty());
}

BOOST_AUTO_TEST_CASE(FollowersReadFromTheSeed)
{
    // Guards against followers that miss changes or that call the store needlessly.
    std::string error;
    auto loop = EventLoop::Loop::create(error);
    Core::SystemClock clock;
    FakeStore readerStore;
    FakeStore followerStore;
    auto address = freePort();
    Node reader { *loop, clock, readerStore, address, { address } };
    Node follower { *loop, clock, followerStore, freePort(), { address } };
    reader.subscription->start();
    follower.subscription->start();
    BOOST_TEST(reader.items == 1U);
    while (follower.items < 1)
        loop->run();
    auto change = loop->timer([&] { readerStore.write("b", 2); });
    change->arm(150ms);
    while (follower.items < 2)
        loop->run();
    BOOST_TEST(follower.items == 2U);
    BOOST_TEST(followerStore.calls == 0U);
}

BOOST_AUTO_TEST_CASE(EarlierVersionsGetAPlainBatch)
{
    // Guards against balancers of an earlier version that can't read what a seed relays while the fleet is updated.
    std::string error;
    auto loop = EventLoop::Loop::create(error);
    Core::SystemClock clock;
    FakeStore store;
    constexpr std::size_t ValueSize = 4096;
    store.items.front().value = std::string(ValueSize, 'x');
    auto address = freePort();
    Node seed { *loop, clock, store, address, { address } };
    seed.subscription->start();
    EventLoop::HttpClient client { *loop, address };
    auto bodyOf = [&](std::string const& target) {
        std::string body;
        client.get(target, 1s, [&](auto response, auto) {
            body = response ? response->body : "";
            loop->stop();
        });
        loop->run();
        return body;
    };
    auto plain = bodyOf("/changes?after=0&wait_ms=0&port=1");
    auto compressed = bodyOf("/changes?after=0&wait_ms=0&port=1&encoding=zstd");
    BOOST_TEST(plain.size() > ValueSize);
    BOOST_TEST(compressed.size() < ValueSize / 2);
    for (auto const& body : { plain, compressed }) {
        auto batch = Distribution::openBatch(body, { .sealing = *Messages::PeerKey::fromHex(std::string(64, 'a')) });
        BOOST_REQUIRE(batch.has_value());
        BOOST_CHECK(batch->items == store.items);
    }
}

BOOST_AUTO_TEST_CASE(RequestWithoutAnEpochGetsChanges)
{
    // Guards against a seed that sends the whole listing again and again to balancers of an earlier version, which
    // don't tell the epoch of their revision.
    std::string error;
    auto loop = EventLoop::Loop::create(error);
    Core::SystemClock clock;
    FakeStore store;
    Core::Epoch epoch { 2 };
    store.items.front().revision = Core::Revision { 1, epoch };
    auto address = freePort();
    Node seed { *loop, clock, store, address, { address } };
    seed.subscription->start();
    EventLoop::HttpClient client { *loop, address };
    struct Case {
        std::string target;
        bool isListing;
    };
    for (auto const& [target, isListing] : { Case { "/changes?after=1&wait_ms=0&port=1", false },
             Case { "/changes?after=1&wait_ms=0&port=1&encoding=zstd", false },
             Case { "/changes?after=1&wait_ms=0&port=1&epoch=2&encoding=zstd", false },
             Case { "/changes?after=1&wait_ms=0&port=1&epoch=1&encoding=zstd", true } }) {
        std::string body;
        client.get(target, 1s, [&](auto response, auto) {
            body = response ? response->body : "";
            loop->stop();
        });
        loop->run();
        auto batch = Distribution::openBatch(body, { .sealing = *Messages::PeerKey::fromHex(std::string(64, 'a')) });
        BOOST_REQUIRE_MESSAGE(batch.has_value(), target);
        BOOST_TEST(batch->isListing == isListing, target);
        BOOST_CHECK(batch->completeUpTo == Core::Revision(1, epoch));
    }
}

BOOST_AUTO_TEST_CASE(ReportReachesTheFollowersOfTheSeed)
{
    // Guards against reports of any kind that are not forwarded between balancers that don't know each other.
    for (auto kind : { Load::ReportKind::Unanswered, Load::ReportKind::Failing, Load::ReportKind::Returned }) {
        std::string error;
        auto loop = EventLoop::Loop::create(error);
        Core::SystemClock clock;
        FakeStore stores[3];
        auto address = freePort();
        Node reader { *loop, clock, stores[0], address, { address } };
        Node detector { *loop, clock, stores[1], freePort(), { address } };
        Node other { *loop, clock, stores[2], freePort(), { address } };
        for (auto* node : { &reader, &detector, &other })
            node->subscription->start();
        // The seed knows a follower only after its first request for changes.
        auto report = loop->timer([&] { detector.subscription->report(Core::UpstreamId { 7 }, kind); });
        report->arm(200ms);
        while (other.reported.empty())
            loop->run();
        Relay::Reports const expected { { Core::UpstreamId { 7 }, kind, detector.self } };
        BOOST_CHECK(reader.reported == expected);
        BOOST_CHECK(other.reported == expected);
        BOOST_TEST(detector.reported.empty());
    }
}

BOOST_AUTO_TEST_CASE(LoadReportReachesBalancersWithTheHooks)
{
    // Guards against reports that are not wired to the messenger, and against traffic of balancers without the hooks.
    std::string error;
    auto loop = EventLoop::Loop::create(error);
    Core::SystemClock clock;
    FakeStore stores[3];
    auto address = freePort();
    Node seed { *loop, clock, stores[0], address, { address }, true };
    Node reporter { *loop, clock, stores[1], freePort(), { address }, true };
    Node without { *loop, clock, stores[2], freePort(), { address } };
    reporter.loadReport.upstreams.push_back({ .upstream = Core::UpstreamId { 7 }, .requestsInFlight = 3 });
    std::unique_ptr<EventLoop::EventRegistration> timer;
    timer = loop->timer([&] {
        for (auto* node : { &seed, &reporter, &without })
            node->subscription->tick();
        timer->arm(50ms);
    });
    for (auto* node : { &seed, &reporter, &without })
        node->subscription->start();
    timer->arm(1ms);
    while (seed.loadReports.empty())
        loop->run();
    BOOST_CHECK(seed.loadReports.front().reporter == reporter.self);
    BOOST_CHECK(seed.loadReports.front().upstreams == reporter.loadReport.upstreams);
    BOOST_REQUIRE(seed.subscription->loadExchange());
    BOOST_TEST(seed.subscription->loadExchange()->counters().messagesReceived > 0U);
    BOOST_TEST(!without.subscription->loadExchange());
    BOOST_TEST(without.subscription->messageCounters().sent == 0U);
}

BOOST_AUTO_TEST_CASE(FollowersOfARefusedReaderFallBackToTheStore)
{
    // Guards against a fleet that gets no changes because one balancer lost contact with the store.
    std::string error;
    auto loop = EventLoop::Loop::create(error);
    Core::SystemClock clock;
    FakeStore readerStore;
    FakeStore followerStore;
    readerStore.isRefusing = true;
    auto address = freePort();
    Node reader { *loop, clock, readerStore, address, { address } };
    Node follower { *loop, clock, followerStore, freePort(), { address } };
    reader.subscription->start();
    follower.subscription->start();
    auto change = loop->timer([&] { followerStore.write("b", 2); });
    change->arm(300ms);
    while (follower.items < 2)
        loop->run();
    BOOST_TEST(reader.items == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
