/// Stand-in for callers: opens TCP flows through the fabric, sends requests on them and checks that each answer is
/// whole, belongs to the request and comes from the upstream that answered before. Prints one line of figures at the
/// end.

#include "StandIn.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <map>

ABSL_FLAG(std::string, listen, "127.0.9.1:6080", "IP:PORT that takes answers in GUE; flows carry this IP number.");
ABSL_FLAG(std::string, fabric, "127.0.8.1:6080", "IP:PORT of the fabric.");
ABSL_FLAG(std::string, service, "198.51.100.10:7000", "IP:PORT of the service.");
ABSL_FLAG(std::string, upstream_prefix, "", "What the names of the service's upstreams start with.");
ABSL_FLAG(int, flows, 100, "Flows to open.");
ABSL_FLAG(int, requests, 10, "Requests on each flow.");
ABSL_FLAG(int, interval_ms, 10, "Pause between the rounds of requests.");

using namespace Chicorytally;
using namespace Chicorytally::StandIns;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t FirstPort = 20000;
constexpr auto RetransmissionTimeout = 200ms;
constexpr int MaxAttempts = 10;

struct Flow {
    Core::FlowKey key;
    std::string upstream;
    std::string expected;
    bool isAnswered { false };
    bool isBroken { false };
};

struct Figures {
    int answered { 0 };
    int broken { 0 };
    int unanswered { 0 };
    int wrongService { 0 };
};

class Caller {
public:
    Caller(DataPath::UdpSocket udpSocket, Core::Endpoint fabric)
        : m_socket(std::move(udpSocket))
        , m_fabric(fabric)
    {
    }

    void open(Core::Endpoint const& source, Core::Endpoint const& service, int count)
    {
        for (int i = 0; i < count; ++i) {
            Core::FlowKey key { { source.address, static_cast<std::uint16_t>(FirstPort + i) }, service,
                Core::Protocol::Tcp };
            m_flows[key] = { .key = key };
        }
        exchange(Packet::Syn, [](Flow&) { return std::string {}; });
    }

    void request(int round)
    {
        auto text = [round](Flow& flow) { return absl::StrCat("request ", flow.key.source.port, " ", round); };
        exchange(Packet::Push | Packet::Acknowledgement, text);
    }

    void close()
    {
        exchange(Packet::Fin | Packet::Acknowledgement, [](Flow&) { return std::string {}; });
    }

    Figures figures(std::string const& upstreamPrefix) const
    {
        auto figures = m_figures;
        for (auto const& [key, flow] : m_flows) {
            figures.broken += flow.isBroken;
            figures.wrongService += !flow.upstream.empty() && !flow.upstream.starts_with(upstreamPrefix);
        }
        return figures;
    }

private:
    // Sends one packet on each flow and repeats it until every flow has its answer or is broken.
    template <typename TextOf> void exchange(unsigned flags, TextOf textOf)
    {
        for (auto& [key, flow] : m_flows) {
            flow.expected = textOf(flow);
            flow.isAnswered = false;
        }
        for (int attempt = 0; attempt < MaxAttempts; ++attempt) {
            if (sendUnanswered(static_cast<std::uint8_t>(flags)) == 0)
                return;
            receiveUntil(std::chrono::steady_clock::now() + RetransmissionTimeout);
        }
        for (auto& [key, flow] : m_flows)
            m_figures.unanswered += !flow.isAnswered && !flow.isBroken;
    }

    int sendUnanswered(std::uint8_t flags)
    {
        int count = 0;
        for (auto& [key, flow] : m_flows) {
            if (flow.isAnswered || flow.isBroken)
                continue;
            sendInGue(m_socket, Packet::buildPacket({ key, flags, 1, 1, bytesOf(flow.expected) }), m_fabric);
            ++count;
        }
        return count;
    }

    void receiveUntil(Core::TimePoint end)
    {
        while (std::chrono::steady_clock::now() < end) {
            m_socket.waitReadable(5ms);
            for (auto const& datagram : m_receiver->receive(m_socket))
                handle(datagram.bytes);
            if (std::ranges::all_of(
                    m_flows, [](auto const& entry) { return entry.second.isAnswered || entry.second.isBroken; }))
                return;
        }
    }

    void handle(Packet::Bytes datagram)
    {
        auto encapsulated = Packet::parseGue(datagram);
        auto error = Packet::ParseError::None;
        auto packet = encapsulated ? Packet::parse(encapsulated->inner, error) : std::nullopt;
        if (!packet)
            return;
        auto position = m_flows.find(reversed(packet->flow));
        if (position == m_flows.end())
            return;
        auto& flow = position->second;
        if (packet->tcpFlags & Packet::Rst) {
            flow.isBroken = true;
            return;
        }
        if (!packet->payload.empty())
            checkAnswer(flow, textOf(packet->payload));
        else if (flow.expected.empty())
            flow.isAnswered = true;
    }

    void checkAnswer(Flow& flow, std::string_view text)
    {
        auto space = text.find(' ');
        auto upstream = text.substr(0, space);
        // A late answer to a repeated request is not the one that is waited for.
        if (space == std::string_view::npos || text.substr(space + 1) != flow.expected || flow.isAnswered)
            return;
        flow.isAnswered = true;
        ++m_figures.answered;
        if (flow.upstream.empty())
            flow.upstream = upstream;
        if (flow.upstream != upstream)
            flow.isBroken = true;
    }

    DataPath::UdpSocket m_socket;
    Core::Endpoint m_fabric;
    std::unique_ptr<DataPath::BatchReceiver> m_receiver { std::make_unique<DataPath::BatchReceiver>() };
    std::map<Core::FlowKey, Flow> m_flows;
    Figures m_figures;
};

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    auto source = endpointOrExit("listen", absl::GetFlag(FLAGS_listen));
    auto service = endpointOrExit("service", absl::GetFlag(FLAGS_service));
    auto flows = absl::GetFlag(FLAGS_flows);
    auto requests = absl::GetFlag(FLAGS_requests);
    Caller caller { bindOrExit(source), endpointOrExit("fabric", absl::GetFlag(FLAGS_fabric)) };

    caller.open(source, service, flows);
    for (int round = 0; round < requests; ++round) {
        caller.request(round);
        // Paces the load on the whole path; no decision depends on it.
        std::this_thread::sleep_for(std::chrono::milliseconds { absl::GetFlag(FLAGS_interval_ms) });
    }
    caller.close();

    auto figures = caller.figures(absl::GetFlag(FLAGS_upstream_prefix));
    std::cout << "flows=" << flows << " requests=" << flows * requests << " answered=" << figures.answered
              << " broken=" << figures.broken << " unanswered=" << figures.unanswered
              << " wrong_service=" << figures.wrongService << "\n";
    bool isGood
        = figures.answered == flows * requests && !figures.broken && !figures.unanswered && !figures.wrongService;
    return isGood ? 0 : 1;
}
