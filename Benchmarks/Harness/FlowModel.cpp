#include <Harness/FlowModel.h>

namespace Chicorytally::Harness {

using Placement::PacketKind;
using Placement::Verdict;

/// Bound of the design for zones that are out and for draining upstreams.
static constexpr std::chrono::seconds LearnBound { 3 };
static constexpr std::size_t ViolationsKept = 20;

void Knowledge::learn(std::shared_ptr<Model::Configuration const> next, Core::TimePoint now)
{
    configuration = std::move(next);
    for (auto const& zone : configuration->zones) {
        if (zone.state == Model::ZoneState::Out)
            outSince.try_emplace(zone.id, now);
        else
            outSince.erase(zone.id);
    }
    for (auto const& service : configuration->services) {
        for (auto const& upstream : service.upstreams) {
            if (upstream.isDraining())
                drainingSince.try_emplace(upstream.id, now);
            else
                drainingSince.erase(upstream.id);
        }
    }
}

void FlowModel::addConfiguration(Model::Configuration const& configuration)
{
    for (auto const& service : configuration.services) {
        for (auto const& upstream : service.upstreams)
            m_upstreams[upstream.id] = { service.id, upstream.zone, upstream.name };
    }
    for (auto const& zone : configuration.zones) {
        if (zone.state == Model::ZoneState::Out)
            m_zonesEverOut.insert(zone.id);
    }
}

void FlowModel::report(Flow& flow, Check const& check, std::string const& what, bool breaksFlow)
{
    ++m_violationCount;
    if (breaksFlow && !flow.isBroken) {
        flow.isBroken = true;
        ++m_brokenFlows;
    }
    if (m_violations.size() >= ViolationsKept)
        return;
    auto name = [&](Core::UpstreamId id) {
        auto position = m_upstreams.find(id);
        return position != m_upstreams.end() ? position->second.name : std::string { "none" };
    };
    auto milliseconds = [](auto duration) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    m_violations.push_back("t=" + milliseconds(check.now.time_since_epoch()) + "ms " + what
        + " flow=" + flow.key.source.toString() + " kind=" + std::to_string(static_cast<int>(check.packet.kind))
        + " hops=" + std::to_string(check.packet.hopCount) + " balancer=" + check.balancer
        + " reason=" + std::string { toString(check.decision.reason) } + " to=" + name(check.decision.upstream)
        + " was=" + name(flow.upstream) + " age=" + milliseconds(check.now - flow.openedAt) + "ms");
}

void FlowModel::check(Flow& flow, Check const& check)
{
    auto verdict = check.decision.verdict;
    ++m_verdicts[static_cast<std::size_t>(verdict)];
    flow.lastVerdict = verdict;
    bool isOpen = check.packet.kind == PacketKind::Open;
    if (check.packet.hopCount > 2)
        report(flow, check, "hop_limit", false);
    switch (verdict) {
    case Verdict::Forward:
        checkForward(flow, check);
        break;
    case Verdict::Refuse:
        if (!isOpen || flow.isForwarded)
            report(flow, check, "false_refusal", flow.isForwarded);
        flow.isGivenUp = true;
        ++m_refusedOpens;
        break;
    case Verdict::Reset: {
        auto position = m_upstreams.find(flow.upstream);
        bool mayReset = position != m_upstreams.end() && m_zonesEverOut.contains(position->second.zone);
        if (!mayReset)
            report(flow, check, "wrong_reset", true);
        flow.isGivenUp = true;
        ++m_resetFlows;
        break;
    }
    case Verdict::Drop:
        ++m_dropReasons[static_cast<std::size_t>(check.decision.reason)];
        break;
    case Verdict::ForwardToPeer:
        break;
    }
}

void FlowModel::checkForward(Flow& flow, Check const& check)
{
    auto upstream = check.decision.upstream;
    auto position = m_upstreams.find(upstream);
    if (position == m_upstreams.end() || position->second.service != flow.service) {
        report(flow, check, "wrong_service", true);
        return;
    }
    for (auto const& service : check.knowledge.configuration->services) {
        for (auto const& other : service.upstreams) {
            if (service.id != flow.service && other.address == check.decision.destination)
                report(flow, check, "address_of_other_service", true);
        }
    }
    auto out = check.knowledge.outSince.find(position->second.zone);
    if (out != check.knowledge.outSince.end() && check.now - out->second > LearnBound)
        report(flow, check, "zone_is_out", false);
    if (flow.isForwarded && flow.upstream != upstream) {
        report(flow, check, check.packet.kind == PacketKind::Open ? "open_moved" : "flow_moved", true);
        return;
    }
    flow.lastForwardedAt = check.now;
    if (flow.isForwarded)
        return;
    flow.isForwarded = true;
    flow.upstream = upstream;
    flow.openedAt = check.now;
    auto draining = check.knowledge.drainingSince.find(upstream);
    bool isUdp = flow.key.protocol == Core::Protocol::Udp;
    if (!isUdp && draining != check.knowledge.drainingSince.end() && check.now - draining->second > LearnBound)
        report(flow, check, "new_flow_on_draining", false);
}

}
