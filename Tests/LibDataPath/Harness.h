#pragma once

#include <LibDataPath/DataPath.h>

#include <boost/test/unit_test.hpp>

#include <deque>

namespace Chicorytally::Placement {

inline std::ostream& operator<<(std::ostream& stream, Verdict verdict) { return stream << toString(verdict); }

}

namespace Chicorytally {

inline Core::Endpoint endpoint(char const* text) { return *Core::Endpoint::parse(text); }

inline Core::Endpoint const Register = endpoint("198.51.100.10:7000");
inline Core::Endpoint const Packs = endpoint("198.51.100.11:7000");
inline Core::Endpoint const RegisterV6 = endpoint("[2001:db8::10]:7000");

inline Model::Service serviceAt(char const* name, Core::Endpoint const& address, Core::Protocol protocol)
{
    Model::Service service;
    service.id = Model::serviceId(name, address, protocol);
    service.name = name;
    service.address = address;
    service.protocol = protocol;
    return service;
}

inline Model::Configuration exampleConfiguration()
{
    Model::Configuration configuration;
    configuration.services = { serviceAt("register", Register, Core::Protocol::Tcp),
        serviceAt("register-udp", Register, Core::Protocol::Udp), serviceAt("packs", Packs, Core::Protocol::Tcp),
        serviceAt("register-v6", RegisterV6, Core::Protocol::Tcp) };
    return configuration;
}

/// Binds a UDP socket to a free port of the loopback address.
inline DataPath::UdpSocket bindLoopback()
{
    DataPath::SocketError error;
    auto udpSocket = DataPath::UdpSocket::bind({ *Core::IpAddress::parse("127.0.0.1"), 0 }, false, error);
    BOOST_REQUIRE_MESSAGE(udpSocket, error.toString());
    return std::move(*udpSocket);
}

/// Builds a packet from a caller to the service. The port identifies the caller.
inline std::vector<std::uint8_t> callerPacket(std::uint16_t port, unsigned flags,
    Core::Endpoint const& service = Register, Core::Protocol protocol = Core::Protocol::Tcp)
{
    auto address = *Core::IpAddress::parse(service.address.isV4() ? "10.9.0.1" : "2001:db8::9");
    return Packet::buildPacket(
        { .flow = { { address, port }, service, protocol }, .tcpFlags = static_cast<std::uint8_t>(flags) });
}

/// A pipeline with a fake placement engine and sockets for the fabric, an upstream and a peer. The test runs the worker
/// itself.
class Harness {
public:
    explicit Harness(DataPath::PipelineOptions options = {}, Telemetry::Tracer* tracer = nullptr)
    {
        options.dataAddress = { *Core::IpAddress::parse("127.0.0.1"), 0 };
        options.self = Core::VmId { 1 };
        options.hopKeys.sealing = { 7 };
        DataPath::PipelineHooks hooks;
        hooks.decide = [this](Placement::PacketInfo const& info) {
            decided.push_back(info);
            return decision;
        };
        hooks.isRefusingOpens = [this] { return isRefusingOpens; };
        std::string error;
        pipeline = DataPath::Pipeline::create(clock, options, hooks, metrics, tracer, error);
        BOOST_REQUIRE_MESSAGE(pipeline, error);
        pipeline->applyConfiguration(exampleConfiguration());
        pipeline->applyPeers({ { PeerVm, peer.localEndpoint() } });
        decision = { .verdict = Placement::Verdict::Forward,
            .reason = Placement::Reason::Steady,
            .upstream = Core::UpstreamId { 5 },
            .destination = upstream.localEndpoint() };
    }

    void decide(Placement::Verdict verdict) { decision.verdict = verdict; }

    Core::Endpoint dataEndpoint() { return pipeline->worker(0).socket().localEndpoint(); }

    void sendFromFabric(std::vector<std::uint8_t> const& inner)
    {
        fabric.send({ *Packet::buildGueHeader(inner), inner, dataEndpoint() });
    }

    void sendFromPeer(
        std::vector<std::uint8_t> const& inner, Packet::PeerHop const& hop, Packet::HopKey const& key = { 7 })
    {
        peer.send({ *Packet::buildGueHopHeader(inner, hop, key), inner, dataEndpoint() });
    }

    std::size_t run() { return pipeline->worker(0).runOnce(); }

    /// Receives the datagrams that are queued on a socket of the test.
    std::deque<std::vector<std::uint8_t>> receivedBy(DataPath::UdpSocket const& udpSocket)
    {
        std::deque<std::vector<std::uint8_t>> received;
        for (auto const& datagram : m_receiver->receive(udpSocket))
            received.emplace_back(datagram.bytes.begin(), datagram.bytes.end());
        return received;
    }

    bool hasMetric(std::string const& line) const
    {
        return metrics.renderText().find(line + "\n") != std::string::npos;
    }

    static constexpr Core::VmId PeerVm { 2 };

    Core::ManualClock clock;
    Telemetry::Metrics metrics;
    DataPath::UdpSocket fabric { bindLoopback() };
    DataPath::UdpSocket upstream { bindLoopback() };
    DataPath::UdpSocket peer { bindLoopback() };
    Placement::Decision decision;
    bool isRefusingOpens { false };
    std::vector<Placement::PacketInfo> decided;
    std::unique_ptr<DataPath::Pipeline> pipeline;

private:
    std::unique_ptr<DataPath::BatchReceiver> m_receiver { std::make_unique<DataPath::BatchReceiver>() };
};

}
