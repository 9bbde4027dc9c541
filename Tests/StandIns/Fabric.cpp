/// Stand-in for the fabric: sprays packets of callers over the balancers by a seeded random choice, and carries what
/// balancers say to callers back to them.

#include "StandIn.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <fstream>
#include <random>
#include <set>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.8.1:6080", "IP:PORT that takes GUE packets of callers and balancers.");
ABSL_FLAG(std::string, balancers, "", "Comma-separated IP:PORT list of the balancers.");
ABSL_FLAG(std::string, balancers_file, "",
    "File with one IP:PORT of a balancer per line, instead of --balancers; read again on SIGHUP.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random choice.");

using namespace Chicorytally;
using namespace Chicorytally::StandIns;

namespace {

class Fabric {
public:
    explicit Fabric(DataPath::UdpSocket udpSocket)
        : m_socket(std::move(udpSocket))
    {
    }

    /// Balancers that are left out get no more packets, but may still send refusals.
    void useBalancers(std::vector<Core::Endpoint> balancers)
    {
        m_known.insert(balancers.begin(), balancers.end());
        m_balancers = std::move(balancers);
    }

    void runOnce()
    {
        m_socket.waitReadable(std::chrono::milliseconds { 50 });
        for (auto const& datagram : m_receiver->receive(m_socket)) {
            if (!m_known.contains(datagram.from)) {
                if (!m_balancers.empty())
                    m_socket.send({ {}, datagram.bytes, m_balancers[m_random() % m_balancers.size()] });
            } else if (auto refusal = unwrap(datagram.bytes)) {
                // An ICMP error is parsed as the flow that it quotes, seen from the service, so this is the caller too.
                m_socket.send({ {}, datagram.bytes, { refusal->flow.destination.address, Packet::GuePort } });
            }
        }
    }

private:
    DataPath::UdpSocket m_socket;
    std::unique_ptr<DataPath::BatchReceiver> m_receiver { std::make_unique<DataPath::BatchReceiver>() };
    std::vector<Core::Endpoint> m_balancers;
    std::set<Core::Endpoint> m_known;
    std::mt19937_64 m_random { absl::GetFlag(FLAGS_seed) };
};

std::vector<Core::Endpoint> readBalancers()
{
    std::vector<Core::Endpoint> balancers;
    for (auto text : absl::StrSplit(absl::GetFlag(FLAGS_balancers), ',', absl::SkipEmpty()))
        balancers.push_back(endpointOrExit("balancers", std::string { text }));
    std::ifstream file { absl::GetFlag(FLAGS_balancers_file) };
    for (std::string line; std::getline(file, line);)
        balancers.push_back(endpointOrExit("balancers_file", line));
    return balancers;
}

}

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    stopOnSignals();
    reloadOnHangup();
    Fabric fabric { bindOrExit(endpointOrExit("listen", absl::GetFlag(FLAGS_listen))) };
    fabric.useBalancers(readBalancers());
    while (!s_isStopping) {
        if (s_isReloadDue) {
            s_isReloadDue = 0;
            fabric.useBalancers(readBalancers());
        }
        fabric.runOnce();
    }
    return 0;
}
