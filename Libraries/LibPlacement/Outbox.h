#pragma once

#include <LibMessages/Messages.h>
#include <LibPlacement/FlowRecord.h>

#include <map>
#include <optional>
#include <vector>

namespace Chicorytally::Placement {

/// A control message to send to a member.
struct OutgoingMessage {
    Core::VmId receiver;
    Messages::PlacementMessage message;
};

/// Resends messages until their receivers acknowledge them. Not thread-safe.
class Outbox {
public:
    /// Time until the first resend; doubled up to MaximumResendInterval to limit traffic to a member that doesn't
    /// respond.
    static constexpr std::chrono::milliseconds ResendInterval { 250 };
    static constexpr std::chrono::milliseconds MaximumResendInterval { 1000 };

    static constexpr std::chrono::seconds NoticeTimeout { 10 };

    /// What an acknowledgement of the message confirms.
    struct Content {
        struct Item {
            /// Bucket of a notice, group of a record or an order.
            std::uint32_t index;
            /// Epoch of a notice, flow of a record.
            std::uint64_t value;
            /// Replica generation of a record.
            std::uint32_t generation { 0 };
            bool isRemoval { false };
        };

        Core::ServiceId service;
        std::vector<Item> items;
    };

    struct Pending {
        OutgoingMessage outgoing;
        Content content;
        Core::TimePoint addedAt;
        Core::TimePoint sentAt;
        std::chrono::milliseconds interval { ResendInterval };
    };

    explicit Outbox(std::int64_t firstSequence)
        : m_next(firstSequence)
    {
    }

    /// Sequence number to set in the next message before it is added.
    std::int64_t nextSequence() { return ++m_next; }
    void add(std::int64_t sequence, OutgoingMessage, Content, Core::TimePoint now, std::vector<OutgoingMessage>& out);
    /// Returns nothing for a duplicate or unknown acknowledgement.
    std::optional<Pending> acknowledge(Core::VmId sender, std::int64_t sequence);
    /// Also drops notices that are older than NoticeTimeout and so probably superseded; returns their receivers.
    std::vector<Core::VmId> resend(Core::TimePoint now, std::vector<OutgoingMessage>& out);
    void removeReceiver(Core::VmId receiver);
    bool isEmpty() const { return m_pending.empty(); }

private:
    std::int64_t m_next;
    std::map<std::int64_t, Pending> m_pending;
};

}
