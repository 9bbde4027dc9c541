#pragma once

#include <LibLoad/LoadTypes.h>
#include <LibLoad/ShareRule.h>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Chicorytally::Load {

/// All processes that may have flows open, as one of them knows them. Shares are computed from this set. It keeps the
/// sum of all shares within each limit by three rules:
/// - A process that was added opens nothing until every other opener has confirmed that it counts it.
/// - What a confirmed opener still holds beyond its smaller share is taken off the share of the added one.
/// - A process stays in the set until it is known to be gone, and for each upstream until its flows have ended.
/// Not thread-safe.
class OpenerSet {
public:
    /// Openers may disagree by this much about when another one was lost.
    static constexpr std::chrono::seconds LostTimeTolerance { 5 };

    OpenerSet(Core::VmId self, Core::Incarnation);

    OpenerId self() const { return m_self; }
    /// This process goes on under a greater incarnation, because others declared it dead. It opens nothing until they
    /// count it again.
    void setIncarnation(Core::Incarnation);

    void applyMembers(std::vector<LoadMember> const&, Core::TimePoint now);
    /// What another opener published about itself: the set its shares are computed with, and its open flows.
    void receiveCounts(Core::VmId sender, Messages::UpstreamCounts const&, Core::TimePoint now);
    /// What another opener knows about one that is gone.
    void receiveLostCounts(Messages::UpstreamCounts const&, Core::TimePoint now);
    /// Ends the claim of a lost opener for every upstream for which `hasEnded(upstream, lostAt)` holds.
    void releaseLostOpeners(std::vector<Core::UpstreamId> const& upstreams,
        std::function<bool(Core::UpstreamId, Core::TimePoint lostAt)> const& hasEnded);

    /// Latched: once every opener has confirmed this one, later openers have to wait for it.
    bool isReady() const { return m_isReady; }
    /// Members that haven't confirmed this opener yet.
    std::vector<Core::VmId> unconfirmedBy() const;
    /// What this opener publishes as the set its shares are computed with.
    std::vector<OpenerId> publishedOpeners() const;
    /// Members to send to.
    std::vector<Core::VmId> receivers() const;
    /// The VMs that take part in probing: this one and all that are alive.
    std::vector<Core::VmId> aliveVms() const;

    /// Own share of a limit. Without `withLost`, the openers that are gone are left out.
    std::uint32_t ownShare(Core::UpstreamId, std::uint32_t limit, bool withLost = true) const;
    /// Flows that other openers may hold beyond their shares; without a value while an opener's count is unknown.
    std::optional<std::uint32_t> excessFlows(Core::UpstreamId, std::uint32_t limit) const;
    bool hasLostOpeners(Core::UpstreamId) const;
    /// Flows that other openers published as open, those of lost ones included.
    std::uint32_t otherOpenerFlows(Core::UpstreamId) const;
    std::uint32_t liveOpenerFlows(Core::UpstreamId) const;
    std::uint32_t lostOpenerFlows(Core::UpstreamId) const;

    struct LostOpener {
        OpenerId id;
        Core::TimePoint lostAt;
    };
    std::vector<LostOpener> lostOpeners() const;
    /// Upper bound for the flows that a lost opener had open on an upstream with this limit.
    std::uint32_t lostFlowBound(OpenerId, Core::UpstreamId, std::uint32_t limit) const;

    /// Grows with every change of the set.
    std::uint64_t version() const { return m_version; }

private:
    enum class State : std::uint8_t {
        /// Named only in the set of another opener.
        NamedByPeers,
        Unreachable,
        Alive,
        Lost,
    };

    struct Opener {
        Core::VmId vm;
        Core::Incarnation incarnation;
        State state { State::Unreachable };
        bool hasConfirmed { false };
        std::int64_t order { 0 };
        Core::TimePoint lostAt;
        /// Size of the set that the opener's shares were last computed with; 0: unknown.
        std::uint32_t setSize { 0 };
        absl::flat_hash_map<Core::UpstreamId, std::uint32_t> counts;
        absl::flat_hash_set<Core::UpstreamId> releasedUpstreams;
        absl::flat_hash_set<OpenerId> knownOpeners;
    };

    struct CachedRank {
        std::uint64_t version { 0 };
        ShareRank withLost;
        ShareRank withoutLost;
    };

    static bool isCounted(Opener const&, Core::UpstreamId);
    std::vector<OpenerId> openersOf(Core::UpstreamId, bool withLost) const;
    CachedRank const& ranks(Core::UpstreamId) const;
    Opener* add(Core::VmId, Core::Incarnation);
    void markLost(Opener&, Core::TimePoint now);
    void markEarlierIncarnationsLost(Core::VmId, Core::Incarnation, Core::TimePoint now);
    void forget(OpenerId);
    void updateNamedByPeers();
    void updateReady();

    OpenerId m_self;
    Core::VmId m_selfVm;
    bool m_hasMembers { false };
    bool m_isReady { false };
    std::uint64_t m_version { 1 };
    // Ordered, so that every run of a test or benchmark visits the openers in the same order.
    std::map<OpenerId, Opener> m_openers;
    /// Openers whose claims have all ended; others may still name them. Only the last ones are held.
    absl::flat_hash_set<OpenerId> m_forgotten;
    std::deque<OpenerId> m_forgottenOrder;
    mutable absl::flat_hash_map<Core::UpstreamId, CachedRank> m_ranks;
};

}
