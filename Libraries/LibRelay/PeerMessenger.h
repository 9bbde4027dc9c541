#pragma once

#include <LibCore/Core.h>
#include <LibDataPath/DataPath.h>
#include <LibEventLoop/EventLoop.h>
#include <LibMessages/Messages.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Chicorytally::Relay {

struct PeerMessengerOptions {
    Core::Endpoint address;
    Core::VmId self;
    /// Increases with each restart. Receivers ignore datagrams of an older incarnation.
    Core::Incarnation incarnation;
    Messages::KeyRing keys;
};

/// Counts since the start of the process.
struct PeerMessengerCounters {
    std::uint64_t sent { 0 };
    /// Datagrams that the kernel refused to send.
    std::uint64_t sendFailures { 0 };
    std::uint64_t received { 0 };
    /// Datagrams that were not authentic, were malformed or were replayed.
    std::uint64_t rejected { 0 };
};

/// Exchanges authenticated datagrams with other balancers. Lost datagrams are not retransmitted.
class PeerMessenger {
public:
    /// The source and the size of a received datagram, without UDP and IP headers.
    struct Origin {
        Core::Endpoint from;
        std::size_t datagramSize { 0 };
    };

    using ReceiveHook = std::function<void(Messages::PeerMessage const&, Origin const&)>;

    /// Returns null and sets the error if the address can't be bound.
    static std::unique_ptr<PeerMessenger> create(
        EventLoop::Loop&, PeerMessengerOptions const&, ReceiveHook, std::string& error);
    PeerMessenger(PeerMessenger const&) = delete;
    PeerMessenger& operator=(PeerMessenger const&) = delete;

    /// Returns the size of the datagram in bytes, without UDP and IP headers, or 0 if it was sent to no receiver.
    std::size_t send(std::vector<Core::Endpoint> const& receivers, Messages::PeerMessage const&);
    PeerMessengerCounters const& counters() const { return m_counters; }

private:
    PeerMessenger(EventLoop::Loop&, PeerMessengerOptions const&, DataPath::UdpSocket, ReceiveHook);
    void receiveBatch();

    DataPath::UdpSocket m_socket;
    std::unique_ptr<DataPath::BatchReceiver> m_receiver;
    Messages::EnvelopeSealer m_sealer;
    Messages::EnvelopeOpener m_opener;
    ReceiveHook m_receive;
    std::unique_ptr<EventLoop::EventRegistration> m_subscription;
    PeerMessengerCounters m_counters;
};

}
