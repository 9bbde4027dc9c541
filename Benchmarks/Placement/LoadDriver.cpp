#include "LoadDriver.h"

#include <algorithm>
#include <array>

namespace Chicorytally::Benchmarks {

using Harness::Flow;
using Placement::PacketKind;
using Placement::Verdict;
using std::chrono::milliseconds;

static constexpr milliseconds Step { 10 };
static constexpr std::size_t StepsPerSecond = 100;

LoadDriver::LoadDriver(Harness::Fleet& fleet, LoadOptions options, std::vector<Core::ServiceId> services)
    : m_fleet(fleet)
    , m_options(options)
    , m_services(std::move(services))
{
    m_held.reserve(2 * options.heldFlows);
}

void LoadDriver::open(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        auto caller = m_next++;
        auto& flow = m_flows.emplace_back();
        std::array<std::uint8_t, 4> address { 100, static_cast<std::uint8_t>(caller >> 16),
            static_cast<std::uint8_t>(caller >> 8), static_cast<std::uint8_t>(caller) };
        flow.service = m_services[caller % m_services.size()];
        auto const* service = m_fleet.configuration()->findService(flow.service);
        flow.key = { { Core::IpAddress::fromV4(address), static_cast<std::uint16_t>(1024 + caller % 60000) },
            service->address, service->protocol };
        m_fleet.send(flow, PacketKind::Open);
        m_waiting.emplace_back(m_fleet.now(), &flow);
    }
}

void LoadDriver::retry()
{
    // An open that got through is held from the next step on, any other one is repeated after a second.
    std::deque<std::pair<Core::TimePoint, Flow*>> still;
    for (auto& [sentAt, flow] : m_waiting) {
        if (flow->isForwarded) {
            m_held.push_back(flow);
            ++m_established;
            continue;
        }
        if (flow->isGivenUp)
            continue;
        if (m_fleet.now() - sentAt >= std::chrono::seconds { 1 }) {
            m_fleet.send(*flow, PacketKind::Open);
            sentAt = m_fleet.now();
        }
        still.emplace_back(sentAt, flow);
    }
    m_waiting = std::move(still);
}

void LoadDriver::close(std::size_t count)
{
    for (std::size_t i = 0; i < count && !m_held.empty(); ++i) {
        auto index = m_fleet.random()() % m_held.size();
        auto* flow = m_held[index];
        m_held[index] = m_held.back();
        m_held.pop_back();
        if (!flow->isGivenUp)
            m_fleet.send(*flow, PacketKind::Close);
    }
}

void LoadDriver::data(double count)
{
    m_dataDue += count;
    for (; m_dataDue >= 1 && !m_held.empty(); m_dataDue -= 1) {
        m_cursor = (m_cursor + 1) % m_held.size();
        auto* flow = m_held[m_cursor];
        if (flow->isGivenUp)
            continue;
        m_fleet.send(*flow, PacketKind::Data);
        ++m_sentData;
        m_droppedData += flow->lastVerdict == Verdict::Drop ? 1 : 0;
    }
}

void LoadDriver::sampleControl()
{
    auto& balancers = m_fleet.balancers();
    m_controlBytes.resize(balancers.size(), 0);
    for (std::size_t i = 0; i < balancers.size(); ++i) {
        m_busiest = std::max(m_busiest, balancers[i].controlBytes - m_controlBytes[i]);
        m_controlBytes[i] = balancers[i].controlBytes;
    }
}

void LoadDriver::fill()
{
    auto steps = 10 * StepsPerSecond;
    for (std::size_t i = 0; i < steps; ++i) {
        open(m_options.heldFlows / steps);
        m_fleet.advance(Step);
        retry();
    }
    sampleControl();
    m_busiest = 0;
}

void LoadDriver::run(std::chrono::seconds duration)
{
    auto steps = static_cast<std::size_t>(duration.count()) * StepsPerSecond;
    for (std::size_t i = 0; i < steps; ++i) {
        open(m_options.opensPerSecond / StepsPerSecond);
        close(m_options.opensPerSecond / StepsPerSecond);
        data(m_options.packetsPerSecond * static_cast<double>(m_options.heldFlows) / StepsPerSecond);
        m_fleet.advance(Step);
        retry();
        if (i % StepsPerSecond == StepsPerSecond - 1)
            sampleControl();
    }
}

void LoadDriver::sendOnAll()
{
    for (int round = 0; round < 2; ++round) {
        for (auto* flow : m_held) {
            if (!flow->isGivenUp)
                m_fleet.send(*flow, PacketKind::Data);
        }
        m_fleet.advance(milliseconds { 500 });
    }
}

std::map<Core::UpstreamId, std::size_t> LoadDriver::flowsByUpstream(Core::ServiceId service) const
{
    std::map<Core::UpstreamId, std::size_t> result;
    for (auto const* flow : m_held) {
        if (flow->service == service)
            ++result[flow->upstream];
    }
    return result;
}

}
