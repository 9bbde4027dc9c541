#include <LibRelay/PeerMessenger.h>

#include <LibTelemetry/Telemetry.h>

namespace Chicorytally::Relay {

using Telemetry::Level;
using Telemetry::logEvent;

std::unique_ptr<PeerMessenger> PeerMessenger::create(
    EventLoop::Loop& loop, PeerMessengerOptions const& options, ReceiveHook receive, std::string& error)
{
    DataPath::SocketError socketError;
    auto socket = DataPath::UdpSocket::bind(options.address, false, socketError);
    if (!socket) {
        error = socketError.toString();
        return nullptr;
    }
    return std::unique_ptr<PeerMessenger> { new PeerMessenger {
        loop, options, std::move(*socket), std::move(receive) } };
}

PeerMessenger::PeerMessenger(
    EventLoop::Loop& loop, PeerMessengerOptions const& options, DataPath::UdpSocket socket, ReceiveHook receive)
    : m_socket(std::move(socket))
    , m_receiver(std::make_unique<DataPath::BatchReceiver>())
    , m_sealer(options.keys.sealing, options.self, options.incarnation)
    , m_opener(options.keys)
    , m_receive(std::move(receive))
    , m_subscription(loop.onReadable(m_socket.fileDescriptor(), [this] { receiveBatch(); }))
{
}

std::size_t PeerMessenger::send(std::vector<Core::Endpoint> const& receivers, Messages::PeerMessage const& message)
{
    if (receivers.empty())
        return 0;
    bool isSent = false;
    auto datagram = m_sealer.seal({ message });
    for (auto const& receiver : receivers) {
        ++m_counters.sent;
        if (m_socket.send({ .header = datagram, .body = {}, .to = receiver }))
            isSent = true;
        else
            ++m_counters.sendFailures;
    }
    return isSent ? datagram.size() : 0;
}

void PeerMessenger::receiveBatch()
{
    for (auto const& datagram : m_receiver->receive(m_socket)) {
        ++m_counters.received;
        auto envelope = m_opener.open(datagram.bytes);
        if (!envelope) {
            ++m_counters.rejected;
            logEvent(Level::Debug, "peer_message_rejected",
                { { "from", datagram.from.toString() }, { "cause", toString(m_opener.lastError()) } });
            continue;
        }
        for (auto const& message : envelope->messages)
            m_receive(message, { datagram.from, datagram.bytes.size() });
    }
}

}
