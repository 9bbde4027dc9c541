/// Stand-in for the fabric: sprays packets of callers over the balancers by a seeded random choice, and carries what
/// balancers say to callers back to them.

#include "StandIn.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <random>

ABSL_FLAG(std::string, listen, "127.0.8.1:6080", "IP:PORT that takes GUE packets of callers and balancers.");
ABSL_FLAG(std::string, balancers, "", "Comma-separated IP:PORT list of the balancers.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the random choice.");

using namespace Chicorytally;
using namespace Chicorytally::StandIns;

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    stopOnSignals();
    std::vector<Core::Endpoint> balancers;
    for (auto text : absl::StrSplit(absl::GetFlag(FLAGS_balancers), ',', absl::SkipEmpty()))
        balancers.push_back(endpointOrExit("balancers", std::string { text }));
    if (balancers.empty()) {
        std::cerr << "--balancers=: name at least one\n";
        return 2;
    }
    auto udpSocket = bindOrExit(endpointOrExit("listen", absl::GetFlag(FLAGS_listen)));
    auto receiver = std::make_unique<DataPath::BatchReceiver>();
    std::mt19937_64 random { absl::GetFlag(FLAGS_seed) };
    std::uniform_int_distribution<std::size_t> choice { 0, balancers.size() - 1 };

    while (!s_isStopping) {
        udpSocket.waitReadable(std::chrono::milliseconds { 50 });
        for (auto const& datagram : receiver->receive(udpSocket)) {
            bool isFromBalancer = std::ranges::find(balancers, datagram.from) != balancers.end();
            if (!isFromBalancer) {
                udpSocket.send({ {}, datagram.bytes, balancers[choice(random)] });
                continue;
            }
            auto encapsulated = Packet::parseGue(datagram.bytes);
            auto error = Packet::ParseError::None;
            auto packet = encapsulated ? Packet::parse(encapsulated->inner, error) : std::nullopt;
            if (packet)
                sendInGue(udpSocket, encapsulated->inner, { packet->flow.destination.address, Packet::GuePort });
        }
    }
    return 0;
}
