#include <LibLoad/OpenerSet.h>

#include <algorithm>

namespace Chicorytally::Load {

OpenerSet::OpenerSet(Core::VmId self, Core::Incarnation incarnation)
    : m_self(openerId(self, incarnation))
    , m_selfVm(self)
{
}

void OpenerSet::setIncarnation(Core::Incarnation incarnation)
{
    m_self = openerId(m_selfVm, incarnation);
    m_isReady = false;
    for (auto& [id, opener] : m_openers)
        opener.hasConfirmed = false;
    ++m_version;
    updateReady();
}

OpenerSet::Opener* OpenerSet::add(Core::VmId vm, Core::Incarnation incarnation)
{
    auto id = openerId(vm, incarnation);
    auto position = m_openers.find(id);
    if (position != m_openers.end()) {
        if (!position->second.vm.isValid()) {
            position->second.vm = vm;
            position->second.incarnation = incarnation;
        }
        return &position->second;
    }
    // A member without an incarnation was only listed so far; the process that is now known replaces it.
    if (incarnation.isValid())
        m_openers.erase(openerId(vm, Core::Incarnation {}));
    auto& opener = m_openers[id];
    opener.vm = vm;
    opener.incarnation = incarnation;
    ++m_version;
    return &opener;
}

void OpenerSet::markLost(Opener& opener, Core::TimePoint now)
{
    if (opener.state == State::Lost)
        return;
    opener.state = State::Lost;
    opener.lostAt = now;
    ++m_version;
}

void OpenerSet::markEarlierIncarnationsLost(Core::VmId vm, Core::Incarnation incarnation, Core::TimePoint now)
{
    for (auto& [id, opener] : m_openers) {
        if (opener.vm == vm && opener.incarnation < incarnation)
            markLost(opener, now);
    }
}

void OpenerSet::applyMembers(std::vector<LoadMember> const& members, Core::TimePoint now)
{
    m_hasMembers = true;
    for (auto& [id, opener] : m_openers) {
        if (opener.state == State::Alive)
            opener.state = State::Unreachable;
    }
    for (auto const& member : members) {
        auto id = openerId(member.vm, member.incarnation);
        if (member.vm == m_selfVm || m_forgotten.contains(id))
            continue;
        bool hasLater = std::ranges::any_of(m_openers, [&](auto const& entry) {
            return entry.second.vm == member.vm && entry.second.incarnation > member.incarnation;
        });
        // A stale entry, for example from the platform's VM list, doesn't describe the current process.
        if (hasLater)
            continue;
        bool isGone = member.status == MemberStatus::Left || member.status == MemberStatus::Gone;
        auto& opener = *add(member.vm, member.incarnation);
        // A list never restores an opener that is known to be gone; only a message from the opener itself proves that
        // it is alive.
        if (opener.state == State::Lost)
            continue;
        if (isGone)
            markLost(opener, now);
        else
            opener.state = member.status == MemberStatus::Alive ? State::Alive : State::Unreachable;
        markEarlierIncarnationsLost(member.vm, member.incarnation, now);
    }
    updateReady();
}

void OpenerSet::receiveCounts(Core::VmId sender, Messages::UpstreamCounts const& message, Core::TimePoint now)
{
    if (sender == m_selfVm)
        return;
    Core::Incarnation incarnation { static_cast<std::uint64_t>(message.incarnation) };
    m_forgotten.erase(openerId(sender, incarnation));
    auto& opener = *add(sender, incarnation);
    if (opener.state != State::Alive && opener.state != State::Unreachable) {
        opener.state = State::Alive;
        opener.releasedUpstreams.clear();
        ++m_version;
    }
    markEarlierIncarnationsLost(sender, incarnation, now);
    if (message.order < opener.order)
        return;
    opener.order = message.order;
    if (message.__isset.openers) {
        opener.knownOpeners.clear();
        for (auto id : message.openers)
            opener.knownOpeners.insert(OpenerId { static_cast<std::uint64_t>(id) });
        opener.setSize = static_cast<std::uint32_t>(message.openers.size());
        opener.hasConfirmed = opener.hasConfirmed || opener.knownOpeners.contains(m_self);
    }
    for (auto const& count : message.counts) {
        auto flows = static_cast<std::uint32_t>(std::max(0, count.openFlows));
        opener.counts[Core::UpstreamId { static_cast<std::uint64_t>(count.upstream) }] = flows;
    }
    updateNamedByPeers();
    updateReady();
}

void OpenerSet::receiveLostCounts(Messages::UpstreamCounts const& message, Core::TimePoint now)
{
    OpenerId id { static_cast<std::uint64_t>(message.lostOpener) };
    if (id == m_self || m_forgotten.contains(id))
        return;
    auto& opener = m_openers[id];
    bool isKnown = opener.vm.isValid() && opener.state != State::NamedByPeers;
    // For a member that this VM knows directly, its loss is decided by local evidence, and its last message is more
    // precise about its flows than the bounds of others.
    if (isKnown && (opener.state != State::Lost || opener.setSize > 0))
        return;
    auto lostAt = now - std::chrono::milliseconds { message.lostForMilliseconds };
    // The message's delay makes the loss look later. Two openers that both took the later time would keep advancing it,
    // and a version incremented with each message would make them publish on every tick.
    bool hasChanged = opener.state != State::Lost || lostAt - opener.lostAt > LostTimeTolerance;
    if (hasChanged)
        opener.lostAt = lostAt;
    opener.state = State::Lost;
    for (auto const& count : message.counts) {
        auto flows = static_cast<std::uint32_t>(std::max(0, count.openFlows));
        auto [known, isAdded]
            = opener.counts.try_emplace(Core::UpstreamId { static_cast<std::uint64_t>(count.upstream) });
        if (!isAdded && flows <= known->second)
            continue;
        known->second = flows;
        hasChanged = true;
    }
    if (hasChanged)
        ++m_version;
    updateReady();
}

// Openers that only others know also count, until no other opener names them any more.
void OpenerSet::updateNamedByPeers()
{
    absl::flat_hash_set<OpenerId> named;
    for (auto const& [id, opener] : m_openers) {
        if (opener.state == State::Alive || opener.state == State::Unreachable)
            named.insert(opener.knownOpeners.begin(), opener.knownOpeners.end());
    }
    for (auto id : named) {
        if (id == m_self || m_forgotten.contains(id) || m_openers.contains(id))
            continue;
        m_openers[id].state = State::NamedByPeers;
        ++m_version;
    }
    auto removed = std::erase_if(m_openers,
        [&](auto const& entry) { return entry.second.state == State::NamedByPeers && !named.contains(entry.first); });
    if (removed > 0)
        ++m_version;
}

void OpenerSet::updateReady()
{
    auto isConfirmed = [](auto const& entry) { return entry.second.state == State::Lost || entry.second.hasConfirmed; };
    m_isReady = m_isReady || (m_hasMembers && std::ranges::all_of(m_openers, isConfirmed));
}

void OpenerSet::forget(OpenerId id)
{
    constexpr std::size_t Capacity = 4096;
    if (!m_forgotten.insert(id).second)
        return;
    m_forgottenOrder.push_back(id);
    if (m_forgottenOrder.size() <= Capacity)
        return;
    m_forgotten.erase(m_forgottenOrder.front());
    m_forgottenOrder.pop_front();
}

void OpenerSet::releaseLostOpeners(std::vector<Core::UpstreamId> const& upstreams,
    std::function<bool(Core::UpstreamId, Core::TimePoint lostAt)> const& hasEnded)
{
    for (auto position = m_openers.begin(); position != m_openers.end();) {
        auto& opener = position->second;
        bool isFullyReleased = opener.state == State::Lost;
        for (auto upstream : upstreams) {
            if (opener.state != State::Lost || opener.releasedUpstreams.contains(upstream))
                continue;
            if (!hasEnded(upstream, opener.lostAt)) {
                isFullyReleased = false;
                continue;
            }
            opener.releasedUpstreams.insert(upstream);
            ++m_version;
        }
        if (isFullyReleased)
            forget(position->first);
        position = isFullyReleased ? m_openers.erase(position) : std::next(position);
    }
}

std::vector<Core::VmId> OpenerSet::unconfirmedBy() const
{
    std::vector<Core::VmId> result;
    if (m_isReady)
        return result;
    for (auto const& [id, opener] : m_openers) {
        if (opener.state != State::Lost && !opener.hasConfirmed)
            result.push_back(opener.vm);
    }
    return result;
}

std::vector<OpenerId> OpenerSet::publishedOpeners() const
{
    std::vector<OpenerId> result { m_self };
    for (auto const& [id, opener] : m_openers) {
        // Otherwise two openers that know a third one only from each other would keep it forever.
        if (opener.state != State::NamedByPeers)
            result.push_back(id);
    }
    return result;
}

std::vector<Core::VmId> OpenerSet::receivers() const
{
    std::vector<Core::VmId> result;
    for (auto const& [id, opener] : m_openers) {
        if (opener.state == State::Alive || opener.state == State::Unreachable)
            result.push_back(opener.vm);
    }
    return result;
}

std::vector<Core::VmId> OpenerSet::aliveVms() const
{
    std::vector<Core::VmId> result { m_selfVm };
    for (auto const& [id, opener] : m_openers) {
        if (opener.state == State::Alive)
            result.push_back(opener.vm);
    }
    return result;
}

bool OpenerSet::isCounted(Opener const& opener, Core::UpstreamId upstream)
{
    return opener.state != State::Lost || !opener.releasedUpstreams.contains(upstream);
}

std::vector<OpenerId> OpenerSet::openersOf(Core::UpstreamId upstream, bool withLost) const
{
    std::vector<OpenerId> result { m_self };
    for (auto const& [id, opener] : m_openers) {
        if (withLost ? isCounted(opener, upstream) : opener.state != State::Lost)
            result.push_back(id);
    }
    return result;
}

OpenerSet::CachedRank const& OpenerSet::ranks(Core::UpstreamId upstream) const
{
    auto& cached = m_ranks[upstream];
    if (cached.version == m_version)
        return cached;
    cached.withLost = shareRank(openersOf(upstream, true), m_self, upstream);
    cached.withoutLost = shareRank(openersOf(upstream, false), m_self, upstream);
    cached.version = m_version;
    return cached;
}

std::uint32_t OpenerSet::ownShare(Core::UpstreamId upstream, std::uint32_t limit, bool withLost) const
{
    auto const& cached = ranks(upstream);
    return shareOf(limit, withLost ? cached.withLost : cached.withoutLost);
}

std::optional<std::uint32_t> OpenerSet::excessFlows(Core::UpstreamId upstream, std::uint32_t limit) const
{
    auto openers = openersOf(upstream, true);
    std::uint32_t sum = 0;
    for (auto const& [id, opener] : m_openers) {
        if (!isCounted(opener, upstream))
            continue;
        auto position = opener.counts.find(upstream);
        if (position == opener.counts.end() && opener.state != State::Lost)
            return std::nullopt;
        auto flows = opener.state == State::Lost ? lostFlowBound(id, upstream, limit) : position->second;
        auto share = shareOf(limit, shareRank(openers, id, upstream));
        sum += flows > share ? flows - share : 0;
    }
    return sum;
}

bool OpenerSet::hasLostOpeners(Core::UpstreamId upstream) const
{
    return std::ranges::any_of(m_openers,
        [&](auto const& entry) { return entry.second.state == State::Lost && isCounted(entry.second, upstream); });
}

static std::uint32_t countOf(absl::flat_hash_map<Core::UpstreamId, std::uint32_t> const& counts, Core::UpstreamId id)
{
    auto position = counts.find(id);
    return position != counts.end() ? position->second : 0;
}

std::uint32_t OpenerSet::liveOpenerFlows(Core::UpstreamId upstream) const
{
    std::uint32_t sum = 0;
    for (auto const& [id, opener] : m_openers)
        sum += opener.state != State::Lost ? countOf(opener.counts, upstream) : 0;
    return sum;
}

std::uint32_t OpenerSet::lostOpenerFlows(Core::UpstreamId upstream) const
{
    std::uint32_t sum = 0;
    for (auto const& [id, opener] : m_openers)
        sum += opener.state == State::Lost && isCounted(opener, upstream) ? countOf(opener.counts, upstream) : 0;
    return sum;
}

std::uint32_t OpenerSet::otherOpenerFlows(Core::UpstreamId upstream) const
{
    return liveOpenerFlows(upstream) + lostOpenerFlows(upstream);
}

std::vector<OpenerSet::LostOpener> OpenerSet::lostOpeners() const
{
    std::vector<LostOpener> result;
    for (auto const& [id, opener] : m_openers) {
        if (opener.state == State::Lost)
            result.push_back({ .id = id, .lostAt = opener.lostAt });
    }
    return result;
}

std::uint32_t OpenerSet::lostFlowBound(OpenerId id, Core::UpstreamId upstream, std::uint32_t limit) const
{
    auto position = m_openers.find(id);
    if (position == m_openers.end())
        return 0;
    auto const& opener = position->second;
    // The opener may have filled its share after its last message.
    auto setSize = opener.setSize;
    // If nothing is known of its flows, its share may have been computed from a set without this opener.
    if (setSize == 0 && !opener.counts.contains(upstream))
        setSize = static_cast<std::uint32_t>(m_openers.size());
    auto maxShare = setSize > 0 ? (limit + setSize - 1) / setSize : 0;
    return std::max(countOf(opener.counts, upstream), maxShare);
}

}
