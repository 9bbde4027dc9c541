#include <LibPlacement/Outbox.h>

namespace Chicorytally::Placement {

void Outbox::add(std::int64_t sequence, OutgoingMessage outgoing, Content content, Core::TimePoint now,
    std::vector<OutgoingMessage>& out)
{
    out.push_back(outgoing);
    m_pending.emplace(sequence, Pending { std::move(outgoing), std::move(content), now });
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

void Outbox::resend(Core::TimePoint now, std::vector<OutgoingMessage>& out)
{
    for (auto& [sequence, pending] : m_pending) {
        if (now - pending.sentAt < ResendInterval)
            continue;
        pending.sentAt = now;
        out.push_back(pending.outgoing);
    }
}

void Outbox::forget(Core::VmId receiver)
{
    std::erase_if(m_pending, [&](auto const& entry) { return entry.second.outgoing.receiver == receiver; });
}

}
