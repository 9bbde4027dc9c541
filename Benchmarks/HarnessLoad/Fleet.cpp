#include <HarnessLoad/Fleet.h>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>

namespace Chicorytally::Benchmarks {

Fleet::Fleet(std::uint64_t seed, NetworkShape network)
    : m_random(seed)
    , m_network(network)
{
}

void Fleet::setConfiguration(std::shared_ptr<Model::Configuration const> configuration)
{
    m_configuration = std::move(configuration);
    for (auto& balancer : m_balancers) {
        if (balancer.isAlive)
            balancer.controller->applyConfiguration(m_configuration);
    }
}

std::size_t Fleet::start(Core::VmId vm, Core::Incarnation incarnation, Core::ZoneId zone)
{
    Load::LoadOptions options { .self = vm, .zone = zone, .incarnation = incarnation };
    auto controller = std::make_unique<Load::LoadController>(m_clock, options);
    controller->applyConfiguration(m_configuration);
    m_balancers.push_back({ vm, incarnation, zone, std::move(controller), true, false, now(), std::nullopt });
    applyMembers(m_balancers.size() - 1);
    return m_balancers.size() - 1;
}

std::size_t Fleet::add(Core::ZoneId zone)
{
    auto vm = Model::vmId("vm-" + std::to_string(m_balancers.size()));
    return start(vm, Core::Incarnation { 1 }, zone);
}

void Fleet::crash(std::size_t index)
{
    m_balancers[index].isAlive = false;
    m_balancers[index].endedAt = now();
}

std::size_t Fleet::restart(std::size_t index)
{
    auto const& ended = m_balancers[index];
    return start(ended.vm, Core::Incarnation { ended.incarnation.value() + 1 }, ended.zone);
}

void Fleet::setPaused(std::size_t index, bool isPaused) { m_balancers[index].isPaused = isPaused; }

bool Fleet::canReach(std::size_t from, std::size_t to) const
{
    auto isInSide = [&](std::size_t index) { return std::ranges::find(m_partition, index) != m_partition.end(); };
    return isInSide(from) == isInSide(to);
}

// A balancer that was just started is listed by the others after a message from it or after a second; the one that
// starts knows all that run, which is the seed list of the platform.
void Fleet::applyMembers(std::size_t index)
{
    std::vector<Load::LoadMember> members;
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
        auto const& other = m_balancers[i];
        bool isListed = now() - other.startedAt >= std::chrono::seconds { 1 } || i <= index;
        if (i == index || !isListed)
            continue;
        auto status = Load::MemberStatus::Alive;
        auto downFor = other.endedAt ? now() - *other.endedAt : Core::TimePoint::duration {};
        if (!canReach(index, i) || downFor >= SuspicionTime)
            status = Load::MemberStatus::Unreachable;
        if (other.endedAt && downFor >= ConfirmationTime && !m_isPlatformDown)
            status = Load::MemberStatus::Gone;
        members.push_back({ other.vm, status, other.incarnation });
    }
    m_balancers[index].controller->applyMembers(members);
}

bool Fleet::isOwner(std::size_t index) const
{
    auto const& balancer = m_balancers[index];
    if (!balancer.isAlive)
        return now() - *balancer.endedAt < SuspicionTime;
    return balancer.controller->isReady();
}

std::optional<std::size_t> Fleet::runningOn(Core::VmId vm) const
{
    for (std::size_t i = m_balancers.size(); i-- > 0;) {
        if (m_balancers[i].vm == vm && m_balancers[i].isAlive)
            return i;
    }
    return std::nullopt;
}

void Fleet::deliver()
{
    while (!m_messages.empty() && m_messages.begin()->first <= now()) {
        auto delivery = std::move(m_messages.begin()->second);
        m_messages.erase(m_messages.begin());
        auto receiver = runningOn(delivery.message.receiver);
        if (!receiver)
            continue;
        if (m_balancers[*receiver].isPaused) {
            m_messages.emplace(now() + Tick, std::move(delivery));
            continue;
        }
        m_balancers[*receiver].controller->receive(delivery.sender, delivery.message.message);
    }
}

static std::uint64_t sizeOf(Messages::LoadMessage const& message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol { buffer };
    message.write(&protocol);
    return buffer->available_read();
}

void Fleet::send(std::size_t from)
{
    std::uniform_int_distribution<std::int64_t> delay { m_network.delay.count(), m_network.greatestDelay.count() };
    std::bernoulli_distribution isLost { m_network.loss };
    for (auto& message : m_balancers[from].controller->tick()) {
        m_sentBytes += sizeOf(message.message);
        auto receiver = runningOn(message.receiver);
        if (!receiver || !canReach(from, *receiver) || isLost(m_random))
            continue;
        auto due = now() + std::chrono::milliseconds { delay(m_random) };
        m_messages.emplace(due, Delivery { m_balancers[from].vm, std::move(message) });
    }
}

void Fleet::step()
{
    m_clock.advance(Tick);
    tickAll();
}

void Fleet::tickAll()
{
    deliver();
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
        if (!isRunning(i))
            continue;
        applyMembers(i);
        send(i);
        for (auto const& target : m_balancers[i].controller->probesDue()) {
            auto report = probe ? probe(i, target.upstream) : Load::UpstreamReport {};
            m_balancers[i].controller->recordReport(
                target.upstream, report.value_or(Load::UpstreamReport { .isHealthy = false }));
        }
    }
}

void Fleet::run(std::chrono::milliseconds duration)
{
    for (auto end = now() + duration; now() < end;)
        step();
}

}
