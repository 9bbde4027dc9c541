/// Stand-in for callers: opens TCP flows through the fabric, sends requests on them, repeats what is not answered as
/// TCP does, and checks that each answer is whole, belongs to the request and comes from the upstream of the flow.
/// Prints one line of figures when its flows have ended, or after SIGTERM.

#include "StandIn.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_cat.h>

#include <map>

ABSL_FLAG(std::string, listen, "127.0.9.1:6080", "IP:PORT that takes answers in GUE; flows carry this IP number.");
ABSL_FLAG(std::string, fabric, "127.0.8.1:6080", "IP:PORT of the fabric.");
ABSL_FLAG(std::string, service, "198.51.100.10:7000", "IP:PORT of the service.");
ABSL_FLAG(std::string, upstream_prefix, "", "What the names of the service's upstreams start with.");
ABSL_FLAG(int, flows, 100, "Flows that are open at the same time.");
ABSL_FLAG(int, requests, 10, "Requests on each flow; 0: until SIGTERM.");
ABSL_FLAG(bool, renew, false, "Opens a new flow for each one that has ended, until SIGTERM.");
ABSL_FLAG(int, interval_ms, 10, "Pause between the requests of a flow.");

using namespace Chicorytally;
using namespace Chicorytally::StandIns;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

// Repeats after 0.2, 0.4, 0.8, 1.6 and 3.2 s, as the retransmission timer of TCP backs off (RFC 6298).
constexpr auto FirstTimeout = 200ms;
constexpr int MaxAttempts = 6;

// The wait before a flow that was broken or refused is opened anew.
constexpr auto ReopenPause = 500ms;

constexpr std::uint16_t FirstPort = 10000;
constexpr std::uint32_t FirstSequence = 1000;

enum class State : std::uint8_t {
    Opening,
    Idle,
    Requesting,
    Closing,
    /// Waits until it is opened anew.
    Paused,
    Ended,
};

struct Flow {
    Core::FlowKey key;
    State state { State::Opening };
    std::string upstream;
    std::string request;
    std::uint32_t sequence { FirstSequence };
    std::uint32_t received { 0 };
    int attempts { 0 };
    int requests { 0 };
    Core::TimePoint firstSent;
    Core::TimePoint next;
};

struct Figures {
    int opened { 0 };
    int answered { 0 };
    int broken { 0 };
    int refused { 0 };
    int failedOpens { 0 };
    int doubled { 0 };
    int wrongService { 0 };
    int ignoredResets { 0 };
    std::map<std::string, int> brokenOn;
    std::map<std::string, int> openedOn;
    std::vector<double> openTimes;
    std::vector<double> requestTimes;
};

double milliseconds(Core::TimePoint start)
{
    return std::chrono::duration<double, std::milli> { Clock::now() - start }.count();
}

class Caller {
public:
    Caller(Core::Endpoint const& source, Core::Endpoint const& service)
        : m_socket(bindOrExit(source))
        , m_fabric(endpointOrExit("fabric", absl::GetFlag(FLAGS_fabric)))
        , m_key { source, service, Core::Protocol::Tcp }
        , m_flows(static_cast<std::size_t>(absl::GetFlag(FLAGS_flows)))
    {
        // Spread over one interval, so that the requests don't come in waves.
        for (std::size_t i = 0; i < m_flows.size(); ++i) {
            m_flows[i].state = State::Paused;
            m_flows[i].next = Clock::now() + m_interval * i / m_flows.size();
        }
    }

    void run()
    {
        while (!isEnded()) {
            for (auto& flow : m_flows) {
                if (flow.state != State::Ended && flow.next <= Clock::now())
                    act(flow);
            }
            m_socket.waitReadable(1ms);
            for (auto const& datagram : m_receiver->receive(m_socket)) {
                if (auto packet = unwrap(datagram.bytes))
                    handle(*packet);
            }
        }
    }

    Figures const& figures() const { return m_figures; }

private:
    bool isEnded() const
    {
        return std::ranges::all_of(m_flows, [](auto const& flow) { return flow.state == State::Ended; });
    }

    bool hasRequestsLeft(Flow const& flow) const
    {
        auto requests = absl::GetFlag(FLAGS_requests);
        return !s_isStopping && (requests == 0 || flow.requests < requests);
    }

    // A timer of the flow has run out.
    void act(Flow& flow)
    {
        switch (flow.state) {
        case State::Paused:
            if (s_isStopping)
                flow.state = State::Ended;
            else
                open(flow);
            return;
        case State::Idle:
            if (hasRequestsLeft(flow))
                request(flow);
            else
                begin(flow, State::Closing);
            return;
        default:
            if (flow.attempts >= MaxAttempts)
                giveUp(flow);
            else
                send(flow);
        }
    }

    void open(Flow& flow)
    {
        m_ports.erase(flow.key.source.port);
        flow = { .key = m_key };
        flow.key.source.port = m_nextPort;
        // Ports are used again after a long time only, and never while their flow is open.
        do {
            m_nextPort = m_nextPort == UINT16_MAX ? FirstPort : static_cast<std::uint16_t>(m_nextPort + 1);
        } while (m_ports.contains(m_nextPort));
        m_ports[flow.key.source.port] = &flow;
        begin(flow, State::Opening);
    }

    void request(Flow& flow)
    {
        flow.request = absl::StrCat("request ", flow.key.source.port, " ", flow.requests++);
        begin(flow, State::Requesting);
    }

    void begin(Flow& flow, State state)
    {
        flow.state = state;
        flow.attempts = 0;
        flow.firstSent = Clock::now();
        send(flow);
    }

    void send(Flow& flow)
    {
        unsigned flags = Packet::Psh | Packet::Ack;
        if (flow.state != State::Requesting)
            flags = flow.state == State::Opening ? Packet::Syn : Packet::Fin | Packet::Ack;
        auto text = flow.state == State::Requesting ? flow.request : std::string {};
        auto packet = Packet::buildPacket(
            { flow.key, static_cast<std::uint8_t>(flags), flow.sequence, flow.received, bytesOf(text) });
        sendInGue(m_socket, packet, m_fabric);
        flow.next = Clock::now() + FirstTimeout * (1 << flow.attempts++);
    }

    void giveUp(Flow& flow)
    {
        if (flow.state == State::Opening) {
            ++m_figures.failedOpens;
            report("open_failed", flow);
        } else {
            countBroken(flow);
        }
        pause(flow);
    }

    // In the form that /explain of a balancer takes.
    static void report(std::string_view event, Flow const& flow)
    {
        std::cerr << "event=" << event << " flow=tcp," << flow.key.source.toString() << ","
                  << flow.key.destination.toString() << " upstream=" << flow.upstream << std::endl;
    }

    void countBroken(Flow const& flow)
    {
        report("flow_broken", flow);
        ++m_figures.broken;
        ++m_figures.brokenOn[flow.upstream];
    }

    void pause(Flow& flow)
    {
        auto isRenewed = !s_isStopping && (absl::GetFlag(FLAGS_renew) || absl::GetFlag(FLAGS_requests) == 0);
        flow.state = isRenewed ? State::Paused : State::Ended;
        flow.next = Clock::now() + ReopenPause;
    }

    void handle(Packet::ParsedPacket const& packet)
    {
        auto position = m_ports.find(packet.flow.destination.port);
        if (packet.isIcmpError || position == m_ports.end())
            return;
        auto& flow = *position->second;
        if (reversed(packet.flow) != flow.key || flow.state == State::Paused || flow.state == State::Ended)
            return;
        if (packet.tcpFlags & Packet::Rst)
            handleReset(flow, packet);
        else if (flow.state == State::Opening)
            handleOpened(flow, packet);
        else if (flow.state == State::Requesting)
            handleAnswer(flow, packet);
        else if (flow.state == State::Closing && (packet.tcpFlags & Packet::Fin))
            handleClosed(flow);
    }

    // Takes the reset only if a TCP would (RFC 9293, sections 3.10.7.3 and 3.10.7.4).
    void handleReset(Flow& flow, Packet::ParsedPacket const& packet)
    {
        auto isOpening = flow.state == State::Opening;
        auto isAccepted = isOpening ? packet.tcpAcknowledgementNumber == flow.sequence + 1
                                    : packet.tcpSequenceNumber == flow.received;
        if (!isAccepted) {
            ++m_figures.ignoredResets;
            return;
        }
        // The upstream has closed the flow and forgotten it, but its answer to the first FIN was lost.
        if (flow.state == State::Closing && flow.attempts > 1) {
            handleClosed(flow);
            return;
        }
        if (isOpening)
            ++m_figures.refused;
        else
            countBroken(flow);
        pause(flow);
    }

    void handleOpened(Flow& flow, Packet::ParsedPacket const& packet)
    {
        if (!(packet.tcpFlags & Packet::Syn))
            return;
        flow.upstream = textOf(packet.payload);
        flow.sequence += 1;
        flow.received = packet.tcpSequenceNumber + 1 + static_cast<std::uint32_t>(packet.payload.size());
        flow.state = State::Idle;
        flow.next = Clock::now();
        ++m_figures.opened;
        ++m_figures.openedOn[flow.upstream];
        m_figures.openTimes.push_back(milliseconds(flow.firstSent));
        if (!flow.upstream.starts_with(absl::GetFlag(FLAGS_upstream_prefix)))
            ++m_figures.wrongService;
    }

    void handleAnswer(Flow& flow, Packet::ParsedPacket const& packet)
    {
        auto text = textOf(packet.payload);
        auto space = text.find(' ');
        // A late answer to an earlier request is not the one that is waited for.
        if (space == std::string_view::npos || text.substr(space + 1) != flow.request)
            return;
        if (text.substr(0, space) != flow.upstream) {
            ++m_figures.doubled;
            countBroken(flow);
            pause(flow);
            return;
        }
        ++m_figures.answered;
        m_figures.requestTimes.push_back(milliseconds(flow.firstSent));
        flow.sequence += static_cast<std::uint32_t>(flow.request.size());
        flow.received += static_cast<std::uint32_t>(text.size());
        flow.state = State::Idle;
        flow.next = Clock::now() + (hasRequestsLeft(flow) ? m_interval : 0ms);
    }

    void handleClosed(Flow& flow)
    {
        auto isRenewed = !s_isStopping && absl::GetFlag(FLAGS_renew);
        flow.state = isRenewed ? State::Paused : State::Ended;
        flow.next = Clock::now() + m_interval;
    }

    DataPath::UdpSocket m_socket;
    std::unique_ptr<DataPath::BatchReceiver> m_receiver { std::make_unique<DataPath::BatchReceiver>() };
    Core::Endpoint m_fabric;
    Core::FlowKey m_key;
    std::chrono::milliseconds m_interval { absl::GetFlag(FLAGS_interval_ms) };
    std::vector<Flow> m_flows;
    std::map<std::uint16_t, Flow*> m_ports;
    std::uint16_t m_nextPort { FirstPort };
    Figures m_figures;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

std::string counts(std::map<std::string, int> const& byUpstream)
{
    std::string text;
    for (auto const& [upstream, count] : byUpstream)
        absl::StrAppend(&text, text.empty() ? "" : ",", upstream, ":", count);
    return text;
}

void print(Figures const& figures)
{
    std::cout << "flows=" << figures.opened << " answered=" << figures.answered << " broken=" << figures.broken
              << " refused=" << figures.refused << " failed_opens=" << figures.failedOpens
              << " doubled=" << figures.doubled << " wrong_service=" << figures.wrongService
              << " ignored_resets=" << figures.ignoredResets << " open_p50_ms=" << quantile(figures.openTimes, 0.5)
              << " open_p99_ms=" << quantile(figures.openTimes, 0.99)
              << " p50_ms=" << quantile(figures.requestTimes, 0.5) << " p99_ms=" << quantile(figures.requestTimes, 0.99)
              << " opened_on=" << counts(figures.openedOn) << " broken_on=" << counts(figures.brokenOn) << std::endl;
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    stopOnSignals();
    auto source = endpointOrExit("listen", absl::GetFlag(FLAGS_listen));
    Caller caller { source, endpointOrExit("service", absl::GetFlag(FLAGS_service)) };
    caller.run();
    auto const& figures = caller.figures();
    print(figures);
    return figures.broken || figures.failedOpens || figures.refused || figures.doubled || figures.wrongService ? 1 : 0;
}
