#include <LibRelay/Subscription.h>

#include <LibTelemetry/Telemetry.h>

#include <algorithm>

namespace Chicorytally::Relay {

using std::chrono::milliseconds;
using Telemetry::Level;
using Telemetry::logEvent;

// Maximum age of a view that is relayed. An older view means that the watch that should have refreshed it is overdue.
static constexpr milliseconds MaximumRelayAge { 1300 };

// Probes of upstreams must be answered within 150 ms, also while a large change is relayed to hundreds of followers.
static constexpr double RelayedLinkShare = 0.5;
// Followers that wait for the allowance are answered at the next tick.
static constexpr milliseconds RelayBurst { 50 };

// A view of this age plus the round trips to the seeds and the store stays within 3 s, the shortest time in which
// drains and routes must be in force.
static constexpr milliseconds StoreHoldoffAge { 2000 };
// A seed has its listing 60 ms after its start if the other balancers leave the store to it.
static constexpr milliseconds ListingHoldoff { 200 };

SourceOrder orderSources(Core::Endpoint const& self, std::vector<Core::Endpoint> seeds)
{
    std::ranges::sort(seeds);
    bool isSeed = std::ranges::binary_search(seeds, self);
    SourceOrder order;
    for (auto const& seed : seeds) {
        if (seed != self)
            (isSeed && seed > self ? order.fallback : order.preferred).push_back(seed);
    }
    return order;
}

static Distribution::FollowerOptions followerOptions(SubscriptionOptions const& options)
{
    auto order = orderSources(options.address, options.seeds);
    bool isSeed = std::ranges::find(options.seeds, options.address) != options.seeds.end();
    Distribution::FollowerOptions result;
    result.storeHoldoffAge = isSeed ? milliseconds { 0 } : StoreHoldoffAge;
    result.listingHoldoff = isSeed ? milliseconds { 0 } : ListingHoldoff;
    result.preferredPeers = std::move(order.preferred);
    result.fallbackPeers = std::move(order.fallback);
    result.randomSeed = options.randomSeed;
    return result;
}

static std::string sourceName(std::optional<Core::Endpoint> const& peer) { return peer ? peer->toString() : "store"; }

static Distribution::FollowerHooks followerHooks()
{
    return {
        .sourceLost =
            [](auto const& peer, Distribution::StoreFailure failure) {
                logEvent(
                    Level::Warn, "source_lost", { { "source", sourceName(peer) }, { "failure", toString(failure) } });
            },
        .sourceRegained =
            [](auto const& peer) {
                logEvent(Level::Info, "source_regained", { { "source", sourceName(peer) } });
            },
        .historyLost =
            [](auto const& peer, Core::Revision revision) {
                logEvent(Level::Info, "history_lost",
                    { { "source", sourceName(peer) }, { "complete_up_to", revision.value() } });
            },
        .pageRead =
            [](auto const& afterKey, auto const& page) {
                logEvent(Level::Info, "listing_page",
                    { { "after", afterKey }, { "items", page.items.size() },
                        { "last", page.items.empty() ? "" : page.items.back().key }, { "more", page.hasMore },
                        { "revision", page.asOf.value() } });
            },
        .changesTooLarge =
            [](Core::Revision revision) {
                logEvent(Level::Warn, "changes_too_large", { { "complete_up_to", revision.value() } });
            },
        .listed =
            [](auto const& peer, std::size_t items, Core::Revision asOf) {
                logEvent(Level::Info, "listing_applied",
                    { { "source", sourceName(peer) }, { "items", items }, { "revision", asOf.value() } });
            },
        .unconfirmedRemoved =
            [](std::size_t items) {
                logEvent(Level::Info, "unconfirmed_items_removed", { { "items", items } });
            },
    };
}

std::unique_ptr<Subscription> Subscription::create(EventLoop::Loop& loop, Core::Clock const& clock,
    SubscriptionOptions const& options, SubscriptionHooks hooks, std::string& error)
{
    std::unique_ptr<Subscription> subscription { new Subscription { loop, clock, options, std::move(hooks) } };
    subscription->m_server = PeerServer::create(
        loop, clock, options.address, options.keys.sealing, subscription->m_feed,
        [self = subscription.get()](auto bytes) { self->noteRelayed(bytes); }, error);
    if (!subscription->m_server)
        return nullptr;
    PeerMessengerOptions messengerOptions { options.address, options.self, options.incarnation, options.keys };
    auto receive
        = [self = subscription.get()](auto const& message, auto const& origin) { self->receive(message, origin); };
    subscription->m_messenger = PeerMessenger::create(loop, messengerOptions, receive, error);
    if (!subscription->m_messenger)
        return nullptr;
    subscription->createLoadExchange(options);
    return subscription;
}

Subscription::Subscription(
    EventLoop::Loop& loop, Core::Clock const& clock, SubscriptionOptions const& options, SubscriptionHooks hooks)
    : m_hooks(std::move(hooks))
    , m_replica([this](Distribution::Item const& item) { m_hooks.itemChanged(item); })
    , m_follower(clock, followerOptions(options), m_replica, followerHooks())
    , m_clock(clock)
    , m_relayAllowance(RelayedLinkShare * options.linkBytesPerSecond, RelayBurst)
    , m_feed(
          clock, m_replica, [this] { return relayableAge(); },
          [this] { return !m_relayAllowance.isOverdrawn(m_clock.now()); })
    , m_reader(loop, options.keys, options.address.port)
    , m_relays(options.seeds)
    , m_exchange(clock, { .self = options.self }, exchangeHooks())
    , m_timer(loop.timer([this] { sendNextRequest(); }))
{
    std::erase(m_relays, options.address);
}

static Messages::PeerMessage messageOf(Reports const& reports)
{
    Messages::UpstreamReports upstreamReports;
    for (auto const& report : reports) {
        auto& message = upstreamReports.reports.emplace_back();
        message.upstream = static_cast<std::int64_t>(report.upstream.value());
        message.kind = static_cast<Messages::UpstreamReportKind::type>(report.kind);
        message.reporter = static_cast<std::int64_t>(report.reporter.value());
    }
    Messages::LoadMessage load;
    load.__set_upstreamReports(upstreamReports);
    Messages::PeerMessage message;
    message.__set_load(load);
    return message;
}

static std::optional<Load::PeerReport> fromMessage(Messages::UpstreamReport const& message)
{
    bool isKnown = message.kind == Messages::UpstreamReportKind::Unanswered
        || message.kind == Messages::UpstreamReportKind::Failing
        || message.kind == Messages::UpstreamReportKind::Returned;
    if (!isKnown)
        return std::nullopt;
    return Load::PeerReport { Core::UpstreamId { static_cast<std::uint64_t>(message.upstream) },
        static_cast<Load::ReportKind>(message.kind), Core::VmId { static_cast<std::uint64_t>(message.reporter) } };
}

ReportExchangeHooks Subscription::exchangeHooks()
{
    return {
        .sendToRelays = [this](auto const& reports) { m_messenger->send(m_relays, messageOf(reports)); },
        .sendToFollowers
        = [this](auto const& reports) { m_messenger->send(m_server->followers(), messageOf(reports)); },
        .reportReceived = [this](auto const& report) { m_hooks.reportReceived(report); },
    };
}

void Subscription::createLoadExchange(SubscriptionOptions const& options)
{
    if (!m_hooks.loadReport || !m_hooks.loadReportReceived)
        return;
    LoadExchangeOptions exchangeOptions { .self = options.self,
        .address = options.address,
        .incarnation = options.incarnation,
        .seeds = options.seeds,
        .randomSeed = options.randomSeed };
    LoadExchangeHooks hooks {
        .send =
            [this](auto const& peer, auto const& reports) {
                Messages::PeerMessage message;
                message.__isset.load = true;
                message.load.__set_loadReports(reports);
                return m_messenger->send({ peer }, message);
            },
        .makeReport = m_hooks.loadReport,
        .reportReceived = m_hooks.loadReportReceived,
        .followers = [this] { return m_server->followers(); },
    };
    m_loadExchange = std::make_unique<LoadExchange>(m_clock, std::move(exchangeOptions), std::move(hooks));
}

void Subscription::receive(Messages::PeerMessage const& message, PeerMessenger::Origin const& origin)
{
    if (!message.__isset.load)
        return;
    if (message.load.__isset.upstreamReports)
        receiveUpstreamReports(message.load.upstreamReports);
    if (message.load.__isset.loadReports && m_loadExchange)
        m_loadExchange->receive(origin.from, message.load.loadReports, origin.datagramSize);
}

void Subscription::receiveUpstreamReports(Messages::UpstreamReports const& message)
{
    Reports reports;
    for (auto const& entry : message.reports) {
        // Report kinds that are unknown to this version are ignored.
        if (auto report = fromMessage(entry))
            reports.push_back(*report);
    }
    m_exchange.receive(reports);
}

void Subscription::tick()
{
    m_follower.tick();
    m_feed.tick();
    m_exchange.tick();
    if (m_loadExchange)
        m_loadExchange->tick();
    m_server->removeExpiredFollowers();
}

void Subscription::noteRelayed(std::size_t bytes)
{
    m_relayAllowance.overdraw(static_cast<double>(bytes), m_clock.now());
}

std::optional<milliseconds> Subscription::relayableAge() const
{
    auto age = m_follower.age();
    return age && *age <= MaximumRelayAge ? age : std::nullopt;
}

void Subscription::sendNextRequest()
{
    auto request = m_follower.nextRequest();
    if (!request) {
        // The loop caches its time, which may be ahead of the clock, so the timer can fire early.
        if (auto delay = m_follower.nextRequestDelay())
            m_timer->arm(std::max(*delay, milliseconds { 1 }));
        return;
    }
    bool isPeer = request->peer.has_value();
    ++(isPeer ? m_counters.peerCalls : m_counters.storeCalls);
    auto done = [this, isPeer](
                    auto answer, auto failure, auto const& cause) { finishRequest(isPeer, answer, failure, cause); };
    if (isPeer)
        m_reader.watch(*request->peer, std::get<Distribution::WatchRequest>(request->call), std::move(done));
    else
        m_hooks.callStore(*request, std::move(done));
}

void Subscription::handleAnswer(bool isPeer, Distribution::StoreAnswer const& answer)
{
    if (auto epoch = answer.asOf.epoch(); epoch > m_storeEpoch) {
        logEvent(Level::Info, "store_epoch",
            { { "epoch", epoch.value() }, { "former", m_storeEpoch.value() }, { "revision", answer.asOf.value() },
                { "complete_up_to", m_replica.completeUpTo().value() } });
        m_storeEpoch = epoch;
    }
    auto outdatedBefore = m_replica.outdatedCount();
    m_follower.handleAnswer(answer);
    if (auto outdated = m_replica.outdatedCount() - outdatedBefore; outdated != 0)
        logEvent(Level::Warn, "items_outdated",
            { { "source", isPeer ? "peer" : "store" }, { "items", outdated }, { "revision", answer.asOf.value() },
                { "complete_up_to", m_replica.completeUpTo().value() } });
}

void Subscription::finishRequest(bool isPeer, std::optional<Distribution::StoreAnswer> const& answer,
    Distribution::StoreFailure failure, std::string const& cause)
{
    if (answer) {
        handleAnswer(isPeer, *answer);
    } else {
        ++(isPeer ? m_counters.peerFailures : m_counters.storeFailures);
        logEvent(Level::Debug, "call_failed",
            { { "source", isPeer ? "peer" : "store" }, { "failure", toString(failure) }, { "cause", cause } });
        m_follower.handleFailure(failure);
    }
    m_feed.tick();
    m_hooks.requestFinished();
    sendNextRequest();
}

}
