#pragma once

#include "WakeEvent.h"

#include <LibDataPath/DataPath.h>
#include <LibMessages/Messages.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Chicorytally::Daemon {

/// Greatest datagram between balancers; fits any path without fragmentation (IPv6 minimum MTU of 1,280 bytes).
constexpr std::size_t MaxControlDatagram = 1200;

/// Control traffic since the start, for metrics.
struct PeerChannelCounters {
    std::atomic<std::uint64_t> datagramsSent { 0 };
    std::atomic<std::uint64_t> datagramsReceived { 0 };
    std::atomic<std::uint64_t> bytesSent { 0 };
    std::atomic<std::uint64_t> bytesReceived { 0 };
    std::atomic<std::uint64_t> rejected { 0 };
    std::atomic<std::uint64_t> sendFailures { 0 };
};

/// Sends and receives authenticated messages between balancers over one UDP socket. Used by the control thread only;
/// the counters may be read by any thread.
class PeerChannel {
public:
    using Handler = std::function<void(Messages::Envelope const&, Core::Endpoint const& from)>;

    /// Nothing when the socket can't be bound; the error says why.
    static std::unique_ptr<PeerChannel> create(
        Core::Endpoint const&, Messages::KeyRing const&, Core::VmId self, Core::Incarnation, std::string& error);

    /// Adds a message to what flush() sends.
    void queue(Core::Endpoint const& receiver, Messages::PeerMessage);
    /// Seals the queued messages, as many as fit into a datagram, and sends them.
    void flush();
    /// Waits for datagrams or the event, at most for the time given, and passes each authentic envelope to the handler.
    void receive(std::chrono::milliseconds timeout, WakeEvent const&, Handler const&);

    /// A process that was declared dead goes on under a greater incarnation.
    void setIncarnation(Core::Incarnation);
    PeerChannelCounters const& counters() const { return m_counters; }

private:
    PeerChannel(DataPath::UdpSocket, Messages::KeyRing const&, Core::VmId self, Core::Incarnation);

    void send(Core::Endpoint const& receiver, std::vector<Messages::PeerMessage>);

    DataPath::UdpSocket m_socket;
    Messages::PeerKey m_sealingKey;
    Core::VmId m_self;
    Messages::EnvelopeSealer m_sealer;
    Messages::EnvelopeOpener m_opener;
    std::unique_ptr<DataPath::BatchReceiver> m_receiver;
    std::map<Core::Endpoint, std::vector<Messages::PeerMessage>> m_queue;
    PeerChannelCounters m_counters;
};

}
