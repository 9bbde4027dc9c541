#include <HarnessControl/Fleet.h>

#include <ctime>
#include <string>
#include <utility>

namespace Chicorytally::Benchmarks {

using namespace std::chrono_literals;

static constexpr std::chrono::milliseconds TickInterval { 100 };
static constexpr std::size_t HeaderBytes = 28;
static constexpr std::size_t SeedCount = 3;

static std::chrono::nanoseconds threadTime()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
}

template <typename Action> auto Fleet::measured(Node& node, Action action)
{
    // The measurement costs more than many calls, so it is left out where sizes don't matter either.
    struct Timer {
        Node& node;
        bool isOn;
        std::chrono::nanoseconds start;

        ~Timer()
        {
            if (isOn)
                node.processorTime += threadTime() - start;
        }
    } timer { node, m_options.isSealed, m_options.isSealed ? threadTime() : 0ns };
    return action();
}

Fleet::Fleet(FleetOptions options)
    : isConnected([](std::size_t, std::size_t) { return true; })
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_key(*Messages::PeerKey::fromHex(std::string(2 * Messages::KeySize, 'c')))
{
    for (std::size_t i = 0; i < m_options.nodes; ++i) {
        auto node = std::make_unique<Node>();
        node->vm = Core::VmId { Core::hash64("vm-" + std::to_string(i)) };
        node->zone = Core::ZoneId { Core::hash64("zone-" + std::to_string(i % m_options.zones)) };
        auto port = static_cast<std::uint16_t>(1000 + i);
        node->endpoint = { *Core::IpAddress::parse("10.0.0.1"), port };
        node->incarnation = Core::Incarnation { 1'700'000'000'000 };
        m_indexByPort[port] = i;
        m_nodes.push_back(std::move(node));
    }
}

Fleet::~Fleet() = default;

void Fleet::schedule(std::chrono::nanoseconds delay, std::function<void()> action)
{
    m_events.push({ m_clock.now() + delay, m_nextOrder++, std::move(action) });
}

bool Fleet::happens(double probability) { return std::uniform_real_distribution<> { 0, 1 }(m_random) < probability; }

bool Fleet::accept(Node& node, Core::Revision revision, Distribution::FileSet const& files, std::string& reason)
{
    for (auto const& [name, content] : files) {
        if (!node.refusedContent.empty() && content == node.refusedContent) {
            reason = name + ": refused content";
            return false;
        }
    }
    node.acceptedRevisions.push_back(revision);
    node.acceptedAt = m_clock.now();
    node.membership->setRevision(revision);
    return true;
}

void Fleet::applyMembers(Node& node)
{
    ++node.memberChanges;
    if (!node.distribution)
        return;
    std::vector<Distribution::Peer> peers;
    for (auto const& member : node.membership->members()) {
        bool isReachable
            = member.state != Membership::MemberState::Dead && member.state != Membership::MemberState::Unreachable;
        if (isReachable)
            peers.push_back({ member.vm, member.zone, member.state == Membership::MemberState::Alive });
    }
    node.distribution->applyMembers(peers);
}

void Fleet::start(std::size_t index)
{
    auto& node = *m_nodes[index];
    node.isRunning = true;
    node.isPaused = false;
    node.isReadingPlatform = false;
    ++node.life;
    node.incarnation = Core::Incarnation { node.incarnation.value() + 1000 };
    node.acceptedRevisions.clear();
    node.sealer = std::make_unique<Messages::EnvelopeSealer>(m_key, node.vm, node.incarnation);
    node.opener = std::make_unique<Messages::EnvelopeOpener>(Messages::KeyRing { m_key, {} });

    auto options = m_options.membership;
    options.self = node.vm;
    options.zone = node.zone;
    options.endpoint = node.endpoint;
    options.incarnation = node.incarnation;
    options.randomSeed = m_random();
    for (std::size_t i = 0; i < std::min(SeedCount, m_nodes.size()); ++i)
        options.seeds.push_back(m_nodes[i * m_nodes.size() / SeedCount]->endpoint);
    Membership::Hooks hooks {
        .membersChanged = [this, &node] { applyMembers(node); },
        .incarnationChanged =
            [this, &node](Core::Incarnation incarnation) {
                node.incarnation = incarnation;
                node.sealer = std::make_unique<Messages::EnvelopeSealer>(m_key, node.vm, incarnation);
            },
    };
    node.membership = std::make_unique<Membership::Controller>(m_clock, options, std::move(hooks));

    if (m_options.hasDistribution) {
        auto distributionOptions = m_options.distribution;
        distributionOptions.self = node.vm;
        distributionOptions.zone = node.zone;
        distributionOptions.randomSeed = m_random();
        Distribution::Hooks distributionHooks {
            .accept = [this, &node](Core::Revision revision, Distribution::FileSet const& files,
                          std::string& reason) { return accept(node, revision, files, reason); },
        };
        node.distribution
            = std::make_unique<Distribution::Controller>(m_clock, distributionOptions, std::move(distributionHooks));
    }
    scheduleTick(index, node.life, std::chrono::milliseconds { m_random() % TickInterval.count() });
}

void Fleet::startAll()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        start(i);
}

void Fleet::crash(std::size_t index) { m_nodes[index]->isRunning = false; }
void Fleet::pause(std::size_t index) { m_nodes[index]->isPaused = true; }
void Fleet::resume(std::size_t index) { m_nodes[index]->isPaused = false; }

void Fleet::publish(Core::Revision revision, Distribution::FileSet files)
{
    m_platform.newest = { revision, std::move(files) };
}

void Fleet::scheduleTick(std::size_t index, unsigned life, std::chrono::nanoseconds delay)
{
    schedule(delay, [this, index, life] {
        auto& node = *m_nodes[index];
        if (!node.isRunning || node.life != life)
            return;
        if (!node.isPaused)
            pump(index);
        scheduleTick(index, life, TickInterval);
    });
}

void Fleet::pump(std::size_t index)
{
    auto& node = *m_nodes[index];
    for (auto& outgoing : measured(node, [&] { return node.membership->tick(); })) {
        Messages::PeerMessage message;
        message.__set_membership(outgoing.message);
        send(index, outgoing.receiverEndpoint, std::move(message));
    }
    if (!node.distribution)
        return;
    for (auto& outgoing : measured(node, [&] { return node.distribution->tick(); })) {
        auto endpoint = node.membership->endpointOf(outgoing.receiver);
        if (!endpoint)
            continue;
        Messages::PeerMessage message;
        message.__set_distribution(outgoing.message);
        send(index, *endpoint, std::move(message));
    }
    if (node.distribution->tryStartPlatformRead())
        readPlatform(index);
}

void Fleet::send(std::size_t from, Core::Endpoint const& to, Messages::PeerMessage message)
{
    auto& node = *m_nodes[from];
    auto datagram = std::make_shared<Datagram>();
    auto& traffic = message.__isset.membership ? node.membershipSent : node.distributionSent;
    ++traffic.messages;
    if (m_options.isSealed) {
        datagram->sealed = measured(node, [&] { return node.sealer->seal({ std::move(message) }); });
        traffic.bytes += datagram->sealed.size() + HeaderBytes;
        m_largestDatagram = std::max(m_largestDatagram, datagram->sealed.size());
    } else {
        datagram->sender = node.vm;
        datagram->incarnation = node.incarnation;
        datagram->message = std::move(message);
    }
    auto found = m_indexByPort.find(to.port);
    if (found == m_indexByPort.end())
        return;
    auto target = found->second;
    int copies = happens(m_options.duplication) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (happens(m_options.loss))
            continue;
        auto spread = (m_options.maximumDelay - m_options.minimumDelay).count() + 1;
        auto delay = m_options.minimumDelay + std::chrono::microseconds { m_random() % spread };
        schedule(delay, [this, from, target, datagram] { deliver(from, target, datagram); });
    }
}

void Fleet::deliver(std::size_t from, std::size_t to, std::shared_ptr<Datagram const> const& datagram)
{
    auto& node = *m_nodes[to];
    if (!node.isRunning || !isConnected(from, to))
        return;
    if (node.isPaused) {
        // The socket holds what arrives during a pause.
        schedule(TickInterval, [this, from, to, datagram] { deliver(from, to, datagram); });
        return;
    }
    auto const& endpoint = m_nodes[from]->endpoint;
    if (!m_options.isSealed) {
        dispatch(node, datagram->sender, datagram->incarnation, datagram->message, endpoint);
        pump(to);
        return;
    }
    ++node.received.messages;
    node.received.bytes += datagram->sealed.size() + HeaderBytes;
    auto envelope = measured(node, [&] { return node.opener->open(datagram->sealed); });
    if (!envelope)
        return;
    for (auto const& message : envelope->messages) {
        dispatch(node, Core::VmId { static_cast<std::uint64_t>(envelope->sender) },
            Core::Incarnation { static_cast<std::uint64_t>(envelope->incarnation) }, message, endpoint);
    }
    pump(to);
}

void Fleet::dispatch(Node& node, Core::VmId sender, Core::Incarnation incarnation, Messages::PeerMessage const& message,
    Core::Endpoint const& from)
{
    measured(node, [&] {
        if (message.__isset.membership)
            node.membership->receive(sender, incarnation, message.membership, from);
        if (message.__isset.distribution && node.distribution)
            node.distribution->receive(sender, message.distribution);
    });
}

void Fleet::readPlatform(std::size_t index)
{
    auto& node = *m_nodes[index];
    m_platform.countRead(m_clock.now());
    auto known = node.distribution->platformRevision();
    auto deadline = m_clock.now() + m_platform.watchTime;
    schedule(m_platform.answerTime,
        [this, index, life = node.life, known, deadline] { endRead(index, life, known, deadline); });
}

void Fleet::endRead(std::size_t index, unsigned life, Core::Revision known, Core::TimePoint deadline)
{
    auto& node = *m_nodes[index];
    if (!node.isRunning || node.life != life)
        return;
    if (!m_platform.isReachable(index)) {
        node.distribution->platformFailed();
        return;
    }
    auto const& copy = m_platform.copyFor(index);
    if (copy.revision.isValid() && copy.revision != known) {
        measured(node, [&] { node.distribution->offerPlatformCopy(copy.revision, copy.files); });
        return;
    }
    if (m_clock.now() >= deadline) {
        node.distribution->platformUnchanged();
        return;
    }
    schedule(100ms, [this, index, life, known, deadline] { endRead(index, life, known, deadline); });
}

void Fleet::run(std::chrono::milliseconds duration)
{
    auto end = m_clock.now() + duration;
    while (!m_events.empty() && m_events.top().due <= end) {
        auto event = m_events.top();
        m_events.pop();
        m_clock.set(event.due);
        event.action();
    }
    m_clock.set(end);
}

std::optional<std::chrono::milliseconds> Fleet::runUntil(
    std::function<bool()> const& condition, std::chrono::milliseconds limit)
{
    for (std::chrono::milliseconds passed { 0 }; passed <= limit; passed += TickInterval) {
        if (condition())
            return passed;
        run(TickInterval);
    }
    return std::nullopt;
}

Membership::MemberState Fleet::stateSeenBy(std::size_t observer, std::size_t subject) const
{
    for (auto const& member : m_nodes[observer]->membership->members()) {
        if (member.vm == m_nodes[subject]->vm)
            return member.state;
    }
    return Membership::MemberState::Dead;
}

bool Fleet::isKnownBy(std::size_t observer, std::size_t subject) const
{
    return m_nodes[observer]->membership->endpointOf(m_nodes[subject]->vm).has_value();
}

bool Fleet::isConverged() const
{
    std::unordered_map<Core::VmId, bool> isRunning;
    std::size_t running = 0;
    for (auto const& node : m_nodes) {
        isRunning[node->vm] = node->isRunning;
        running += node->isRunning ? 1 : 0;
    }
    for (auto const& node : m_nodes) {
        if (!node->isRunning)
            continue;
        std::size_t alive = 0;
        for (auto const& member : node->membership->members()) {
            if (member.state != Membership::MemberState::Alive)
                continue;
            if (!isRunning[member.vm])
                return false;
            ++alive;
        }
        if (alive != running)
            return false;
    }
    return true;
}

bool Fleet::isInForceEverywhere(Core::Revision revision) const
{
    for (auto const& node : m_nodes) {
        if (node->isRunning && node->distribution->revision() != revision)
            return false;
    }
    return true;
}

Traffic Fleet::totalTraffic() const
{
    Traffic total;
    for (auto const& node : m_nodes) {
        total.messages += node->membershipSent.messages + node->distributionSent.messages;
        total.bytes += node->membershipSent.bytes + node->distributionSent.bytes;
    }
    return total;
}

void Fleet::resetTraffic()
{
    for (auto& node : m_nodes) {
        node->membershipSent = {};
        node->distributionSent = {};
        node->received = {};
        node->processorTime = {};
    }
}

}
