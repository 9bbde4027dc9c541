#pragma once

#include <LibLoad/TokenBucket.h>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <list>
#include <optional>

namespace Chicorytally::Load {

/// Protects the balancer from overload by refusing new flows, while established ones continue. Not thread-safe.
class OverloadGuard {
public:
    explicit OverloadGuard(std::uint32_t maxOpensPerSecond)
        : m_maxOpensPerSecond(maxOpensPerSecond)
        , m_opens(maxOpensPerSecond)
    {
    }

    void setOverloaded(bool isOverloaded) { m_isOverloaded = isOverloaded; }
    bool isOverloaded() const { return m_isOverloaded; }

    bool admitOpen(Core::TimePoint now)
    {
        if (m_isOverloaded)
            return false;
        if (m_maxOpensPerSecond == 0)
            return true;
        m_opens.refill(m_maxOpensPerSecond, m_maxOpensPerSecond, now);
        return m_opens.take();
    }

private:
    std::uint32_t m_maxOpensPerSecond;
    bool m_isOverloaded { false };
    TokenBucket m_opens;
};

/// Bounded table of the opens that haven't been confirmed by a later packet. A SYN flood evicts the oldest of them, but
/// never an established flow, which is removed from the table when it is confirmed. Not thread-safe.
class UnconfirmedOpens {
public:
    explicit UnconfirmedOpens(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Adds an open. Returns the oldest one if it was evicted; its flow record may be removed.
    std::optional<Core::Hash128> insert(Core::Hash128 const& flow);
    /// Removes the flow. Returns whether it was unconfirmed.
    bool confirm(Core::Hash128 const& flow);
    std::size_t size() const { return m_positions.size(); }

private:
    struct Key {
        Core::Hash128 flow;

        friend bool operator==(Key const&, Key const&) = default;
        template <typename H> friend H AbslHashValue(H state, Key const& key)
        {
            return H::combine(std::move(state), key.flow.low, key.flow.high);
        }
    };

    std::size_t m_capacity;
    std::list<Key> m_order;
    absl::flat_hash_map<Key, std::list<Key>::iterator> m_positions;
};

}
