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

/// Messages that are repeated until their receiver acknowledges them. Not thread-safe.
class Outbox {
public:
    static constexpr std::chrono::milliseconds ResendInterval { 250 };

    /// What an acknowledgement stands for.
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
        Core::TimePoint sentAt;
    };

    explicit Outbox(Core::TimePoint now)
        : m_next(now.time_since_epoch().count())
    {
    }

    /// To be put into the message before it is added.
    std::int64_t nextSequence() { return ++m_next; }
    void add(std::int64_t sequence, OutgoingMessage, Content, Core::TimePoint now, std::vector<OutgoingMessage>& out);
    /// Nothing for a repeated or unknown acknowledgement.
    std::optional<Pending> acknowledge(Core::VmId sender, std::int64_t sequence);
    void resend(Core::TimePoint now, std::vector<OutgoingMessage>& out);
    void forget(Core::VmId receiver);
    bool isEmpty() const { return m_pending.empty(); }

private:
    std::int64_t m_next;
    std::map<std::int64_t, Pending> m_pending;
};

}
