#include <Harness/Traffic.h>

#include <algorithm>
#include <array>

namespace Chicorytally::Harness {

using Placement::PacketKind;
using Placement::Verdict;
using std::chrono::milliseconds;

Traffic::Traffic(Fleet& fleet, TrafficOptions options, std::vector<Core::ServiceId> services)
    : m_fleet(fleet)
    , m_options(options)
    , m_services(std::move(services))
{
}

bool Traffic::chance(double probability) { return std::uniform_real_distribution<> {}(m_fleet.random()) < probability; }

Flow& Traffic::makeFlow()
{
    auto caller = m_nextCaller++;
    auto& flow = m_flows.emplace_back();
    std::array<std::uint8_t, 4> address { 100, static_cast<std::uint8_t>(caller >> 16),
        static_cast<std::uint8_t>(caller >> 8), static_cast<std::uint8_t>(caller) };
    flow.service = m_services[caller % m_services.size()];
    auto const* service = m_fleet.configuration()->findService(flow.service);
    flow.key = { { Core::IpAddress::fromV4(address), static_cast<std::uint16_t>(1024 + caller % 60000) },
        service->address, service->protocol };
    flow.openedAt = m_fleet.now();
    return flow;
}

void Traffic::run(std::chrono::nanoseconds duration)
{
    auto count = static_cast<std::size_t>(std::chrono::duration<double>(duration).count() * m_options.opensPerSecond);
    for (std::size_t i = 0; i < count; ++i) {
        m_fleet.at(m_fleet.upTo(duration), [this] { open(makeFlow(), 0); });
    }
}

void Traffic::open(Flow& flow, std::size_t attempt)
{
    static constexpr std::array<milliseconds, 3> Retransmissions { milliseconds { 1000 }, milliseconds { 2000 },
        milliseconds { 4000 } };
    bool isUdp = flow.key.protocol == Core::Protocol::Udp;
    m_fleet.send(flow, isUdp ? PacketKind::Data : PacketKind::Open);
    if (attempt == 0) {
        auto life = m_options.shortestLife + m_fleet.upTo(m_options.longestLife - m_options.shortestLife);
        m_fleet.at(milliseconds { 8 }, [this, &flow, life] { use(flow, m_fleet.now() + life); });
    }
    bool isLast = attempt >= Retransmissions.size();
    if (isLast || isUdp)
        return;
    bool repeatsAnyway = chance(m_options.repeatedOpens);
    m_fleet.at(Retransmissions[attempt], [this, &flow, attempt, repeatsAnyway] {
        if (flow.isGivenUp || flow.isClosed)
            return;
        bool isWithoutAnswer = !flow.isForwarded;
        if (isWithoutAnswer && attempt + 1 == Retransmissions.size())
            ++m_abandonedOpens;
        if (isWithoutAnswer || repeatsAnyway)
            open(flow, attempt + 1);
    });
}

void Traffic::use(Flow& flow, Core::TimePoint end)
{
    if (flow.isGivenUp)
        return;
    auto again = milliseconds { 10 } + m_fleet.upTo(2 * m_options.packetInterval);
    if (m_fleet.now() < end) {
        if (flow.isForwarded)
            m_fleet.send(flow, PacketKind::Data);
        m_fleet.at(again, [this, &flow, end] { use(flow, end); });
        return;
    }
    flow.isClosed = true;
    if (!flow.isForwarded || flow.key.protocol == Core::Protocol::Udp)
        return;
    m_fleet.send(flow, PacketKind::Close);
    // The caller still acknowledges what the upstream sends.
    m_fleet.at(milliseconds { 300 }, [this, &flow] {
        if (!flow.isGivenUp)
            m_fleet.send(flow, PacketKind::Data);
    });
}

std::size_t Traffic::establishedFlows() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_flows, [](Flow const& flow) { return flow.isForwarded; }));
}

std::size_t Traffic::unservedFlows()
{
    std::vector<Flow*> waiting;
    for (auto& flow : m_flows) {
        if (flow.isForwarded && !flow.isClosed && !flow.isGivenUp)
            waiting.push_back(&flow);
    }
    std::vector<Flow*> opens;
    opens.reserve(300);
    for (int i = 0; i < 300; ++i)
        opens.push_back(&makeFlow());
    auto start = m_fleet.now();
    for (int attempt = 0; attempt < 4 && (!waiting.empty() || !opens.empty()); ++attempt) {
        for (auto* flow : waiting)
            m_fleet.send(*flow, PacketKind::Data);
        for (auto* flow : opens)
            m_fleet.send(*flow, PacketKind::Open);
        m_fleet.advance(milliseconds { 500 });
        std::erase_if(waiting, [&](Flow const* flow) { return flow->lastForwardedAt >= start || flow->isGivenUp; });
        std::erase_if(opens, [](Flow const* flow) { return flow->isForwarded; });
    }
    return waiting.size() + opens.size();
}

}
