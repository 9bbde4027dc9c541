#pragma once

#include <Harness/Sites.h>
#include <LibPlacement/Placement.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <map>
#include <string>
#include <vector>

namespace Chicorytally::Harness {

/// One flow as its caller and its upstream see it.
struct Flow {
    Core::FlowKey key;
    Core::ServiceId service;
    /// Of the first packet that was forwarded.
    Core::UpstreamId upstream;
    Core::TimePoint openedAt;
    bool isForwarded { false };
    bool isClosed { false };
    /// Refused, or reset because its availability zone is out.
    bool isGivenUp { false };
    bool isBroken { false };
    /// Outcome of the last packet.
    Placement::Verdict lastVerdict { Placement::Verdict::Drop };
    Core::TimePoint lastForwardedAt;
};

/// What one balancer has learnt, and when.
struct Knowledge {
    std::shared_ptr<Model::Configuration const> configuration;
    std::map<Core::UpstreamId, Core::TimePoint> drainingSince;
    std::map<Core::ZoneId, Core::TimePoint> outSince;

    void learn(std::shared_ptr<Model::Configuration const>, Core::TimePoint now);
};

/// The reference: sees each decision that takes effect and checks it against the promises to callers.
class FlowModel {
public:
    struct Check {
        Core::TimePoint now;
        std::string balancer;
        Knowledge const& knowledge;
        Placement::PacketInfo const& packet;
        Placement::Decision const& decision;
    };

    /// Must be told of each configuration that any balancer gets.
    void addConfiguration(Model::Configuration const&);
    void check(Flow&, Check const&);

    std::vector<std::string> const& violations() const { return m_violations; }
    std::uint64_t violationCount() const { return m_violationCount; }
    std::uint64_t brokenFlows() const { return m_brokenFlows; }
    std::uint64_t resetFlows() const { return m_resetFlows; }
    std::uint64_t refusedOpens() const { return m_refusedOpens; }
    std::uint64_t count(Placement::Verdict verdict) const { return m_verdicts[static_cast<std::size_t>(verdict)]; }
    std::uint64_t count(Placement::Reason reason) const { return m_dropReasons[static_cast<std::size_t>(reason)]; }

private:
    void report(Flow&, Check const&, std::string const& what, bool breaksFlow);
    void checkForward(Flow&, Check const&);

    struct UpstreamFacts {
        Core::ServiceId service;
        Core::ZoneId zone;
        std::string name;
    };

    std::map<Core::UpstreamId, UpstreamFacts> m_upstreams;
    absl::flat_hash_set<Core::ZoneId> m_zonesEverOut;
    std::vector<std::string> m_violations;
    std::uint64_t m_violationCount { 0 };
    std::uint64_t m_brokenFlows { 0 };
    std::uint64_t m_resetFlows { 0 };
    std::uint64_t m_refusedOpens { 0 };
    std::array<std::uint64_t, Placement::VerdictCount> m_verdicts {};
    std::array<std::uint64_t, Placement::ReasonCount> m_dropReasons {};
};

}
