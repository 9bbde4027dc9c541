#include <LibDistribution/Distribution.h>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Distribution::StoreAnswer;
using Distribution::StoreCallback;
using Distribution::StoreFailure;
using Distribution::WatchRequest;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Balancers = 140;
constexpr std::size_t Seeds = 3;
constexpr auto StoreDelay = 4ms;
constexpr auto PeerDelay = 2ms;
constexpr auto ChangeInterval = 500ms;
constexpr auto RelayableAge = 1300ms;
/// A listing of 600 upstreams and 1,744 routes takes the store's link of 1 Gbit/s for this long.
constexpr auto StoreListingTime = 5ms;
/// The same listing in compressed form, and half of a seed's link of 200 Mbit/s.
constexpr double ListingBytes = 50e3;
constexpr double RelayBytesPerSecond = 12.5e6;
/// Time that the listing takes on the whole link.
constexpr auto PeerListingTime = 2ms;
/// Processes start within this time of each other.
constexpr auto StartSpread = 50ms;

/// 140 balancers, three of them seeds, and a store with a change each half second, in virtual time.
class Fleet {
public:
    Fleet()
    {
        for (std::size_t i = 0; i < Balancers; ++i)
            m_balancers.push_back(std::make_unique<Balancer>(m_clock, optionsOf(i)));
        change();
        runFor(20s);
        storeCalls = 0;
        worstAge = 0ms;
    }

    void runFor(milliseconds duration)
    {
        for (auto end = m_clock.now() + duration; m_clock.now() < end;) {
            m_clock.advance(1ms);
            while (!m_events.empty() && m_events.begin()->first <= m_clock.now()) {
                auto event = m_events.extract(m_events.begin());
                event.mapped()();
            }
            for (std::size_t i = 0; i < Balancers; ++i) {
                if (!m_balancers[i])
                    continue;
                if (auto request = m_balancers[i]->follower.nextRequest())
                    send(i, *request);
            }
            if ((m_clock.now().time_since_epoch() / 1ms) % 50 == 0) {
                for (auto& balancer : m_balancers) {
                    if (balancer)
                        balancer->feed.tick();
                }
            }
            worstAge = std::max(worstAge, currentWorstAge());
        }
    }

    /// All balancers lose power and start again without a view. Returns the time until all of them have one.
    milliseconds restartAll()
    {
        m_events.clear();
        m_watches.clear();
        storeCalls = 0;
        auto restartedAt = m_clock.now();
        m_storeFreeAt = m_clock.now();
        for (std::size_t i = 0; i < Balancers; ++i) {
            m_balancers[i].reset();
            m_peerFreeAt[i] = m_clock.now();
        }
        for (std::size_t i = 0; i < Balancers; ++i) {
            // A prime step starts the balancers in mixed order, seeds among them.
            schedule(StartSpread * ((i * 37 + 50) % Balancers) / Balancers,
                [this, i] { m_balancers[i] = std::make_unique<Balancer>(m_clock, optionsOf(i)); });
        }
        auto hasView = [](auto const& balancer) { return balancer && balancer->follower.age().has_value(); };
        while (!std::ranges::all_of(m_balancers, hasView) && m_clock.now() - restartedAt < 10s)
            runFor(1ms);
        return std::chrono::duration_cast<milliseconds>(m_clock.now() - restartedAt);
    }

    milliseconds currentWorstAge() const
    {
        milliseconds worst { 0 };
        for (auto const& balancer : m_balancers) {
            if (balancer)
                worst = std::max(worst, balancer->follower.age().value_or(0ms));
        }
        return worst;
    }

    /// Balancers up to this number are turned away by the store.
    std::size_t refusedBalancers { 0 };
    unsigned storeCalls { 0 };
    milliseconds worstAge { 0 };

private:
    struct Balancer {
        Balancer(Core::Clock const& clock, Distribution::FollowerOptions options)
            : follower(clock, std::move(options), replica, {})
            , feed(
                  clock, replica,
                  [this] {
                      auto age = follower.age();
                      return age && *age <= RelayableAge ? age : std::nullopt;
                  },
                  [this, &clock] { return !allowance.isOverdrawn(clock.now()); })
        {
        }

        Distribution::TokenBucket allowance { RelayBytesPerSecond, 50ms };
        Distribution::ItemReplica replica { [](auto const&) {} };
        Distribution::StoreFollower follower;
        Distribution::ReplicaFeed feed;
    };

    struct Watch {
        Core::Revision after;
        StoreCallback done;
    };

    static Core::Endpoint addressOf(std::size_t seed)
    {
        return *Core::Endpoint::parse("10.0.0." + std::to_string(seed + 1) + ":7000");
    }

    static Distribution::FollowerOptions optionsOf(std::size_t index)
    {
        Distribution::FollowerOptions options;
        options.randomSeed = index;
        options.storeHoldoffAge = index < Seeds ? 0ms : 2000ms;
        options.listingHoldoff = index < Seeds ? 0ms : 200ms;
        for (std::size_t seed = 0; seed < Seeds; ++seed) {
            if (seed != index)
                (index < Seeds && seed > index ? options.fallbackPeers : options.preferredPeers)
                    .push_back(addressOf(seed));
        }
        return options;
    }

    void schedule(milliseconds delay, std::function<void()> event)
    {
        m_events.emplace(m_clock.now() + delay, std::move(event));
    }

    void change()
    {
        m_items.push_back({ "key" + std::to_string(m_items.size()), "value", Core::Revision { m_items.size() + 1 } });
        for (auto const& watch : std::exchange(m_watches, {}))
            answer(watch);
        schedule(ChangeInterval, [this] { change(); });
    }

    void answer(Watch const& watch)
    {
        StoreAnswer answer { .asOf = m_items.back().revision };
        for (auto const& item : m_items) {
            if (item.revision > watch.after)
                answer.items.push_back(item);
        }
        schedule(StoreDelay, [done = watch.done, answer = std::move(answer)] { done(answer, {}, {}); });
    }

    void send(std::size_t index, Distribution::StoreRequest const& request)
    {
        StoreCallback done = [this, index](auto answer, auto failure, auto const&) {
            auto& balancer = *m_balancers[index];
            if (answer)
                balancer.follower.handleAnswer(*answer);
            else
                balancer.follower.handleFailure(failure);
            balancer.feed.tick();
        };
        if (request.peer)
            sendToPeer(*request.peer, std::get<WatchRequest>(request.call), std::move(done));
        else
            sendToStore(index, request.call, std::move(done));
    }

    void sendToStore(
        std::size_t index, std::variant<Distribution::ListRequest, WatchRequest> const& call, StoreCallback done)
    {
        ++storeCalls;
        if (index < refusedBalancers) {
            schedule(StoreDelay, [done = std::move(done)] { done(std::nullopt, StoreFailure::Refused, {}); });
            return;
        }
        auto const* watch = std::get_if<WatchRequest>(&call);
        if (!watch) {
            m_storeFreeAt = std::max(m_storeFreeAt, m_clock.now()) + StoreListingTime;
            StoreAnswer listing { .items = m_items, .asOf = m_items.back().revision };
            auto delay = StoreDelay + std::chrono::ceil<milliseconds>(m_storeFreeAt - m_clock.now());
            schedule(delay, [done = std::move(done), listing] { done(listing, {}, {}); });
            return;
        }
        auto after = watch->after;
        if (after < m_items.back().revision) {
            answer({ after, std::move(done) });
            return;
        }
        auto hasEnded = std::make_shared<bool>(false);
        StoreCallback once = [hasEnded, done = std::move(done)](auto answer, auto failure, auto const& cause) {
            if (!std::exchange(*hasEnded, true))
                done(std::move(answer), failure, cause);
        };
        m_watches.push_back({ after, once });
        schedule(watch->wait, [this, after, once] { answer({ after, once }); });
    }

    void sendToPeer(Core::Endpoint const& peer, WatchRequest const& watch, StoreCallback done)
    {
        std::size_t seed = 0;
        while (addressOf(seed) != peer)
            ++seed;
        schedule(PeerDelay, [this, seed, watch, done = std::move(done)] {
            if (!m_balancers[seed]) {
                schedule(PeerDelay, [done] { done(std::nullopt, StoreFailure::Unreachable, {}); });
                return;
            }
            m_balancers[seed]->feed.request(
                watch.after, watch.wait, Distribution::BatchEncoding::Plain, [this, seed, done](auto const& batch) {
                    auto delay = PeerDelay;
                    if (batch && batch->isListing) {
                        m_balancers[seed]->allowance.overdraw(ListingBytes, m_clock.now());
                        m_peerFreeAt[seed] = std::max(m_peerFreeAt[seed], m_clock.now()) + PeerListingTime;
                        delay += std::chrono::ceil<milliseconds>(m_peerFreeAt[seed] - m_clock.now());
                    }
                    schedule(delay, [done, batch] {
                        if (!batch) {
                            done(std::nullopt, StoreFailure::Refused, {});
                            return;
                        }
                        done(StoreAnswer { .items = batch->items,
                                 .isListing = batch->isListing,
                                 .asOf = batch->completeUpTo,
                                 .age = batch->age },
                            {}, {});
                    });
                });
        });
    }

    Core::ManualClock m_clock;
    std::multimap<Core::TimePoint, std::function<void()>> m_events;
    std::vector<Distribution::Item> m_items;
    std::vector<Watch> m_watches;
    std::vector<std::unique_ptr<Balancer>> m_balancers;
    /// When the links of the store and the seeds are free again.
    Core::TimePoint m_storeFreeAt;
    std::map<std::size_t, Core::TimePoint> m_peerFreeAt;
};

}

BOOST_FIXTURE_TEST_SUITE(StoreOutage, Fleet)

BOOST_AUTO_TEST_CASE(FleetDoesNotCallAStoreThatRefusesEverybody)
{
    // Guards against a store that is busy and gets hundreds of calls a second from a whole fleet, during the outage and
    // for seconds after it.
    refusedBalancers = Balancers;
    runFor(5300ms);
    refusedBalancers = 0;
    runFor(3s);
    BOOST_TEST(currentWorstAge().count() < 2000);
    runFor(10s);
    BOOST_TEST_MESSAGE("store calls: " << storeCalls);
    BOOST_TEST(storeCalls <= 397U);
}

BOOST_AUTO_TEST_CASE(FleetFollowsTheNextSeedWhenTheFirstIsTurnedAway)
{
    // Guards against a fleet that reads the store for as long as the first seed can't, and against balancers that learn
    // of a drain later than 3 s.
    refusedBalancers = 1;
    runFor(9s);
    BOOST_TEST(worstAge.count() < 2500);
    refusedBalancers = 0;
    runFor(10s);
    BOOST_TEST(worstAge.count() < 2500);
    BOOST_TEST_MESSAGE("store calls: " << storeCalls);
    BOOST_TEST(storeCalls <= 134U);
}

BOOST_AUTO_TEST_CASE(FleetStartsFromTheListingsOfTheSeeds)
{
    // Guards against 140 balancers that all list the store after a power failure and wait for half a second behind each
    // other.
    auto duration = restartAll();
    BOOST_TEST_MESSAGE("time until all balancers have a view: " << duration.count() << " ms");
    BOOST_TEST(duration.count() <= 300);
    BOOST_TEST(storeCalls <= 40U);
}

BOOST_AUTO_TEST_SUITE_END()
