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

/// The openers known to this process: all processes that may have flows open. Shares are computed from this set. Three
/// rules keep the sum of all shares within each limit:
/// - An added process opens no flows until every other opener has confirmed that it counts the process.
/// - Flows that a confirming opener still holds in excess of its reduced share are subtracted from the added one's
///   share.
/// - A process stays in the set until it is known to be gone, and for each upstream until its flows have ended.
/// Not thread-safe.
class OpenerSet {
public:
    /// Openers may differ by this much in the time at which they consider another one lost.
    static constexpr std::chrono::seconds LostTimeTolerance { 5 };

    OpenerSet(Core::VmId self, Core::Incarnation);

    OpenerId self() const { return m_self; }
    /// Continues with a greater incarnation because others declared this process dead. It opens no flows until they
    /// count it again.
    void setIncarnation(Core::Incarnation);

    void applyMembers(std::vector<LoadMember> const&, Core::TimePoint now);
    /// Receives what another opener published about itself: the set its shares are computed from, and its open flows.
    void receiveCounts(Core::VmId sender, Messages::UpstreamCounts const&, Core::TimePoint now);
    /// Receives what another opener knows about a lost one.
    void receiveLostCounts(Messages::UpstreamCounts const&, Core::TimePoint now);
    /// Releases the shares of lost openers for every upstream for which `hasEnded(upstream, lostAt)` returns true.
    void releaseLostOpeners(std::vector<Core::UpstreamId> const& upstreams,
        std::function<bool(Core::UpstreamId, Core::TimePoint lostAt)> const& hasEnded);

    /// Whether every opener has confirmed this one. Stays true when further openers are added, as those wait for this
    /// one.
    bool isReady() const { return m_isReady; }
    /// Members that haven't confirmed this opener yet.
    std::vector<Core::VmId> unconfirmedBy() const;
    /// The set of openers that this one's shares are computed from, to publish.
    std::vector<OpenerId> publishedOpeners() const;
    /// The members to send messages to.
    std::vector<Core::VmId> receivers() const;
    /// The VMs that take part in probing: the local one and all that are alive.
    std::vector<Core::VmId> aliveVms() const;

    /// This opener's share of a limit. If `withLost` is false, lost openers don't count.
    std::uint32_t ownShare(Core::UpstreamId, std::uint32_t limit, bool withLost = true) const;
    /// Flows that other openers may hold in excess of their shares; empty while a live opener's count is unknown.
    std::optional<std::uint32_t> excessFlows(Core::UpstreamId, std::uint32_t limit) const;
    bool hasLostOpeners(Core::UpstreamId) const;
    /// Flows that other openers published as open, including those of lost openers.
    std::uint32_t otherOpenerFlows(Core::UpstreamId) const;
    std::uint32_t liveOpenerFlows(Core::UpstreamId) const;
    std::uint32_t lostOpenerFlows(Core::UpstreamId) const;

    struct LostOpener {
        OpenerId id;
        Core::TimePoint lostAt;
    };
    std::vector<LostOpener> lostOpeners() const;
    /// Upper bound of the flows that a lost opener had open on an upstream with this limit.
    std::uint32_t lostFlowBound(OpenerId, Core::UpstreamId, std::uint32_t limit) const;

    /// Incremented with every change of the set.
    std::uint64_t version() const { return m_version; }

private:
    enum class State : std::uint8_t {
        /// Known only from the sets that other openers publish.
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
        /// Size of the set that the opener's shares were last computed from; 0 if unknown.
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
    // Ordered, so that iteration is deterministic.
    std::map<OpenerId, Opener> m_openers;
    /// Openers whose shares have all been released; other openers may still name them. Only the most recent are kept.
    absl::flat_hash_set<OpenerId> m_forgotten;
    std::deque<OpenerId> m_forgottenOrder;
    mutable absl::flat_hash_map<Core::UpstreamId, CachedRank> m_ranks;
};

}
