#include <LibDistribution/Distribution.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>

using namespace Chicorytally;
using namespace std::chrono_literals;
using Distribution::Item;
using Distribution::StoreAnswer;
using Distribution::StoreCallback;
using Distribution::StoreFailure;
using Distribution::WatchRequest;
using std::chrono::milliseconds;

namespace {

constexpr auto StoreDelay = 4ms;
constexpr auto PeerDelay = 2ms;
constexpr auto RelayableAge = 1300ms;
/// A written item must be in force on all balancers after this time while the store can be reached.
constexpr auto ApplyTime = 500ms;

using Values = std::map<std::string, std::string>;

/// A store that can be restored from a copy. Revisions go on from the copy's, so they are given out again.
class RestorableStore {
public:
    explicit RestorableStore(Core::Clock const& clock)
        : m_clock(clock)
    {
    }

    void write(std::string const& key, std::optional<std::string> value)
    {
        m_items[key] = { key, std::move(value), Core::Revision { ++m_revision } };
        answerWatches();
    }

    void copy() { m_copy = { m_items, m_revision }; }

    void restore()
    {
        std::tie(m_items, m_revision) = m_copy;
        ++m_epoch;
    }

    void handle(std::variant<Distribution::ListRequest, WatchRequest> const& call, StoreCallback done)
    {
        ++calls;
        if (isAway) {
            done(std::nullopt, StoreFailure::Unreachable, {});
            return;
        }
        auto const* watch = std::get_if<WatchRequest>(&call);
        if (!watch) {
            StoreAnswer listing;
            for (auto const& [key, item] : m_items) {
                if (item.value)
                    listing.items.push_back(item);
            }
            done(stamped(std::move(listing)), {}, {});
            return;
        }
        if (watch->after.value() > m_revision) {
            done(std::nullopt, StoreFailure::HistoryLost, {});
            return;
        }
        m_watches.push_back({ watch->after.value(), m_clock.now() + watch->wait, std::move(done) });
        answerWatches();
    }

    void answerWatches()
    {
        std::erase_if(m_watches, [this](Watch const& watch) {
            if (isAway || (m_revision <= watch.after && m_clock.now() < watch.deadline))
                return false;
            StoreAnswer answer;
            for (auto const& [key, item] : m_items) {
                if (item.revision.value() > watch.after)
                    answer.items.push_back(item);
            }
            watch.done(stamped(std::move(answer)), {}, {});
            return true;
        });
    }

    void cutWatches()
    {
        for (auto const& watch : std::exchange(m_watches, {}))
            watch.done(std::nullopt, StoreFailure::Unreachable, {});
    }

    Values values() const
    {
        Values result;
        for (auto const& [key, item] : m_items) {
            if (item.value)
                result.emplace(key, *item.value);
        }
        return result;
    }

    bool isAway { false };
    unsigned calls { 0 };

private:
    struct Watch {
        std::uint64_t after;
        Core::TimePoint deadline;
        StoreCallback done;
    };

    StoreAnswer stamped(StoreAnswer answer) const
    {
        Core::Epoch epoch { m_epoch };
        answer.asOf = Core::Revision { m_revision, epoch };
        for (auto& item : answer.items)
            item.revision = Core::Revision { item.revision.value(), epoch };
        return answer;
    }

    Core::Clock const& m_clock;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision { 0 };
    std::uint64_t m_epoch { 1 };
    std::pair<std::map<std::string, Item>, std::uint64_t> m_copy;
    std::vector<Watch> m_watches;
};

/// A balancer that reads the store and one that follows it, in virtual time.
class RestoredStoreFixture {
public:
    RestoredStoreFixture()
    {
        m_balancers[Reader] = std::make_shared<Balancer>(m_clock, Distribution::FollowerOptions {});
        startFollower();
        store.write("a", "1");
        store.write("b", "1");
        runFor(ApplyTime);
    }

    /// Starts the follower, or starts it again with empty memory.
    void startFollower()
    {
        Distribution::FollowerOptions options { .preferredPeers = { ReaderAddress }, .listingHoldoff = 200ms };
        m_balancers[Follower] = std::make_shared<Balancer>(m_clock, std::move(options));
    }

    void runFor(milliseconds duration)
    {
        for (auto end = m_clock.now() + duration; m_clock.now() < end;) {
            m_clock.advance(1ms);
            store.answerWatches();
            while (!m_events.empty() && m_events.begin()->first <= m_clock.now()) {
                auto event = m_events.extract(m_events.begin());
                event.mapped()();
            }
            for (auto& balancer : m_balancers) {
                if (auto request = balancer->follower.nextRequest())
                    send(balancer, *request);
                balancer->follower.tick();
                balancer->feed.tick();
            }
        }
    }

    /// The store is away for the time and returns from the last copy.
    void restoreAfter(milliseconds outage)
    {
        store.isAway = true;
        store.cutWatches();
        runFor(outage);
        store.restore();
        store.isAway = false;
    }

    Values valuesOf(std::size_t balancer) const { return m_balancers[balancer]->values; }
    unsigned changesOf(std::size_t balancer) const { return m_balancers[balancer]->changes; }

    static constexpr std::size_t Reader = 0;
    static constexpr std::size_t Follower = 1;

private:
    struct Balancer {
        Balancer(Core::Clock const& clock, Distribution::FollowerOptions options)
            : replica([this](Item const& item) {
                ++changes;
                if (item.value)
                    values.insert_or_assign(item.key, *item.value);
                else
                    values.erase(item.key);
            })
            , follower(clock, std::move(options), replica, {})
            , feed(
                  clock, replica,
                  [this] {
                      auto age = follower.age();
                      return age && *age <= RelayableAge ? age : std::nullopt;
                  },
                  [] { return true; })
        {
        }

        Values values;
        unsigned changes { 0 };
        Distribution::ItemReplica replica;
        Distribution::StoreFollower follower;
        Distribution::ReplicaFeed feed;
    };

    void send(std::shared_ptr<Balancer> const& sender, Distribution::StoreRequest const& request)
    {
        StoreCallback done = [this, sender = std::weak_ptr { sender }](auto answer, auto failure, auto const&) {
            m_events.emplace(m_clock.now() + StoreDelay, [sender, answer, failure] {
                auto balancer = sender.lock();
                if (!balancer)
                    return;
                if (answer)
                    balancer->follower.handleAnswer(*answer);
                else
                    balancer->follower.handleFailure(failure);
            });
        };
        if (!request.peer) {
            store.handle(request.call, std::move(done));
            return;
        }
        auto watch = std::get<WatchRequest>(request.call);
        m_events.emplace(m_clock.now() + PeerDelay, [this, watch, done = std::move(done)] {
            m_balancers[Reader]->feed.request(
                watch.after, watch.wait, Distribution::BatchEncoding::Plain, [done](auto const& batch) {
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
    }

    static inline Core::Endpoint const ReaderAddress { *Core::Endpoint::parse("10.0.0.1:7000") };

    Core::ManualClock m_clock;
    std::multimap<Core::TimePoint, std::function<void()>> m_events;
    std::array<std::shared_ptr<Balancer>, 2> m_balancers;

public:
    RestorableStore store { m_clock };
};

}

BOOST_FIXTURE_TEST_SUITE(RestoredStore, RestoredStoreFixture)

BOOST_DATA_TEST_CASE(ChangeAfterTheRestoreIsInForce,
    boost::unit_test::data::make({ 0, 1, 3 }) * boost::unit_test::data::make({ 1, 3, 9 })
        * boost::unit_test::data::make({ 0, 30, 3000 }),
    lostWrites, newWrites, outage)
{
    // Guards against a confirmed change that is never seen because it got a revision that the lost history had given
    // out, with fewer, as many and more writes than were lost.
    store.copy();
    for (int i = 0; i < lostWrites; ++i)
        store.write("a", "lost " + std::to_string(i));
    runFor(ApplyTime);
    restoreAfter(milliseconds { outage });
    for (int i = 0; i < newWrites; ++i)
        store.write(i % 2 == 0 ? "b" : "a", "new " + std::to_string(i));
    runFor(3s);
    store.write("c", "last");
    store.write("b", std::nullopt);
    runFor(ApplyTime);
    for (auto balancer : { Reader, Follower }) {
        auto values = valuesOf(balancer);
        BOOST_TEST(values["c"] == "last");
        BOOST_TEST(!values.contains("b"));
        if (newWrites > 1)
            BOOST_TEST(values["a"] == store.values()["a"]);
    }
}

BOOST_DATA_TEST_CASE(
    KeyThatTheCopyLacksIsKeptUntilItIsWrittenAgain, boost::unit_test::data::make({ true, false }), isWrittenAgain)
{
    // Guards against opens to a zone that operators took out of service, and against a service without upstreams,
    // because the copy was made before they were written.
    store.copy();
    store.write("evacuated", "");
    runFor(ApplyTime);
    restoreAfter(2s);
    for (auto balancer : { Reader, Follower })
        BOOST_TEST(valuesOf(balancer).contains("evacuated"));
    runFor(1s);
    for (auto balancer : { Reader, Follower })
        BOOST_TEST(valuesOf(balancer).contains("evacuated"));
    if (isWrittenAgain)
        store.write("evacuated", "");
    runFor(5s);
    for (auto balancer : { Reader, Follower })
        BOOST_TEST(valuesOf(balancer).contains("evacuated") == isWrittenAgain);
}

BOOST_AUTO_TEST_CASE(BalancerThatStartsAfterTheRestoreGetsTheKeptKeys)
{
    // Guards against a relay that sends kept keys as written in the new epoch, so that followers keep them for good.
    store.copy();
    store.write("evacuated", "");
    runFor(ApplyTime);
    restoreAfter(2s);
    runFor(ApplyTime);
    startFollower();
    runFor(ApplyTime);
    BOOST_TEST(valuesOf(Follower).contains("evacuated"));
    runFor(5s);
    BOOST_TEST(!valuesOf(Follower).contains("evacuated"));
    BOOST_TEST(!valuesOf(Reader).contains("evacuated"));
}

BOOST_AUTO_TEST_CASE(UnchangedItemsAreNotAppliedAgain)
{
    // Guards against decoding a configuration of thousands of routes again, and against cold upstreams whose slow start
    // is counted from the restore.
    store.copy();
    restoreAfter(2s);
    auto changes = std::array { changesOf(Reader), changesOf(Follower) };
    runFor(5s);
    BOOST_TEST(changesOf(Reader) == changes[Reader]);
    BOOST_TEST(changesOf(Follower) == changes[Follower]);
}

BOOST_AUTO_TEST_CASE(RestoredStoreIsNotListedWithoutPause)
{
    // Guards against a reader that lists the store again and again, about 60 times a second, while its revisions are
    // below those of the lost history.
    store.copy();
    for (int i = 0; i < 5; ++i)
        store.write("a", std::to_string(i));
    runFor(ApplyTime);
    restoreAfter(2s);
    store.calls = 0;
    runFor(4s);
    BOOST_TEST_MESSAGE("store calls: " << store.calls);
    // Both balancers list the store, the follower once more asks it directly, and the reader watches it each second.
    BOOST_TEST(store.calls <= 12U);
}

BOOST_AUTO_TEST_SUITE_END()
