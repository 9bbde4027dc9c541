#include "Bench.h"

#include <Allocations/AllocationCounter.h>

#include <iostream>
#include <random>

namespace Chicorytally::Benchmarks {

static constexpr std::size_t UpstreamCount = 15;
static constexpr std::size_t PayloadSize = 100;
static constexpr std::uint64_t HashKey = 99;
static constexpr std::size_t TcpFlagsOffset = Packet::GueHeaderSize + 20 + 13;
static constexpr std::chrono::milliseconds TickInterval { 100 };
static constexpr Core::VmId Self { 1 };

static Core::Endpoint serviceAddress() { return *Core::Endpoint::parse("198.51.100.10:7000"); }

static DataPath::UdpSocket bindAnywhere()
{
    DataPath::SocketError error;
    auto udpSocket = DataPath::UdpSocket::bind({ *Core::IpAddress::parse("127.0.0.1"), 0 }, false, error);
    if (udpSocket)
        return std::move(*udpSocket);
    std::cerr << error.toString() << "\n";
    std::exit(1);
}

static void ignore(std::string const&) { }

Bench::Bench(std::uint64_t seed)
    : m_tracer({ .vmName = "bench", .key = HashKey }, ignore)
    , m_engine(m_clock, { .self = Self, .hashKey = HashKey }, {})
    , m_fabric(bindAnywhere())
    , m_upstream(bindAnywhere())
{
    DataPath::PipelineOptions options;
    options.dataAddress = { *Core::IpAddress::parse("127.0.0.1"), 0 };
    options.self = Self;
    options.flowHashKey = HashKey;
    // The batches are full by design here, which would count as overload and shed the opens.
    options.admission.opensPerOverloadedBatch = DataPath::BatchSize;
    DataPath::PipelineHooks hooks;
    hooks.decide = [this](Placement::PacketInfo const& info) { return m_engine.decide(info); };
    std::string error;
    m_pipeline = DataPath::Pipeline::create(m_clock, options, hooks, m_metrics, &m_tracer, error);
    if (!m_pipeline) {
        std::cerr << error << "\n";
        std::exit(1);
    }
    applyMembers();
    applyConfiguration();
    buildPackets(seed);
}

void Bench::applyConfiguration()
{
    auto configuration = std::make_shared<Model::Configuration>();
    configuration->revision = Core::Revision { 1 };
    configuration->zones.push_back({ .id = Model::zoneId("a"), .name = "a" });
    Model::Service service;
    service.id = Model::serviceId("register", serviceAddress(), Core::Protocol::Tcp);
    service.name = "register";
    service.address = serviceAddress();
    for (std::size_t i = 0; i < UpstreamCount; ++i) {
        Model::Upstream upstream;
        upstream.name = "register-" + std::to_string(i);
        upstream.address = m_upstream.localEndpoint();
        upstream.id = Model::upstreamId(service.id, upstream.name, upstream.address);
        upstream.zone = Model::zoneId("a");
        service.upstreams.push_back(std::move(upstream));
    }
    std::ranges::sort(service.upstreams, {}, &Model::Upstream::id);
    configuration->services.push_back(std::move(service));
    m_pipeline->applyConfiguration(*configuration);
    m_engine.applyConfiguration(configuration);
}

void Bench::applyMembers()
{
    Placement::Member self { .vm = Self, .incarnation = Core::Incarnation { 1 }, .zone = Model::zoneId("a") };
    self.revision = Core::Revision { 1 };
    m_engine.applyMembers({ { self } });
}

void Bench::buildPackets(std::uint64_t seed)
{
    std::mt19937_64 random { seed };
    std::vector<std::uint8_t> payload(PayloadSize, 'x');
    m_packets.reserve(FlowCount);
    for (std::size_t i = 0; i < FlowCount; ++i) {
        std::array<std::uint8_t, 4> address { 10, static_cast<std::uint8_t>(random()),
            static_cast<std::uint8_t>(random()), static_cast<std::uint8_t>(random()) };
        Core::Endpoint source { Core::IpAddress::fromV4(address), static_cast<std::uint16_t>(random()) };
        auto inner = Packet::buildPacket(
            { .flow = { source, serviceAddress(), Core::Protocol::Tcp }, .tcpFlags = Packet::Ack, .payload = payload });
        auto header = *Packet::buildGueHeader(inner);
        std::vector<std::uint8_t> datagram { header.begin(), header.end() };
        datagram.insert(datagram.end(), inner.begin(), inner.end());
        m_packets.push_back(std::move(datagram));
    }
}

// The engine takes itself for paused when its control ticks stop.
void Bench::tickWhenDue()
{
    if (m_clock.now() < m_nextTick)
        return;
    m_engine.tick();
    m_nextTick = m_clock.now() + TickInterval;
}

void Bench::sendBatch(unsigned tcpFlags)
{
    tickWhenDue();
    auto destination = m_pipeline->worker(0).socket().localEndpoint();
    for (std::size_t i = 0; i < DataPath::BatchSize; ++i) {
        auto& packet = m_packets[m_next++ % FlowCount];
        packet[TcpFlagsOffset] = static_cast<std::uint8_t>(tcpFlags);
        m_sender.add({ {}, packet, destination });
    }
    m_lost += m_sender.flush(m_fabric);
}

void Bench::takeForwarded()
{
    std::size_t taken = 0;
    while (auto count = m_receiver->receive(m_upstream).size())
        taken += count;
    m_lost += DataPath::BatchSize - taken;
}

std::chrono::nanoseconds Bench::runChain(std::size_t batches, unsigned tcpFlags)
{
    std::chrono::nanoseconds sum { 0 };
    for (std::size_t i = 0; i < batches; ++i) {
        sendBatch(tcpFlags);
        auto allocations = allocationCount();
        auto start = m_clock.now();
        m_pipeline->worker(0).runOnce();
        sum += m_clock.now() - start;
        m_allocations += allocationCount() - allocations;
        takeForwarded();
    }
    return sum;
}

std::chrono::nanoseconds Bench::runEcho(std::size_t batches)
{
    auto const& udpSocket = m_pipeline->worker(0).socket();
    auto destination = m_upstream.localEndpoint();
    std::chrono::nanoseconds sum { 0 };
    for (std::size_t i = 0; i < batches; ++i) {
        sendBatch(Packet::Ack);
        auto start = m_clock.now();
        for (auto const& datagram : m_echoReceiver->receive(udpSocket))
            m_echoSender.add({ {}, datagram.bytes, destination });
        m_echoSender.flush(udpSocket);
        sum += m_clock.now() - start;
        takeForwarded();
    }
    return sum;
}

}
