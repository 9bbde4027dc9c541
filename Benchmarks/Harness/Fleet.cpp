#include <Harness/Fleet.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <absl/synchronization/mutex.h>

#include <algorithm>

namespace Chicorytally::Harness {

/// Envelope fields and tag (about 44 bytes) and the IP and UDP headers of a datagram.
static constexpr std::size_t DatagramOverhead = 72;

std::size_t encodedSize(Messages::PlacementMessage const& message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol { buffer };
    return message.write(&protocol);
}

Fleet::Fleet(FleetOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    // Debian's Abseil looks for lock cycles on every nested lock, which takes most of the time of a run.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    // Flow keys are spread by a hash anyway; the vector must not move its balancers while they run.
    m_balancers.reserve(64);
}

void Fleet::at(std::chrono::nanoseconds delay, std::function<void()> action)
{
    m_events.push({ now() + delay, m_order++, std::move(action) });
}

void Fleet::advance(std::chrono::nanoseconds duration)
{
    auto end = now() + duration;
    while (!m_events.empty() && m_events.top().time <= end) {
        auto action = std::move(const_cast<Event&>(m_events.top()).action);
        m_clock.set(m_events.top().time);
        m_events.pop();
        action();
    }
    m_clock.set(end);
}

std::chrono::nanoseconds Fleet::upTo(std::chrono::nanoseconds maximum)
{
    return std::chrono::nanoseconds { std::uniform_int_distribution<std::int64_t> { 0, maximum.count() }(m_random) };
}

bool Fleet::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<> {}(m_random) < probability;
}

std::chrono::nanoseconds Fleet::networkDelay()
{
    return m_options.minimumDelay + upTo(m_options.maximumDelay - m_options.minimumDelay);
}

std::size_t Fleet::indexOf(Core::VmId vm) const
{
    auto position = std::ranges::find(m_balancers, vm, &Balancer::vm);
    return static_cast<std::size_t>(position - m_balancers.begin());
}

Placement::MemberView Fleet::viewFor(std::size_t self) const
{
    Placement::MemberView view;
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
        auto const& balancer = m_balancers[i];
        if (m_gone.contains(i) && i != self)
            continue;
        auto status = Placement::MemberStatus::Alive;
        if (m_leaving.contains(i))
            status = Placement::MemberStatus::Leaving;
        if (m_balancers[self].cutFrom.contains(i))
            status = Placement::MemberStatus::Unreachable;
        view.members.push_back({ balancer.vm, balancer.incarnation, {}, status, {} });
    }
    std::ranges::sort(view.members, {}, &Placement::Member::vm);
    return view;
}

void Fleet::boot(std::size_t index, ConfigurationPointer const& configuration)
{
    auto& balancer = m_balancers[index];
    balancer.incarnation = Core::Incarnation { ++m_incarnation };
    ++balancer.generation;
    balancer.isAlive = true;
    balancer.isInFabric = true;
    balancer.isPaused = false;
    balancer.held.clear();
    balancer.knowledge = {};
    balancer.method = m_options.method(m_clock, { .self = balancer.vm, .hashKey = 77 }, m_options.hooks);
    balancer.method->applyMembers(viewFor(index));
    learn(index, configuration);
    poll(index, balancer.generation, 0);
}

void Fleet::start(ConfigurationPointer configuration)
{
    m_configuration = std::move(configuration);
    m_model.addConfiguration(*m_configuration);
    for (std::size_t i = 0; i < m_options.balancers; ++i) {
        m_balancers.emplace_back();
        m_balancers[i].name = "vm-" + std::to_string(i);
        m_balancers[i].vm = Model::vmId(m_balancers[i].name);
    }
    for (std::size_t i = 0; i < m_options.balancers; ++i)
        boot(i, m_configuration);
    // All have the incarnations of all.
    spreadMembers({});
    advance(std::chrono::seconds { 4 });
}

void Fleet::learn(std::size_t index, ConfigurationPointer configuration)
{
    auto& balancer = m_balancers[index];
    if (!balancer.isAlive)
        return;
    if (balancer.isPaused) {
        balancer.held.push_back([this, index, configuration] { learn(index, configuration); });
        return;
    }
    auto const& known = balancer.knowledge.configuration;
    if (known && known->revision >= configuration->revision)
        return;
    balancer.knowledge.learn(configuration, now());
    balancer.method->applyConfiguration(std::move(configuration));
}

void Fleet::spread(ConfigurationPointer const& configuration, std::chrono::nanoseconds maximumDelay)
{
    m_configuration = configuration;
    m_model.addConfiguration(*configuration);
    for (std::size_t i = 0; i < m_balancers.size(); ++i)
        at(upTo(maximumDelay), [this, i, configuration] { learn(i, configuration); });
}

void Fleet::spreadMembers(std::chrono::nanoseconds maximumDelay)
{
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
        at(upTo(maximumDelay), [this, i] {
            auto& balancer = m_balancers[i];
            if (!balancer.isAlive)
                return;
            auto apply = [this, i] { m_balancers[i].method->applyMembers(viewFor(i)); };
            if (balancer.isPaused)
                balancer.held.push_back(apply);
            else
                apply();
        });
    }
}

std::size_t Fleet::join()
{
    auto index = m_balancers.size();
    m_balancers.emplace_back();
    m_balancers[index].name = "vm-" + std::to_string(index);
    m_balancers[index].vm = Model::vmId(m_balancers[index].name);
    boot(index, m_configuration);
    spreadMembers(std::chrono::seconds { 1 });
    return index;
}

void Fleet::restart(std::size_t index)
{
    m_gone.erase(index);
    m_leaving.erase(index);
    boot(index, m_configuration);
    spreadMembers(std::chrono::seconds { 1 });
}

void Fleet::leave(std::size_t index)
{
    m_leaving.insert(index);
    m_balancers[index].method->prepareShutdown();
    m_balancers[index].isInFabric = false;
    spreadMembers(std::chrono::seconds { 1 });
    auto generation = m_balancers[index].generation;
    auto wait = std::make_shared<std::function<void(int)>>();
    *wait = [this, index, generation, wait](int rounds) {
        auto& balancer = m_balancers[index];
        if (balancer.generation != generation || !balancer.isAlive)
            return;
        bool isOver = balancer.method->isDrained() || rounds > 300;
        if (!isOver) {
            at(std::chrono::milliseconds { 100 }, [wait, rounds] { (*wait)(rounds + 1); });
            return;
        }
        // It goes on for 2 s after the last packets, as the daemon does.
        at(std::chrono::seconds { 2 }, [this, index, generation] {
            if (m_balancers[index].generation != generation)
                return;
            m_balancers[index].isAlive = false;
            m_gone.insert(index);
            spreadMembers(std::chrono::seconds { 1 });
        });
    };
    (*wait)(0);
}

void Fleet::crash(std::size_t index, std::chrono::nanoseconds detection)
{
    m_balancers[index].isAlive = false;
    m_balancers[index].isInFabric = false;
    ++m_balancers[index].generation;
    m_gone.insert(index);
    spreadMembers(detection);
}

void Fleet::pause(std::size_t index, std::chrono::nanoseconds duration, bool isNoticed)
{
    m_balancers[index].isPaused = true;
    if (isNoticed) {
        at(std::chrono::seconds { 1 }, [this, index] {
            m_gone.insert(index);
            spreadMembers(std::chrono::seconds { 2 });
        });
    }
    at(duration, [this, index, isNoticed] {
        auto& balancer = m_balancers[index];
        balancer.isPaused = false;
        // What waited in the sockets is handled before timers run.
        auto held = std::exchange(balancer.held, {});
        for (auto const& action : held)
            action();
        if (!isNoticed)
            return;
        m_gone.erase(index);
        spreadMembers(std::chrono::seconds { 2 });
    });
}

void Fleet::partition(std::set<std::size_t> const& side, std::chrono::nanoseconds detection)
{
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
        for (std::size_t j = 0; j < m_balancers.size(); ++j) {
            if (side.contains(i) != side.contains(j))
                m_balancers[i].cutFrom.insert(j);
        }
    }
    spreadMembers(detection);
}

void Fleet::heal(std::chrono::nanoseconds detection)
{
    for (auto& balancer : m_balancers)
        balancer.cutFrom.clear();
    spreadMembers(detection);
}

void Fleet::poll(std::size_t index, std::uint64_t generation, std::uint64_t round)
{
    auto& balancer = m_balancers[index];
    if (!balancer.isAlive || balancer.generation != generation)
        return;
    auto every = static_cast<std::uint64_t>(m_options.tickInterval / m_options.pollInterval);
    bool isDue = round % every == 0 || balancer.method->hasUrgentMessages();
    if (!balancer.isPaused && isDue) {
        auto messages = balancer.method->tick();
        std::set<Core::VmId> receivers;
        for (auto const& outgoing : messages) {
            // Messages to one receiver travel in one envelope as far as they fit.
            balancer.controlBytes += encodedSize(outgoing.message);
            receivers.insert(outgoing.receiver);
            deliver(index, outgoing);
        }
        balancer.controlBytes += receivers.size() * DatagramOverhead;
    }
    at(m_options.pollInterval, [this, index, generation, round] { poll(index, generation, round + 1); });
}

void Fleet::deliver(std::size_t from, Placement::OutgoingMessage const& outgoing)
{
    auto to = indexOf(outgoing.receiver);
    if (to >= m_balancers.size())
        return;
    std::size_t copies = chance(m_options.duplicates) ? 2 : 1;
    for (std::size_t i = 0; i < copies; ++i) {
        if (chance(m_options.loss))
            continue;
        // A duplicate may be late.
        auto delay = networkDelay() + upTo(m_options.extraControlDelay)
            + (i > 0 ? upTo(std::chrono::seconds { 1 }) : std::chrono::nanoseconds { 0 });
        at(delay, [this, from, to, message = outgoing.message] {
            auto& receiver = m_balancers[to];
            if (!receiver.isAlive || receiver.cutFrom.contains(from))
                return;
            auto sender = m_balancers[from].vm;
            if (receiver.isPaused)
                receiver.held.push_back(
                    [this, to, sender, message] { m_balancers[to].method->receive(sender, message); });
            else
                receiver.method->receive(sender, message);
        });
    }
}

void Fleet::send(Flow& flow, Placement::PacketKind kind)
{
    std::uniform_int_distribution<std::size_t> choice { 0, m_balancers.size() - 1 };
    for (int attempt = 0; attempt < 100; ++attempt) {
        auto index = choice(m_random);
        if (!m_balancers[index].isInFabric)
            continue;
        sendTo(index, flow, kind);
        return;
    }
}

void Fleet::sendTo(std::size_t index, Flow& flow, Placement::PacketKind kind)
{
    ++m_packets;
    handle(index, flow, { .flow = flow.key, .service = flow.service, .kind = kind });
}

void Fleet::handle(std::size_t index, Flow& flow, Placement::PacketInfo packet)
{
    auto& balancer = m_balancers[index];
    if (!balancer.isAlive) {
        flow.lastVerdict = Placement::Verdict::Drop;
        return;
    }
    if (balancer.isPaused) {
        flow.lastVerdict = Placement::Verdict::Drop;
        balancer.held.push_back([this, index, &flow, packet] { handle(index, flow, packet); });
        return;
    }
    auto decision = balancer.method->decide(packet);
    m_model.check(flow, { now(), balancer.name, balancer.knowledge, packet, decision });
    if (decision.verdict != Placement::Verdict::ForwardToPeer)
        return;
    ++m_peerHops;
    auto next = indexOf(decision.peer);
    if (next >= m_balancers.size() || balancer.cutFrom.contains(next) || chance(m_options.loss))
        return;
    ++packet.hopCount;
    packet.sender = balancer.vm;
    if (m_options.hasImmediateHops)
        handle(next, flow, packet);
    else
        at(networkDelay(), [this, next, &flow, packet] { handle(next, flow, packet); });
}

}
