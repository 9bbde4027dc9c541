/// Stand-in for an upstream: accepts TCP flows in GUE, answers each request with its own name and the request, and
/// resets packets of flows that it doesn't know. Answers go to the caller directly.

#include "StandIn.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <set>

ABSL_FLAG(std::string, listen, "", "IP:PORT that takes GUE packets.");
ABSL_FLAG(std::string, name, "upstream", "Name that answers carry.");

using namespace Chicorytally;
using namespace Chicorytally::StandIns;

namespace {

class Server {
public:
    explicit Server(std::string name)
        : m_name(std::move(name))
    {
    }

    /// The answer to a packet; empty when there is none.
    std::vector<std::uint8_t> answer(Packet::ParsedPacket const& packet)
    {
        if (packet.tcpFlags & Packet::Rst) {
            m_flows.erase(packet.flow);
            return {};
        }
        if (packet.isOpening()) {
            m_flows.insert(packet.flow);
            return build(packet, Packet::Syn | Packet::Acknowledgement, {});
        }
        if (!m_flows.contains(packet.flow))
            return build(packet, Packet::Rst, {});
        if (packet.tcpFlags & Packet::Fin) {
            m_flows.erase(packet.flow);
            return build(packet, Packet::Fin | Packet::Acknowledgement, {});
        }
        if (packet.payload.empty())
            return {};
        return build(
            packet, Packet::Push | Packet::Acknowledgement, m_name + " " + std::string { textOf(packet.payload) });
    }

private:
    static std::vector<std::uint8_t> build(Packet::ParsedPacket const& packet, unsigned flags, std::string const& text)
    {
        auto acknowledged = packet.tcpSequence + static_cast<std::uint32_t>(packet.payload.size());
        return Packet::buildPacket({ reversed(packet.flow), static_cast<std::uint8_t>(flags), packet.tcpAcknowledgement,
            acknowledged, bytesOf(text) });
    }

    std::string m_name;
    std::set<Core::FlowKey> m_flows;
};

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    stopOnSignals();
    auto udpSocket = bindOrExit(endpointOrExit("listen", absl::GetFlag(FLAGS_listen)));
    auto receiver = std::make_unique<DataPath::BatchReceiver>();
    Server server { absl::GetFlag(FLAGS_name) };

    while (!s_isStopping) {
        udpSocket.waitReadable(std::chrono::milliseconds { 50 });
        for (auto const& datagram : receiver->receive(udpSocket)) {
            auto encapsulated = Packet::parseGue(datagram.bytes);
            auto error = Packet::ParseError::None;
            auto packet = encapsulated ? Packet::parse(encapsulated->inner, error) : std::nullopt;
            if (!packet)
                continue;
            auto answer = server.answer(*packet);
            if (!answer.empty())
                sendInGue(udpSocket, answer, { packet->flow.source.address, Packet::GuePort });
        }
    }
    return 0;
}
