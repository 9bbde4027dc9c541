#pragma once

/// Parts that the stand-ins share. A stand-in takes the place of a system outside chicorytally, in tests and examples
/// only.

#include <LibDataPath/DataPath.h>
#include <LibPacket/Packet.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>

namespace Chicorytally::StandIns {

inline volatile std::sig_atomic_t s_isStopping = 0;
inline volatile std::sig_atomic_t s_isReloadDue = 0;

inline void stopOnSignals()
{
    auto handler = [](int) { s_isStopping = 1; };
    std::signal(SIGTERM, handler);
    std::signal(SIGINT, handler);
}

inline void reloadOnHangup()
{
    std::signal(SIGHUP, [](int) { s_isReloadDue = 1; });
}

/// The inner packet of a GUE datagram; nothing when it is malformed.
inline std::optional<Packet::ParsedPacket> unwrap(Packet::Bytes datagram)
{
    auto encapsulated = Packet::parseGue(datagram);
    auto error = Packet::ParseError::None;
    return encapsulated ? Packet::parse(encapsulated->inner, error) : std::nullopt;
}

inline Core::Endpoint endpointOrExit(std::string_view flag, std::string const& text)
{
    if (auto endpoint = Core::Endpoint::parse(text))
        return *endpoint;
    std::cerr << "--" << flag << "=" << text << ": write IP:PORT\n";
    std::exit(2);
}

inline DataPath::UdpSocket bindOrExit(Core::Endpoint const& endpoint)
{
    DataPath::SocketError error;
    if (auto udpSocket = DataPath::UdpSocket::bind(endpoint, false, error))
        return std::move(*udpSocket);
    std::cerr << error.toString() << "\n";
    std::exit(1);
}

inline void sendInGue(DataPath::UdpSocket& udpSocket, Packet::Bytes inner, Core::Endpoint const& to)
{
    if (auto header = Packet::buildGueHeader(inner))
        udpSocket.send({ *header, inner, to });
}

/// The flow key of an answer.
inline Core::FlowKey reversed(Core::FlowKey const& flow) { return { flow.destination, flow.source, flow.protocol }; }

inline std::string_view textOf(Packet::Bytes bytes)
{
    return { reinterpret_cast<char const*>(bytes.data()), bytes.size() };
}

inline Packet::Bytes bytesOf(std::string_view text)
{
    return { reinterpret_cast<std::uint8_t const*>(text.data()), text.size() };
}

}
