#include "PeerChannel.h"

#include <LibTelemetry/Telemetry.h>

#include <array>
#include <poll.h>

namespace Chicorytally::Daemon {

// Header fields of an envelope in the compact protocol, at their greatest, and the tag.
static constexpr std::size_t EnvelopeOverhead = 40 + Messages::TagSize;

PeerChannel::PeerChannel(
    DataPath::UdpSocket udpSocket, Messages::KeyRing const& keys, Core::VmId self, Core::Incarnation incarnation)
    : m_socket(std::move(udpSocket))
    , m_sealingKey(keys.sealing)
    , m_self(self)
    , m_sealer(keys.sealing, self, incarnation)
    , m_opener(keys)
    , m_receiver(std::make_unique<DataPath::BatchReceiver>())
{
}

std::unique_ptr<PeerChannel> PeerChannel::create(Core::Endpoint const& endpoint, Messages::KeyRing const& keys,
    Core::VmId self, Core::Incarnation incarnation, std::string& error)
{
    DataPath::SocketError socketError;
    auto udpSocket = DataPath::UdpSocket::bind(endpoint, false, socketError);
    if (!udpSocket) {
        error = "--peer_address=" + endpoint.toString() + ": " + socketError.toString();
        return nullptr;
    }
    return std::unique_ptr<PeerChannel> { new PeerChannel { std::move(*udpSocket), keys, self, incarnation } };
}

void PeerChannel::setIncarnation(Core::Incarnation incarnation)
{
    m_sealer = Messages::EnvelopeSealer { m_sealingKey, m_self, incarnation };
}

void PeerChannel::queue(Core::Endpoint const& receiver, Messages::PeerMessage message)
{
    m_queue[receiver].push_back(std::move(message));
}

void PeerChannel::flush()
{
    for (auto& [receiver, messages] : m_queue) {
        std::vector<Messages::PeerMessage> batch;
        std::size_t batchSize = EnvelopeOverhead;
        for (auto& message : messages) {
            auto size = Messages::encodedSize(message);
            if (!batch.empty() && batchSize + size > MaxControlDatagram) {
                send(receiver, std::move(batch));
                batch.clear();
                batchSize = EnvelopeOverhead;
            }
            batchSize += size;
            batch.push_back(std::move(message));
        }
        if (!batch.empty())
            send(receiver, std::move(batch));
    }
    m_queue.clear();
}

void PeerChannel::send(Core::Endpoint const& receiver, std::vector<Messages::PeerMessage> messages)
{
    auto datagram = m_sealer.seal(std::move(messages));
    if (!m_socket.send({ {}, datagram, receiver })) {
        ++m_counters.sendFailures;
        return;
    }
    ++m_counters.datagramsSent;
    m_counters.bytesSent += datagram.size();
}

void PeerChannel::receive(std::chrono::milliseconds timeout, WakeEvent const& event, Handler const& handler)
{
    std::array<pollfd, 2> descriptors { { { m_socket.fileDescriptor(), POLLIN, 0 },
        { event.fileDescriptor(), POLLIN, 0 } } };
    poll(descriptors.data(), descriptors.size(), static_cast<int>(timeout.count()));
    event.clear();
    for (auto const& datagram : m_receiver->receive(m_socket)) {
        ++m_counters.datagramsReceived;
        m_counters.bytesReceived += datagram.bytes.size();
        auto envelope = m_opener.open(datagram.bytes);
        if (!envelope) {
            ++m_counters.rejected;
            Telemetry::logEvent(Telemetry::Level::Debug, "peer_message_rejected",
                { { "from", datagram.from.toString() }, { "reason", Messages::toString(m_opener.lastError()) } });
            continue;
        }
        handler(*envelope, datagram.from);
    }
}

}
