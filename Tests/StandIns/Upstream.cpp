/// Stand-in for an upstream: accepts TCP flows in GUE, answers each request with its own name and the request, and
/// resets packets of flows that it doesn't know. Answers go to the caller directly. Requests take a slot each; a cold
/// upstream is slower, and one with too much work loses requests.

#include "StandIn.h"

#include <LibTelemetry/Telemetry.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <atomic>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <queue>

ABSL_FLAG(std::string, listen, "", "IP:PORT that takes GUE packets.");
ABSL_FLAG(std::string, name, "upstream", "Name that answers carry.");
ABSL_FLAG(std::string, health_address, "", "IP:PORT that serves GET /health with load figures; empty: none.");
ABSL_FLAG(int, slots, 4, "Requests that run at the same time.");
ABSL_FLAG(int, service_time_us, 1000, "Time that a request takes.");
ABSL_FLAG(int, cold_ms, 0, "Time after the start in which requests take ten times as long.");
ABSL_FLAG(std::string, run_log, "", "File that gets one line per request run, for finding doubled ones.");

using namespace Chicorytally;
using namespace Chicorytally::StandIns;
using Clock = std::chrono::steady_clock;

namespace {

constexpr int ColdFactor = 10;

// Waiting work beyond this is lost, as a real upstream fails when it gets far more than it handles.
constexpr std::chrono::seconds MaxBacklog { 1 };

struct Flow {
    std::string request;
    std::vector<std::uint8_t> answer;
    bool isAnswered { false };
};

struct DueAnswer {
    Core::TimePoint time;
    Core::FlowKey flow;

    friend bool operator>(DueAnswer const& first, DueAnswer const& second) { return first.time > second.time; }
};

struct Load {
    std::atomic<std::size_t> connections { 0 };
    std::atomic<std::size_t> busySlots { 0 };
};

class Server {
public:
    explicit Server(DataPath::UdpSocket udpSocket)
        : m_socket(std::move(udpSocket))
        , m_name(absl::GetFlag(FLAGS_name))
        , m_slots(static_cast<std::size_t>(absl::GetFlag(FLAGS_slots)))
        , m_coldEnd(Clock::now() + std::chrono::milliseconds { absl::GetFlag(FLAGS_cold_ms) })
    {
        auto runLog = absl::GetFlag(FLAGS_run_log);
        if (!runLog.empty())
            m_runLog.open(runLog, std::ios::app);
    }

    void runOnce()
    {
        m_socket.waitReadable(std::chrono::milliseconds { m_due.empty() ? 50 : 1 });
        for (auto const& datagram : m_receiver->receive(m_socket)) {
            if (auto packet = unwrap(datagram.bytes))
                handle(*packet);
        }
        sendDue();
        auto isBusy = [now = Clock::now()](auto freeAt) { return freeAt > now; };
        m_load.busySlots = static_cast<std::size_t>(std::ranges::count_if(m_slots, isBusy));
        m_load.connections = m_flows.size();
    }

    Load const& load() const { return m_load; }

private:
    void handle(Packet::ParsedPacket const& packet)
    {
        if (packet.isIcmpError)
            return;
        if (packet.tcpFlags & Packet::Rst) {
            m_flows.erase(packet.flow);
            return;
        }
        if (packet.isOpening()) {
            m_flows.try_emplace(packet.flow);
            // The name tells the caller early where its flow is (data on a SYN-ACK: RFC 7413).
            reply(packet, Packet::Syn | Packet::Ack, m_name);
            return;
        }
        auto position = m_flows.find(packet.flow);
        if (position == m_flows.end()) {
            reset(packet);
        } else if (packet.tcpFlags & Packet::Fin) {
            m_flows.erase(position);
            reply(packet, Packet::Fin | Packet::Ack, {});
        } else if (!packet.payload.empty()) {
            request(packet, position->second);
        }
    }

    void request(Packet::ParsedPacket const& packet, Flow& flow)
    {
        std::string text { textOf(packet.payload) };
        if (text == flow.request) {
            // A repeated segment is not run again, as TCP delivers each byte once.
            if (flow.isAnswered)
                send(flow.answer, packet.flow);
            return;
        }
        auto now = Clock::now();
        auto slot = std::ranges::min_element(m_slots);
        if (*slot > now + MaxBacklog)
            return;
        std::chrono::microseconds serviceTime { absl::GetFlag(FLAGS_service_time_us) };
        *slot = std::max(*slot, now) + serviceTime * (now < m_coldEnd ? ColdFactor : 1);
        flow.request = text;
        flow.answer = build(packet, Packet::Psh | Packet::Ack, m_name + " " + text);
        flow.isAnswered = false;
        m_due.push({ *slot, packet.flow });
        if (m_runLog.is_open())
            m_runLog << packet.flow.source.toString() << " " << text << "\n";
    }

    void sendDue()
    {
        auto now = Clock::now();
        for (; !m_due.empty() && m_due.top().time <= now; m_due.pop()) {
            auto position = m_flows.find(m_due.top().flow);
            if (position == m_flows.end())
                continue;
            position->second.isAnswered = true;
            send(position->second.answer, position->first);
        }
    }

    static std::vector<std::uint8_t> build(Packet::ParsedPacket const& packet, unsigned flags, std::string const& text)
    {
        auto length = packet.payload.size() + (packet.tcpFlags & (Packet::Syn | Packet::Fin) ? 1 : 0);
        return Packet::buildPacket(
            { reversed(packet.flow), static_cast<std::uint8_t>(flags), packet.tcpAcknowledgementNumber,
                packet.tcpSequenceNumber + static_cast<std::uint32_t>(length), bytesOf(text) });
    }

    void reply(Packet::ParsedPacket const& packet, unsigned flags, std::string const& text)
    {
        send(build(packet, flags, text), packet.flow);
    }

    void reset(Packet::ParsedPacket const& packet)
    {
        Packet::RefusalBuffer buffer;
        auto size = Packet::writeTcpReset(packet, buffer);
        send({ buffer.begin(), buffer.begin() + static_cast<std::ptrdiff_t>(size) }, packet.flow);
    }

    void send(std::vector<std::uint8_t> const& answer, Core::FlowKey const& flow)
    {
        sendInGue(m_socket, answer, { flow.source.address, Packet::GuePort });
    }

    DataPath::UdpSocket m_socket;
    std::unique_ptr<DataPath::BatchReceiver> m_receiver { std::make_unique<DataPath::BatchReceiver>() };
    std::string m_name;
    std::map<Core::FlowKey, Flow> m_flows;
    std::vector<Core::TimePoint> m_slots;
    std::priority_queue<DueAnswer, std::vector<DueAnswer>, std::greater<>> m_due;
    Core::TimePoint m_coldEnd;
    std::ofstream m_runLog;
    Load m_load;
};

std::unique_ptr<Telemetry::AdminServer> serveHealth(Load const& load)
{
    auto address = absl::GetFlag(FLAGS_health_address);
    if (address.empty())
        return nullptr;
    std::string error;
    auto server = Telemetry::AdminServer::create(endpointOrExit("health_address", address), error);
    if (!server) {
        std::cerr << error << "\n";
        std::exit(1);
    }
    auto generation
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
    server->addRoute("/health", [&load, generation](Telemetry::AdminRequest const&) {
        nlohmann::json report = { { "healthy", true }, { "connections", load.connections.load() },
            { "busy_slots", load.busySlots.load() }, { "generation", generation } };
        return Telemetry::AdminResponse { .body = report.dump() };
    });
    server->start();
    return server;
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    stopOnSignals();
    Server server { bindOrExit(endpointOrExit("listen", absl::GetFlag(FLAGS_listen))) };
    auto health = serveHealth(server.load());
    while (!s_isStopping)
        server.runOnce();
    return 0;
}
