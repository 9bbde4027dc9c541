#pragma once

#include <LibLoad/LoadController.h>
#include <LibLoad/OpenerSet.h>
#include <LibLoad/OverloadGuard.h>
#include <LibLoad/ServiceState.h>

#include <absl/container/flat_hash_map.h>

#include <map>
#include <memory>

namespace Chicorytally::Load {

/// Implementation of LoadController. Its public functions are called with the controller's lock held.
class LoadController::State {
public:
    static constexpr std::chrono::milliseconds ProbeInterval { 500 };
    /// Changed counts are published at CountInterval, all counts and start ages at FullCountInterval.
    static constexpr std::chrono::seconds CountInterval { 1 };
    static constexpr std::chrono::seconds FullCountInterval { 10 };
    /// After a change of the opener set, full counts are sent every CountInterval for this long, because a member that
    /// misses the first ones has no share.
    static constexpr std::chrono::seconds FullCountRepeatPeriod { 5 };
    static constexpr std::chrono::seconds HealthInterval { 2 };
    /// Keeps a message within a datagram of 1,200 bytes.
    static constexpr std::size_t MaxEntriesPerMessage = 32;
    /// Reports must match the counts of the live openers for this long before flows of lost openers are released.
    static constexpr std::chrono::seconds OrphanReleaseDelay { 10 };

    State(Core::Clock const&, LoadOptions);

    void applyConfiguration(Model::Configuration const&);
    void applyMembers(std::vector<LoadMember> const&);
    Placement::Selection select(Placement::SelectionRequest const&);
    void flowOpened(Core::ServiceId, Core::UpstreamId);
    void flowClosed(Core::UpstreamId);
    void adoptedFlowClosed(Core::UpstreamId);
    void flowConfirmed(Core::UpstreamId);
    bool admitRepeatedOpen(Core::ServiceId, Core::UpstreamId);
    void recordReport(Core::UpstreamId, UpstreamReport const&);
    std::vector<ProbeTarget> probesDue();
    void receive(Core::VmId sender, Messages::LoadMessage const&);
    std::vector<OutgoingMessage> tick();
    void setIncarnation(Core::Incarnation incarnation)
    {
        m_options.incarnation = incarnation;
        m_openers.setIncarnation(incarnation);
    }
    void setOverloaded(bool isOverloaded) { m_overloadGuard.setOverloaded(isOverloaded); }
    bool isReady() const { return m_openers.isReady(); }
    std::vector<UpstreamStatus> status() const;
    ControllerStatus controllerStatus() const;

private:
    UpstreamState* find(Core::UpstreamId) const;
    Core::TimePoint now() const { return m_clock.now(); }

    // Configuration
    void applyUpstream(ServiceState&, Core::ServiceId, Model::Upstream const&, bool isZoneIn);
    void markRemovedUpstreams(Model::Configuration const&);
    void eraseRemovedUpstreams();

    // Upstream selection
    CandidateStatus evaluate(ServiceState&, UpstreamState&, bool isSpill);
    Placement::Reason refusalReason(ServiceState&, Placement::SelectionRequest const&);
    void updateMeans(ServiceState&) const;
    double relativeLoad(ServiceState const&, UpstreamState const&) const;
    /// The upstream's weighted part of this VM's opens per second; 0 while the rate of the service is unknown.
    double fairRate(ServiceState const&, UpstreamState const&) const;
    /// The greater of fairRate() and the rate that fills the share within the slow start. The latter admits callers
    /// that reconnect at the same time.
    double fullRate(ServiceState const&, UpstreamState const&) const;
    bool isUsable(ServiceState const&, UpstreamState const&) const;
    std::uint32_t share(UpstreamState&) const;
    std::uint32_t computeShare(UpstreamState const&, bool& isSettled) const;
    std::uint32_t slowStartShare(ServiceState const&, UpstreamState const&) const;
    std::uint32_t fleetFlows(UpstreamState const&) const;

    // Health and upstream starts
    void applyReport(UpstreamState&, UpstreamReport const&);
    void start(UpstreamState&, StartCause);
    void confirmStart(UpstreamState&, UpstreamReport const&);
    void detectUncountedFlows(UpstreamState&);
    void updateHealth();
    void updateService(ServiceState&);
    bool failsPassiveCheck(ServiceState const&, UpstreamState const&) const;

    // Orphaned flows
    bool haveOrphansEnded(Core::UpstreamId, Core::TimePoint lostAt) const;
    void releaseOrphans();

    // Messages
    void addCounts(std::vector<Messages::LoadMessage>&, bool isFull);
    void addLostCounts(std::vector<Messages::LoadMessage>&) const;
    void addHealthResults(std::vector<Messages::LoadMessage>&, bool isDue);
    void receiveHealth(Core::VmId sender, Messages::HealthResults const&);
    void receiveStartAges(Messages::UpstreamCounts const&);

    Core::Clock const& m_clock;
    LoadOptions m_options;
    OpenerSet m_openers;
    OverloadGuard m_overloadGuard;
    bool m_hasConfiguration { false };
    // Ordered, so that iteration is deterministic.
    std::map<Core::UpstreamId, std::unique_ptr<UpstreamState>> m_upstreams;
    absl::flat_hash_map<Core::UpstreamId, UpstreamState*> m_index;
    absl::flat_hash_map<Core::ServiceId, std::unique_ptr<ServiceState>> m_services;
    std::int64_t m_order { 0 };
    std::uint64_t m_publishedVersion { 0 };
    Core::TimePoint m_nextCounts;
    Core::TimePoint m_nextFullCounts;
    Core::TimePoint m_repeatFullCountsUntil;
    Core::TimePoint m_nextHealth;
};

}
