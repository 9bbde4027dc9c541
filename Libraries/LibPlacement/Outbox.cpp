#include <LibPlacement/Outbox.h>

#include <algorithm>

namespace Chicorytally::Placement {

void Outbox::add(std::int64_t sequence, OutgoingMessage outgoing, Content content, Core::TimePoint now,
    std::vector<OutgoingMessage>& out)
{
    out.push_back(outgoing);
    m_pending.emplace(sequence, Pending { std::move(outgoing), std::move(content), now, now });
}

std::optional<Outbox::Pending> Outbox::acknowledge(Core::VmId sender, std::int64_t sequence)
{
    auto position = m_pending.find(sequence);
    if (position == m_pending.end() || position->second.outgoing.receiver != sender)
        return std::nullopt;
    auto pending = std::move(position->second);
    m_pending.erase(position);
    return pending;
}

std::vector<Core::VmId> Outbox::resend(Core::TimePoint now, std::vector<OutgoingMessage>& out)
{
    std::vector<Core::VmId> expiredReceivers;
    std::erase_if(m_pending, [&](auto const& entry) {
        auto const& pending = entry.second;
        if (!pending.outgoing.message.__isset.bucketNotice || now - pending.addedAt < NoticeTimeout)
            return false;
        expiredReceivers.push_back(pending.outgoing.receiver);
        return true;
    });
    for (auto& [sequence, pending] : m_pending) {
        if (now - pending.sentAt < pending.interval)
            continue;
        pending.sentAt = now;
        pending.interval = std::min(2 * pending.interval, MaximumResendInterval);
        out.push_back(pending.outgoing);
    }
    return expiredReceivers;
}

void Outbox::removeReceiver(Core::VmId receiver)
{
    std::erase_if(m_pending, [&](auto const& entry) { return entry.second.outgoing.receiver == receiver; });
}

}
